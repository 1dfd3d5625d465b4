#include "LibForward/retry_budgets.h"

#include <algorithm>

namespace bilberry::forward {

// The hosts' budgets add up: when endpoints of a pool fail, all hosts may spend
// their saved retries at the same moment. The slack is therefore divided among
// them.
void RetryBudgets::SetFleetSize(size_t hosts) {
  if (!slack_)
    return;
  saved_retries_ =
      std::min(*slack_ / static_cast<uint32_t>(std::max<size_t>(hosts, 1)),
               policy::kMaxSavedRetries);
  for (auto& [pool, budget] : budgets_)
    budget.SetMaxSaved(saved_retries_);
}

policy::RetryBudget& RetryBudgets::Of(const base::PoolName& pool) {
  const auto [it, is_new] = budgets_.try_emplace(pool);
  if (is_new)
    it->second.SetMaxSaved(saved_retries_);
  return it->second;
}

}  // namespace bilberry::forward
