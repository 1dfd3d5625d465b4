#include "LibTransport/status_codec.h"

namespace bilberry::transport {

Json::Value EncodeStatus(const node::NodeStatus& status) {
  Json::Value value;
  value["host"] = status.host.value;
  value["zone"] = status.zone.value;
  value["incarnation"] = static_cast<Json::UInt64>(status.incarnation);
  value["revision"] = static_cast<Json::UInt64>(status.revision);
  value["readiness"] = std::string(node::ToText(status.readiness));
  value["is_platform_reachable"] = status.is_platform_reachable;
  value["runs"] = static_cast<Json::UInt64>(status.runs);
  value["unrecorded_bookings"] =
      static_cast<Json::UInt64>(status.unrecorded_bookings);
  value["pools"] = Json::arrayValue;
  for (const policy::PoolLoad& load : status.pools) {
    Json::Value one;
    one["pool"] = load.pool.value;
    one["endpoints"] = load.endpoints;
    one["in_flight"] = load.in_flight;
    one["queued"] = load.queued;
    value["pools"].append(std::move(one));
  }
  return value;
}

}  // namespace bilberry::transport
