#include "LibTransport/memory_metrics.h"

#include "LibTransport/metric_writer.h"

namespace bilberry::transport {

std::string PrintMemoryMetrics(const MemoryBudget& budget) {
  std::string out;
  MetricWriter held(out, "bilberry_held_bytes", "gauge",
                    "Bytes held for requests and answers.");
  for (size_t i = 0; i < kBudgetParts; ++i) {
    const auto part = static_cast<BudgetPart>(i);
    held.Add({{"part", std::string(ToText(part))}},
             uint64_t{budget.used_bytes(part)});
  }
  MetricWriter limited(out, "bilberry_limited_total", "counter",
                       "Requests refused and connections closed at a limit.");
  for (size_t i = 0; i < kLimitReasons; ++i) {
    const auto reason = static_cast<LimitReason>(i);
    limited.Add({{"reason", std::string(ToText(reason))}},
                budget.count(reason));
  }
  return out;
}

}  // namespace bilberry::transport
