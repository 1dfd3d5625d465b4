#include "LibTransport/placement_codec.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "LibBase/overloaded.h"
#include "LibTransport/json_text.h"

namespace bilberry::transport {

namespace {

// More parts than the largest head that is accepted from a caller can name.
constexpr Json::ArrayIndex kMaxPrefixParts = 16'384;
constexpr Json::ArrayIndex kMaxAvoidedEndpoints = 1000;
// Larger counts are clamped, so that sums over all parts and runs can't
// overflow.
constexpr uint64_t kMaxTokens = 1'000'000'000;

Json::Value JsonOf(base::Duration duration) {
  return static_cast<Json::Int64>(duration.count());
}

std::optional<base::Duration> TimeOf(const Json::Value& value) {
  const auto time = ParseMicroseconds(value);
  return time && *time >= base::Duration(0) ? time : std::nullopt;
}

std::optional<uint64_t> TokensOf(const Json::Value& value) {
  if (!value.isUInt64())
    return std::nullopt;
  return std::min(value.asUInt64(), kMaxTokens);
}

void AppendDomain(const forward::PlacementDomain& domain, Json::Value& object) {
  object["pool"] = domain.pool.value;
  object["zone"] = domain.zone.value;
}

std::optional<forward::PlacementDomain> DomainOf(const Json::Value& object) {
  if (!HasStringMembers(object, {"pool", "zone"}))
    return std::nullopt;
  return forward::PlacementDomain{{object["pool"].asString()},
                                  {object["zone"].asString()}};
}

Json::Value JsonOf(const forward::PlacedRunId& id) {
  Json::Value pair(Json::arrayValue);
  pair.append(static_cast<Json::UInt64>(id.host));
  pair.append(static_cast<Json::UInt64>(id.number));
  return pair;
}

std::optional<forward::PlacedRunId> RunIdOf(const Json::Value& pair) {
  if (!pair.isArray() || pair.size() != 2 || !pair[0].isUInt64() ||
      !pair[1].isUInt64())
    return std::nullopt;
  return forward::PlacedRunId{base::Incarnation{pair[0].asUInt64()},
                              pair[1].asUInt64()};
}

Json::Value JsonOf(const std::vector<forward::PrefixPart>& prefix) {
  Json::Value list(Json::arrayValue);
  for (const forward::PrefixPart& it : prefix) {
    Json::Value& pair = list.append(Json::Value(Json::arrayValue));
    pair.append(it.id);
    pair.append(static_cast<Json::UInt64>(it.tokens));
  }
  return list;
}

std::optional<std::vector<forward::PrefixPart>> PrefixOf(
    const Json::Value& list) {
  if (!list.isArray() || list.size() > kMaxPrefixParts)
    return std::nullopt;
  std::vector<forward::PrefixPart> prefix;
  prefix.reserve(list.size());
  for (const Json::Value& pair : list) {
    if (!pair.isArray() || pair.size() != 2 || !pair[0].isString())
      return std::nullopt;
    const auto tokens = TokensOf(pair[1]);
    if (!tokens)
      return std::nullopt;
    prefix.push_back({pair[0].asString(), *tokens});
  }
  return prefix;
}

// The run's ID is a member of the enclosing object.
Json::Value JsonOf(const forward::PlacementRun& run) {
  Json::Value object;
  object["prefix"] = JsonOf(run.prefix);
  object["output"] = static_cast<Json::UInt64>(run.max_output_tokens);
  object["sent_us"] = JsonOf(run.until_sent);
  object["target_us"] = JsonOf(run.until_target);
  object["deadline_us"] = JsonOf(run.until_deadline);
  if (run.max_pause)
    object["pause_us"] = JsonOf(*run.max_pause);
  return object;
}

std::optional<forward::PlacementRun> RunOf(const forward::PlacedRunId& id,
                                           const Json::Value& object) {
  if (!object.isObject())
    return std::nullopt;
  auto prefix = PrefixOf(object["prefix"]);
  const auto output = TokensOf(object["output"]);
  const auto sent = ParseMicroseconds(object["sent_us"]);
  // Negative if the target or deadline has passed.
  const auto target = ParseMicroseconds(object["target_us"]);
  const auto deadline = ParseMicroseconds(object["deadline_us"]);
  const auto pause = TimeOf(object["pause_us"]);
  if (!prefix || !output || !sent || !target || !deadline ||
      (object.isMember("pause_us") && !pause))
    return std::nullopt;
  forward::PlacementRun run;
  run.id = id;
  run.prefix = std::move(*prefix);
  run.max_output_tokens = *output;
  run.until_sent = std::max(*sent, base::Duration(0));
  run.until_target = *target;
  run.until_deadline = *deadline;
  run.max_pause = pause;
  return run;
}

std::optional<std::vector<base::EndpointName>> EndpointsOf(
    const Json::Value& list) {
  if (!list.isArray() || list.size() > kMaxAvoidedEndpoints)
    return std::nullopt;
  std::vector<base::EndpointName> endpoints;
  for (const Json::Value& it : list) {
    if (!it.isString())
      return std::nullopt;
    endpoints.push_back({it.asString()});
  }
  return endpoints;
}

std::optional<forward::PlacementDecision> DecisionOf(
    const Json::Value& object) {
  if (object["is_owner"].isBool() && !object["is_owner"].asBool())
    return forward::NotPlacementOwner{};
  if (object["has_endpoint"].isBool() && !object["has_endpoint"].asBool())
    return forward::NoPlacement{};
  const auto first_event = TimeOf(object["first_event_us"]);
  if (!first_event || !HasStringMembers(object, {"endpoint"}) ||
      !object["incarnation"].isUInt64())
    return std::nullopt;
  return forward::Placed{{object["endpoint"].asString()},
                         base::Incarnation{object["incarnation"].asUInt64()},
                         *first_event};
}

void AppendProgress(const forward::RunProgress& progress, Json::Value& object) {
  std::visit(
      base::Overloaded{
          [&object](const forward::RunBegun& it) {
            object["begun_us"] = JsonOf(it.first_event);
          },
          [&object](const forward::RunEnded& it) {
            object["has_ended"] = true;
            if (it.longest_pause)
              object["pause_us"] = JsonOf(*it.longest_pause);
          },
          [&object](const forward::RunMoved&) { object["has_moved"] = true; },
          [&object](const forward::RunHeld& it) {
            object["held"] = JsonOf(it.run);
            object["endpoint"] = it.endpoint.value;
            object["has_begun"] = it.has_begun;
          },
      },
      progress);
}

std::optional<forward::RunProgress> HeldOf(const forward::PlacedRunId& id,
                                           const Json::Value& object) {
  auto run = RunOf(id, object["held"]);
  if (!run || !HasStringMembers(object, {"endpoint"}) ||
      !object["has_begun"].isBool())
    return std::nullopt;
  return forward::RunHeld{std::move(*run),
                          {object["endpoint"].asString()},
                          object["has_begun"].asBool()};
}

std::optional<forward::RunProgress> EndedOf(const Json::Value& object) {
  if (!object.isMember("pause_us"))
    return forward::RunEnded{};
  const auto pause = TimeOf(object["pause_us"]);
  if (!pause)
    return std::nullopt;
  return forward::RunEnded{*pause};
}

std::optional<forward::RunProgress> ProgressOf(const forward::PlacedRunId& id,
                                               const Json::Value& object) {
  if (object["has_ended"].isBool())
    return EndedOf(object);
  if (object["has_moved"].isBool())
    return forward::RunMoved{};
  if (object.isMember("held"))
    return HeldOf(id, object);
  const auto begun = TimeOf(object["begun_us"]);
  if (!begun)
    return std::nullopt;
  return forward::RunBegun{*begun};
}

std::optional<forward::RunReport> RunReportOf(const Json::Value& object) {
  if (!object.isObject())
    return std::nullopt;
  const auto id = RunIdOf(object["id"]);
  if (!id)
    return std::nullopt;
  auto progress = ProgressOf(*id, object);
  if (!progress)
    return std::nullopt;
  return forward::RunReport{*id, std::move(*progress)};
}

}  // namespace

std::string EncodePlacementRequest(const forward::PlacementRequest& request) {
  Json::Value object;
  AppendDomain(request.domain, object);
  object["id"] = JsonOf(request.run.id);
  object["run"] = JsonOf(request.run);
  Json::Value& avoided = object["avoided"] = Json::Value(Json::arrayValue);
  for (const base::EndpointName& it : request.avoided)
    avoided.append(it.value);
  return PrintCompact(object);
}

std::optional<forward::PlacementRequest> DecodePlacementRequest(
    std::string_view text) {
  const auto object = ParseJsonValue(text);
  if (!object || !object->isObject())
    return std::nullopt;
  const auto domain = DomainOf(*object);
  const auto id = RunIdOf((*object)["id"]);
  auto avoided = EndpointsOf((*object)["avoided"]);
  if (!domain || !id || !avoided)
    return std::nullopt;
  auto run = RunOf(*id, (*object)["run"]);
  if (!run)
    return std::nullopt;
  return forward::PlacementRequest{*domain, std::move(*run),
                                   std::move(*avoided)};
}

std::string EncodePlacementAnswer(const forward::PlacementAnswer& answer) {
  Json::Value object;
  std::visit(base::Overloaded{
                 [&object](const forward::Placed& it) {
                   object["endpoint"] = it.endpoint.value;
                   object["incarnation"] =
                       static_cast<Json::UInt64>(it.incarnation);
                   object["first_event_us"] = JsonOf(it.first_event);
                 },
                 [&object](const forward::NoPlacement&) {
                   object["has_endpoint"] = false;
                 },
                 [&object](const forward::NotPlacementOwner&) {
                   object["is_owner"] = false;
                 },
             },
             answer.decision);
  object["wait_us"] = JsonOf(answer.wait);
  return PrintCompact(object);
}

std::optional<forward::PlacementAnswer> DecodePlacementAnswer(
    std::string_view text) {
  const auto object = ParseJsonValue(text);
  if (!object || !object->isObject())
    return std::nullopt;
  auto decision = DecisionOf(*object);
  const auto wait = TimeOf((*object)["wait_us"]);
  if (!decision || !wait)
    return std::nullopt;
  return forward::PlacementAnswer{std::move(*decision), *wait};
}

std::string EncodePlacementReport(const forward::PlacementReport& report) {
  Json::Value object;
  AppendDomain(report.domain, object);
  Json::Value& runs = object["runs"] = Json::Value(Json::arrayValue);
  for (const forward::RunReport& it : report.runs) {
    Json::Value& run = runs.append(Json::Value(Json::objectValue));
    run["id"] = JsonOf(it.id);
    AppendProgress(it.progress, run);
  }
  return PrintCompact(object);
}

std::optional<forward::PlacementReport> DecodePlacementReport(
    std::string_view text) {
  const auto object = ParseJsonValue(text);
  if (!object || !object->isObject())
    return std::nullopt;
  const auto domain = DomainOf(*object);
  const Json::Value& runs = (*object)["runs"];
  if (!domain || !runs.isArray() || runs.size() > kMaxReportedRuns)
    return std::nullopt;
  forward::PlacementReport report{*domain, {}};
  for (const Json::Value& it : runs) {
    auto run = RunReportOf(it);
    if (!run)
      return std::nullopt;
    report.runs.push_back(std::move(*run));
  }
  return report;
}

}  // namespace bilberry::transport
