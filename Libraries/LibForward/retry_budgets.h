#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "LibBase/ids.h"
#include "LibPolicy/retry_budget.h"

namespace bilberry::forward {

// This host's part of the retries that all hosts may make, by pool.
class RetryBudgets {
 public:
  // How many all hosts together may make in a burst of failures, beside a part
  // of the requests; empty if that isn't known.
  explicit RetryBudgets(std::optional<uint32_t> slack) : slack_(slack) {}

  // How many hosts there are: each may save up its part.
  void SetFleetSize(size_t hosts);
  policy::RetryBudget& Of(const base::PoolName& pool);

 private:
  std::optional<uint32_t> slack_;
  std::map<base::PoolName, policy::RetryBudget> budgets_;
  uint32_t saved_retries_ = policy::kMaxSavedRetries;
};

}  // namespace bilberry::forward
