#include "LibTransport/permit_codec.h"

#include <utility>

#include "LibBase/overloaded.h"

namespace bilberry::transport {

namespace {

// An absent "per_second" means that the endpoint has no limit.
Json::Value JsonOf(const forward::LimitReport& report) {
  Json::Value object(Json::objectValue);
  if (report.limit.per_second)
    object["per_second"] = *report.limit.per_second;
  object["age_us"] = static_cast<Json::Int64>(report.age.count());
  return object;
}

std::optional<forward::LimitReport> LimitReportOf(const Json::Value& object) {
  if (!object.isObject() || !object["age_us"].isInt64() ||
      object["age_us"].asInt64() < 0)
    return std::nullopt;
  forward::LimitReport report;
  report.age = *ParseMicroseconds(object["age_us"]);
  const Json::Value& per_second = object["per_second"];
  if (per_second.isNull())
    return report;
  if (!per_second.isDouble() || !(per_second.asDouble() >= 0))
    return std::nullopt;
  report.limit.per_second = per_second.asDouble();
  return report;
}

Json::Value JsonOf(const forward::ColdReport& report) {
  Json::Value object;
  object["per_second"] = report.per_second;
  object["left_us"] = static_cast<Json::Int64>(report.left.count());
  return object;
}

// Reads a remaining time. Empty if it is negative or no whole number.
std::optional<base::Duration> RemainingTimeOf(const Json::Value& value) {
  if (!value.isInt64() || value.asInt64() < 0)
    return std::nullopt;
  return ParseMicroseconds(value);
}

std::optional<forward::ColdReport> ColdReportOf(const Json::Value& object) {
  if (!object.isObject() || !object["per_second"].isDouble() ||
      !(object["per_second"].asDouble() > 0))
    return std::nullopt;
  const auto left = RemainingTimeOf(object["left_us"]);
  if (!left)
    return std::nullopt;
  return forward::ColdReport{object["per_second"].asDouble(), *left};
}

std::optional<forward::PermitDecision> DecisionOf(const Json::Value& object) {
  if (const auto begins = RemainingTimeOf(object["begins_us"]))
    return forward::PermitGranted{*begins};
  if (const auto next = RemainingTimeOf(object["next_us"]))
    return forward::PermitRefused{*next};
  if (object["is_keeper"].isBool() && !object["is_keeper"].asBool())
    return forward::NotLimitOwner{};
  return std::nullopt;
}

}  // namespace

std::string EncodePermitRequest(const forward::PermitRequest& permit_request) {
  Json::Value object;
  object["endpoint"] = permit_request.endpoint.value;
  object["incarnation"] = static_cast<Json::UInt64>(permit_request.incarnation);
  object["zone"] = permit_request.zone.value;
  object["wait_us"] =
      static_cast<Json::Int64>(permit_request.longest_wait.count());
  object["limit"] = JsonOf(permit_request.limit);
  if (permit_request.cold)
    object["cold"] = JsonOf(*permit_request.cold);
  return PrintCompact(object);
}

std::optional<forward::PermitRequest> DecodePermitRequest(
    std::string_view text) {
  const auto object = ParseJsonValue(text);
  if (!object || !object->isObject() ||
      !HasStringMembers(*object, {"endpoint", "zone"}) ||
      !(*object)["incarnation"].isUInt64())
    return std::nullopt;
  const auto wait = RemainingTimeOf((*object)["wait_us"]);
  const auto limit = LimitReportOf((*object)["limit"]);
  if (!wait || !limit)
    return std::nullopt;
  std::optional<forward::ColdReport> cold;
  if (object->isMember("cold")) {
    cold = ColdReportOf((*object)["cold"]);
    if (!cold)
      return std::nullopt;
  }
  return forward::PermitRequest{
      {(*object)["endpoint"].asString()},
      base::Incarnation{(*object)["incarnation"].asUInt64()},
      {(*object)["zone"].asString()},
      *wait,
      *limit,
      cold};
}

Json::Value JsonOf(const std::vector<forward::EndpointLimitReport>& limits) {
  Json::Value array(Json::arrayValue);
  for (const forward::EndpointLimitReport& it : limits) {
    Json::Value object = JsonOf(it.report);
    object["endpoint"] = it.endpoint.value;
    object["incarnation"] = static_cast<Json::UInt64>(it.incarnation);
    array.append(std::move(object));
  }
  return array;
}

std::optional<std::vector<forward::EndpointLimitReport>> DecodeLimitReports(
    const Json::Value& array) {
  if (!array.isArray())
    return std::nullopt;
  std::vector<forward::EndpointLimitReport> limits;
  for (const Json::Value& it : array) {
    const auto report = LimitReportOf(it);
    if (!report || !HasStringMembers(it, {"endpoint"}) ||
        !it["incarnation"].isUInt64())
      return std::nullopt;
    limits.push_back({{it["endpoint"].asString()},
                      base::Incarnation{it["incarnation"].asUInt64()},
                      *report});
  }
  return limits;
}

std::string EncodePermitAnswer(const forward::PermitAnswer& answer) {
  Json::Value object;
  std::visit(base::Overloaded{
                 [&object](const forward::PermitGranted& it) {
                   object["begins_us"] =
                       static_cast<Json::Int64>(it.begins_in.count());
                 },
                 [&object](const forward::PermitRefused& it) {
                   object["next_us"] =
                       static_cast<Json::Int64>(it.next_in.count());
                 },
                 [&object](const forward::NotLimitOwner&) {
                   object["is_keeper"] = false;
                 },
             },
             answer.decision);
  if (answer.limit)
    object["limit"] = JsonOf(*answer.limit);
  return PrintCompact(object);
}

std::optional<forward::PermitAnswer> DecodePermitAnswer(std::string_view text) {
  const auto object = ParseJsonValue(text);
  if (!object || !object->isObject())
    return std::nullopt;
  const auto decision = DecisionOf(*object);
  if (!decision)
    return std::nullopt;
  forward::PermitAnswer answer{*decision, std::nullopt};
  if (!object->isMember("limit"))
    return answer;
  answer.limit = LimitReportOf((*object)["limit"]);
  if (!answer.limit)
    return std::nullopt;
  return answer;
}

}  // namespace bilberry::transport
