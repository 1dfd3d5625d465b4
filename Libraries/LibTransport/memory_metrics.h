#pragma once

#include <string>

#include "LibTransport/memory_budget.h"

namespace bilberry::transport {

// Prints the account and the counts of a budget in the Prometheus text format,
// version 0.0.4.
std::string PrintMemoryMetrics(const MemoryBudget& budget);

}  // namespace bilberry::transport
