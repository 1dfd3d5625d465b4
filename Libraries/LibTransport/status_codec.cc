#include "LibTransport/status_codec.h"

#include <algorithm>

namespace bilberry::transport {

namespace {

constexpr node::Readiness kReadinesses[] = {node::Readiness::kReady,
                                            node::Readiness::kNoConfiguration,
                                            node::Readiness::kStopping};

// jsoncpp throws if a value has the wrong type; DecodeStatus() catches the
// exception.
node::Readiness DecodeReadiness(const std::string& text) {
  const auto* const it =
      std::ranges::find_if(kReadinesses, [&](node::Readiness readiness) {
        return node::ToText(readiness) == text;
      });
  if (it == std::end(kReadinesses))
    Json::throwRuntimeError("unknown readiness");
  return *it;
}

node::NodeStatus DecodeOrThrow(const Json::Value& value) {
  node::NodeStatus status;
  status.host = {value["host"].asString()};
  status.zone = {value["zone"].asString()};
  status.incarnation = base::Incarnation{value["incarnation"].asUInt64()};
  status.revision = base::Revision{value["revision"].asUInt64()};
  status.readiness = DecodeReadiness(value["readiness"].asString());
  status.is_platform_reachable = value["is_platform_reachable"].asBool();
  status.runs = value["runs"].asUInt64();
  status.unrecorded_bookings = value["unrecorded_bookings"].asUInt64();
  for (const Json::Value& one : value["pools"])
    status.pools.push_back({{one["pool"].asString()},
                            one["endpoints"].asUInt(),
                            one["in_flight"].asUInt(),
                            one["queued"].asUInt()});
  return status;
}

}  // namespace

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

base::Result<node::NodeStatus> DecodeStatus(const Json::Value& value) {
  try {
    return DecodeOrThrow(value);
  } catch (const Json::Exception& exception) {
    return base::Error{base::ErrorCode::kMalformed, base::Step::kOperatorCall,
                       "", exception.what()};
  }
}

}  // namespace bilberry::transport
