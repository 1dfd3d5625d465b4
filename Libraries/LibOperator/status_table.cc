#include "LibOperator/status_table.h"

#include <string>

namespace bilberry::operators {

namespace {

std::vector<std::string> RowOf(const HostAnswer& answer) {
  const std::string address = base::ToText(answer.address);
  if (!answer.status)
    return {"?", "?", address, "?", "no answer", "?", "?", "us"};
  const node::NodeStatus& status = answer.status.value();
  return {status.host.value,
          status.zone.value,
          address,
          std::to_string(static_cast<uint64_t>(status.revision)),
          std::string(node::ToText(status.readiness)),
          std::to_string(status.runs),
          std::to_string(status.unrecorded_bookings),
          status.is_platform_reachable ? "nothing" : "platform"};
}

}  // namespace

std::vector<report::TextTable> TablesOf(
    const std::vector<HostAnswer>& answers) {
  report::TextTable hosts{"Entry hosts",
                          {"host", "zone", "address", "revision", "readiness",
                           "runs", "unrecorded bookings", "cut off from"},
                          {}};
  report::TextTable pools{
      "Load by pool", {"host", "pool", "endpoints", "in flight", "queued"}, {}};
  for (const HostAnswer& answer : answers) {
    hosts.rows.push_back(RowOf(answer));
    if (!answer.status)
      continue;
    for (const policy::PoolLoad& load : answer.status.value().pools)
      pools.rows.push_back({answer.status.value().host.value, load.pool.value,
                            std::to_string(load.endpoints),
                            std::to_string(load.in_flight),
                            std::to_string(load.queued)});
  }
  return {std::move(hosts), std::move(pools)};
}

}  // namespace bilberry::operators
