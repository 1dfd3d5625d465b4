#include "LibPolicy/retry_budget.h"

#include <algorithm>

namespace bilberry::policy {

void RetryBudget::NoteFirstAttempt() {
  credit_ = std::min(credit_ + 1, max_saved_ * kFirstAttemptsPerRetry);
}

void RetryBudget::SetMaxSaved(uint32_t max_saved) {
  max_saved_ = max_saved;
  credit_ = std::min(credit_, max_saved_ * kFirstAttemptsPerRetry);
}

bool RetryBudget::TryTake() {
  if (!CanAfford())
    return false;
  credit_ -= kFirstAttemptsPerRetry;
  return true;
}

}  // namespace bilberry::policy
