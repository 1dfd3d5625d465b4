#include "LibPolicy/retry_budget.h"

#include <algorithm>

namespace bilberry::policy {

void RetryBudget::NoteFirstTry() {
  credit_ = std::min(credit_ + 1, max_saved_ * kFirstTriesPerRetry);
}

void RetryBudget::SetMaxSaved(uint32_t max_saved) {
  max_saved_ = max_saved;
  credit_ = std::min(credit_, max_saved_ * kFirstTriesPerRetry);
}

bool RetryBudget::TryTake() {
  if (!CanAfford())
    return false;
  credit_ -= kFirstTriesPerRetry;
  return true;
}

}  // namespace bilberry::policy
