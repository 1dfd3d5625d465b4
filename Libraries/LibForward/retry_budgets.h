#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "LibBase/ids.h"
#include "LibPolicy/retry_budget.h"

namespace bilberry::forward {

// This host's share of the fleet's retry budgets, by pool.
class RetryBudgets {
 public:
  // `slack` is the number of retries that all hosts together may make in a
  // burst of failures, in addition to a fraction of the requests; empty if
  // unknown.
  explicit RetryBudgets(std::optional<uint32_t> slack) : slack_(slack) {}

  // Sets the number of hosts, among which the slack is divided.
  void SetFleetSize(size_t hosts);
  policy::RetryBudget& Of(const base::PoolName& pool);

 private:
  std::optional<uint32_t> slack_;
  std::map<base::PoolName, policy::RetryBudget> budgets_;
  uint32_t saved_retries_ = policy::kMaxSavedRetries;
};

}  // namespace bilberry::forward
