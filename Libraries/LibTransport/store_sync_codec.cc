#include "LibTransport/store_sync_codec.h"

#include <algorithm>
#include <utility>

#include "LibBase/overloaded.h"
#include "LibTransport/json_text.h"
#include "LibTransport/permit_codec.h"

namespace bilberry::transport {

namespace {

std::optional<forward::FeedKind> FeedOf(const Json::Value& name) {
  if (!name.isString())
    return std::nullopt;
  const std::string text = name.asString();
  const auto* it = std::ranges::find_if(
      forward::kFeedKinds,
      [&](forward::FeedKind feed) { return forward::ToText(feed) == text; });
  if (it == std::end(forward::kFeedKinds))
    return std::nullopt;
  return *it;
}

Json::Value JsonOf(const forward::ListedEndpoint& endpoint) {
  Json::Value object;
  object["pool"] = endpoint.pool.value;
  object["zone"] = endpoint.zone.value;
  object["address"] = base::ToText(endpoint.address);
  object["is_leaving"] = endpoint.state == forward::EndpointState::kLeaving;
  object["incarnation"] = static_cast<Json::UInt64>(endpoint.incarnation);
  if (!endpoint.software_version.empty())
    object["software_version"] = endpoint.software_version;
  if (endpoint.cold_for)
    object["cold_us"] = static_cast<Json::Int64>(endpoint.cold_for->count());
  return object;
}

Json::Value JsonOf(const forward::PeerHost& host) {
  Json::Value object;
  object["zone"] = host.zone.value;
  object["address"] = base::ToText(host.address);
  object["capacity"] = host.capacity;
  object["link_mbps"] = host.link_mbps;
  return object;
}

// A removed row is encoded with its key alone.
Json::Value JsonOf(const forward::FeedRow& row) {
  Json::Value object(Json::objectValue);
  if (const auto* endpoint = std::get_if<forward::ListedEndpoint>(&row.content))
    object = JsonOf(*endpoint);
  else if (const auto* host = std::get_if<forward::PeerHost>(&row.content))
    object = JsonOf(*host);
  else if (const auto* zone = std::get_if<forward::ZoneEvacuated>(&row.content))
    object["evacuated_zone"] = zone->zone.value;
  else if (const auto* configuration = std::get_if<
               std::shared_ptr<const forward::ForwardConfiguration>>(
               &row.content))
    object["document"] = (*configuration)->document;
  object["key"] = row.key;
  return object;
}

std::optional<forward::RowContent> EndpointOf(const std::string& key,
                                              const Json::Value& object) {
  if (!HasStringMembers(object, {"pool", "zone", "address"}) ||
      !object["is_leaving"].isBool() || !object["incarnation"].isUInt64())
    return std::nullopt;
  const auto address = base::ParseSocketAddress(object["address"].asString());
  if (!address)
    return std::nullopt;
  forward::ListedEndpoint endpoint;
  endpoint.name.value = key;
  endpoint.pool.value = object["pool"].asString();
  endpoint.zone.value = object["zone"].asString();
  endpoint.address = *address;
  endpoint.state = object["is_leaving"].asBool()
                       ? forward::EndpointState::kLeaving
                       : forward::EndpointState::kServing;
  endpoint.incarnation = base::Incarnation{object["incarnation"].asUInt64()};
  if (object["software_version"].isString())
    endpoint.software_version = object["software_version"].asString();
  if (!object.isMember("cold_us"))
    return endpoint;
  if (!object["cold_us"].isInt64() || object["cold_us"].asInt64() < 0)
    return std::nullopt;
  endpoint.cold_for = *ParseMicroseconds(object["cold_us"]);
  return endpoint;
}

std::optional<forward::RowContent> HostOf(const std::string& key,
                                          const Json::Value& object) {
  if (!HasStringMembers(object, {"zone", "address"}) ||
      !object["capacity"].isDouble() || !object["link_mbps"].isDouble())
    return std::nullopt;
  const auto address = base::ParseSocketAddress(object["address"].asString());
  if (!address)
    return std::nullopt;
  forward::PeerHost host{{key},
                         *address,
                         {object["zone"].asString()},
                         object["capacity"].asDouble(),
                         object["link_mbps"].asDouble()};
  if (!forward::IsPlausible(host))
    return std::nullopt;
  return host;
}

std::optional<forward::RowContent> OperatorsRowOf(
    const Json::Value& object,
    const ConfigurationDecoder& decode_configuration) {
  if (object["document"].isString())
    return decode_configuration(object["document"].asString());
  if (!object["evacuated_zone"].isString())
    return std::nullopt;
  return forward::ZoneEvacuated{{object["evacuated_zone"].asString()}};
}

std::optional<forward::RowContent> ContentOf(
    forward::FeedKind feed,
    const std::string& key,
    const Json::Value& object,
    const ConfigurationDecoder& decode_configuration) {
  switch (feed) {
    case forward::FeedKind::kConfiguration:
      return OperatorsRowOf(object, decode_configuration);
    case forward::FeedKind::kEndpoints:
      return EndpointOf(key, object);
    case forward::FeedKind::kHosts:
      return HostOf(key, object);
  }
  return std::nullopt;
}

std::optional<forward::FeedRow> RowOf(
    forward::FeedKind feed,
    const Json::Value& object,
    const ConfigurationDecoder& decode_configuration) {
  if (!object.isObject() || !object["key"].isString())
    return std::nullopt;
  forward::FeedRow row;
  row.key = object["key"].asString();
  if (object.size() == 1) {
    row.content = forward::RowRemoved{};
    return row;
  }
  auto content = ContentOf(feed, row.key, object, decode_configuration);
  if (!content)
    return std::nullopt;
  row.content = std::move(*content);
  return row;
}

std::optional<forward::TableUpdate> TableOf(
    const Json::Value& object,
    const ConfigurationDecoder& decode_configuration) {
  const auto feed = object.isObject() ? FeedOf(object["feed"]) : std::nullopt;
  if (!feed || !object["version"].isUInt64() || !object["is_whole"].isBool() ||
      !object["rows"].isArray())
    return std::nullopt;
  forward::TableUpdate table;
  table.feed = *feed;
  table.version = object["version"].asUInt64();
  table.is_whole = object["is_whole"].asBool();
  for (const Json::Value& it : object["rows"]) {
    auto row = RowOf(*feed, it, decode_configuration);
    if (!row)
      return std::nullopt;
    table.rows.push_back(std::move(*row));
  }
  return table;
}

Json::Value JsonOf(const std::vector<forward::EndpointDeparture>& departures) {
  Json::Value array(Json::arrayValue);
  for (const forward::EndpointDeparture& it : departures) {
    Json::Value& object = array.append(Json::Value(Json::objectValue));
    object["endpoint"] = it.endpoint.value;
    object["incarnation"] = static_cast<Json::UInt64>(it.incarnation);
    object["age_us"] = static_cast<Json::Int64>(it.age.count());
  }
  return array;
}

std::optional<std::vector<forward::EndpointDeparture>> DeparturesOf(
    const Json::Value& array) {
  if (!array.isArray())
    return std::nullopt;
  std::vector<forward::EndpointDeparture> departures;
  for (const Json::Value& it : array) {
    if (!it.isObject() || !HasStringMembers(it, {"endpoint"}) ||
        !it["incarnation"].isUInt64() || !it["age_us"].isInt64())
      return std::nullopt;
    departures.push_back({{it["endpoint"].asString()},
                          base::Incarnation{it["incarnation"].asUInt64()},
                          *ParseMicroseconds(it["age_us"])});
  }
  return departures;
}

Json::Value JsonOf(const forward::CrashNews& news) {
  Json::Value object;
  Json::Value& suspicions = object["suspicions"] =
      Json::Value(Json::arrayValue);
  for (const policy::CrashSuspicion& it : news.suspicions) {
    Json::Value& suspicion = suspicions.append(Json::Value(Json::objectValue));
    suspicion["request"] = it.request;
    suspicion["endpoint"] = it.endpoint.value;
    suspicion["age_us"] = static_cast<Json::Int64>(it.age.count());
    suspicion["is_process"] = it.kind == policy::CrashedName::kProcess;
    if (it.depth != policy::kWholeRequest)
      suspicion["depth"] = it.depth;
  }
  Json::Value& cleared = object["cleared"] = Json::Value(Json::arrayValue);
  for (const std::string& request : news.cleared)
    cleared.append(request);
  for (const forward::PartAnswer& it : news.answered) {
    Json::Value& answer =
        object["answered"].append(Json::Value(Json::objectValue));
    answer["part"] = it.part;
    answer["age_us"] = static_cast<Json::Int64>(it.age.count());
  }
  return object;
}

void SetEra(forward::StoreEra era, Json::Value& object) {
  if (era)
    object["era"] = static_cast<Json::UInt64>(*era);
}

bool HasEraOrNone(const Json::Value& object) {
  return !object.isMember("era") || object["era"].isUInt64();
}

// Empty if the message has none, as that of a host of an earlier version.
forward::StoreEra EraOf(const Json::Value& object) {
  if (!object.isMember("era"))
    return std::nullopt;
  return object["era"].asUInt64();
}

// Hosts of earlier versions tell of no parts of prompts.
std::optional<std::vector<forward::PartAnswer>> PartAnswersOf(
    const Json::Value& array) {
  std::vector<forward::PartAnswer> answers;
  if (array.isNull())
    return answers;
  if (!array.isArray())
    return std::nullopt;
  for (const Json::Value& it : array) {
    if (!it.isObject() || !HasStringMembers(it, {"part"}) ||
        !it["age_us"].isInt64())
      return std::nullopt;
    answers.push_back(
        {it["part"].asString(), *ParseMicroseconds(it["age_us"])});
  }
  return answers;
}

// A message of a host of an earlier version tells nothing of crashes.
std::optional<forward::CrashNews> CrashNewsOf(const Json::Value& object) {
  if (object.isNull())
    return forward::CrashNews();
  if (!object.isObject() || !object["suspicions"].isArray() ||
      !object["cleared"].isArray())
    return std::nullopt;
  forward::CrashNews news;
  for (const Json::Value& it : object["suspicions"]) {
    if (!it.isObject() || !HasStringMembers(it, {"request", "endpoint"}) ||
        !it["age_us"].isInt64() || !it["is_process"].isBool() ||
        !(it["depth"].isNull() || it["depth"].isUInt()))
      return std::nullopt;
    news.suspicions.push_back(
        {it["request"].asString(),
         {it["endpoint"].asString()},
         *ParseMicroseconds(it["age_us"]),
         it["is_process"].asBool() ? policy::CrashedName::kProcess
                                   : policy::CrashedName::kEndpoint,
         it.get("depth", policy::kWholeRequest).asUInt()});
  }
  for (const Json::Value& it : object["cleared"]) {
    if (!it.isString())
      return std::nullopt;
    news.cleared.push_back(it.asString());
  }
  auto answered = PartAnswersOf(object["answered"]);
  if (!answered)
    return std::nullopt;
  news.answered = std::move(*answered);
  return news;
}

Json::Value JsonOf(const forward::NoticeBatch& notices) {
  Json::Value object;
  if (!notices.crashes.is_empty())
    object["crashes"] = JsonOf(notices.crashes);
  object["departures"] = JsonOf(notices.departures);
  Json::Value& array = object["quiet_times"] = Json::Value(Json::arrayValue);
  for (const forward::BackoffReport& it : notices.backoffs) {
    Json::Value& backoff = array.append(Json::Value(Json::objectValue));
    backoff["endpoint"] = it.endpoint.value;
    backoff["incarnation"] = static_cast<Json::UInt64>(it.incarnation);
    backoff["lasts_us"] = static_cast<Json::Int64>(it.lasts.count());
    backoff["age_us"] = static_cast<Json::Int64>(it.age.count());
  }
  return object;
}

std::optional<forward::BackoffReport> BackoffOf(const Json::Value& object) {
  if (!object.isObject() || !HasStringMembers(object, {"endpoint"}) ||
      !object["incarnation"].isUInt64() || !object["lasts_us"].isInt64() ||
      !object["age_us"].isInt64())
    return std::nullopt;
  return forward::BackoffReport{
      {object["endpoint"].asString()},
      base::Incarnation{object["incarnation"].asUInt64()},
      *ParseMicroseconds(object["lasts_us"]),
      *ParseMicroseconds(object["age_us"])};
}

std::optional<forward::NoticeBatch> NoticesOf(const Json::Value& object) {
  if (!object.isObject() || !object["quiet_times"].isArray())
    return std::nullopt;
  auto departures = DeparturesOf(object["departures"]);
  auto crashes = CrashNewsOf(object["crashes"]);
  if (!departures || !crashes)
    return std::nullopt;
  forward::NoticeBatch notices{std::move(*departures), {}, std::move(*crashes)};
  for (const Json::Value& it : object["quiet_times"]) {
    auto backoff = BackoffOf(it);
    if (!backoff)
      return std::nullopt;
    notices.backoffs.push_back(std::move(*backoff));
  }
  return notices;
}

}  // namespace

std::string EncodeNoticeBatch(const forward::NoticeBatch& notices) {
  return PrintCompact(JsonOf(notices));
}

std::optional<forward::NoticeBatch> DecodeNoticeBatch(std::string_view text) {
  const auto object = ParseJsonValue(text);
  return object ? NoticesOf(*object) : std::nullopt;
}

namespace {

Json::Value JsonOf(const forward::OfferedOperatorsRows& offer) {
  Json::Value object;
  object["sender"] = base::ToText(offer.sender);
  object["revision"] = static_cast<Json::UInt64>(offer.age.revision);
  object["version"] = static_cast<Json::UInt64>(offer.age.version);
  return object;
}

// Empty if it is malformed.
std::optional<forward::OfferedOperatorsRows> OfferOf(
    const Json::Value& object) {
  if (!object.isObject() || !HasStringMembers(object, {"sender"}) ||
      !object["revision"].isUInt64() || !object["version"].isUInt64())
    return std::nullopt;
  const auto sender = base::ParseSocketAddress(object["sender"].asString());
  if (!sender)
    return std::nullopt;
  return forward::OfferedOperatorsRows{
      *sender, {object["revision"].asUInt64(), object["version"].asUInt64()}};
}

}  // namespace

std::string EncodeStoreSyncRequest(
    const forward::StoreSyncRequest& sync_request) {
  Json::Value object;
  SetEra(sync_request.era, object);
  Json::Value& known = object["known"] = Json::Value(Json::objectValue);
  for (const forward::KnownVersion& it : sync_request.known)
    known[std::string(forward::ToText(it.feed))] =
        static_cast<Json::UInt64>(it.version);
  object["departures"] = JsonOf(sync_request.departures);
  if (!sync_request.crashes.is_empty())
    object["crashes"] = JsonOf(sync_request.crashes);
  if (sync_request.offer)
    object["offer"] = JsonOf(*sync_request.offer);
  return PrintCompact(object);
}

std::optional<forward::StoreSyncRequest> DecodeStoreSyncRequest(
    std::string_view text) {
  const auto object = ParseJsonValue(text);
  if (!object || !object->isObject() || !(*object)["known"].isObject() ||
      !HasEraOrNone(*object))
    return std::nullopt;
  auto departures = DeparturesOf((*object)["departures"]);
  auto crashes = CrashNewsOf((*object)["crashes"]);
  if (!departures || !crashes)
    return std::nullopt;
  forward::StoreSyncRequest sync_request;
  if (object->isMember("offer")) {
    sync_request.offer = OfferOf((*object)["offer"]);
    if (!sync_request.offer)
      return std::nullopt;
  }
  sync_request.era = EraOf(*object);
  sync_request.crashes = std::move(*crashes);
  sync_request.departures = std::move(*departures);
  const Json::Value& known = (*object)["known"];
  for (const std::string& name : known.getMemberNames()) {
    const auto feed = FeedOf(Json::Value(name));
    if (!feed || !known[name].isUInt64())
      return std::nullopt;
    sync_request.known.push_back({*feed, known[name].asUInt64()});
  }
  return sync_request;
}

std::string EncodeStoreSyncResponse(
    const forward::StoreSyncResponse& response) {
  Json::Value object;
  SetEra(response.era, object);
  object["age_us"] = static_cast<Json::UInt64>(response.age.count());
  object["revision"] = static_cast<Json::UInt64>(response.revision);
  object["operators_version"] =
      static_cast<Json::UInt64>(response.operators_version);
  object["notices"] = JsonOf(response.notices);
  object["limits"] = JsonOf(response.limits);
  Json::Value& tables = object["tables"] = Json::Value(Json::arrayValue);
  for (const forward::TableUpdate& it : response.tables) {
    Json::Value& table = tables.append(Json::Value(Json::objectValue));
    table["feed"] = std::string(forward::ToText(it.feed));
    table["version"] = static_cast<Json::UInt64>(it.version);
    table["is_whole"] = it.is_whole;
    Json::Value& rows = table["rows"] = Json::Value(Json::arrayValue);
    for (const forward::FeedRow& row : it.rows)
      rows.append(JsonOf(row));
  }
  return PrintCompact(object);
}

std::optional<forward::StoreSyncResponse> DecodeStoreSyncResponse(
    std::string_view text,
    const ConfigurationDecoder& decode_configuration) {
  const auto object = ParseJsonValue(text);
  if (!object || !object->isObject() || !(*object)["revision"].isUInt64() ||
      !(*object)["operators_version"].isUInt64() ||
      !(*object)["age_us"].isInt64() || (*object)["age_us"].asInt64() < 0 ||
      !(*object)["tables"].isArray() || !HasEraOrNone(*object))
    return std::nullopt;
  auto notices = NoticesOf((*object)["notices"]);
  auto limits = DecodeLimitReports((*object)["limits"]);
  if (!notices || !limits)
    return std::nullopt;
  forward::StoreSyncResponse response;
  response.era = EraOf(*object);
  response.limits = std::move(*limits);
  response.notices = std::move(*notices);
  response.age = *ParseMicroseconds((*object)["age_us"]);
  response.revision = (*object)["revision"].asUInt64();
  response.operators_version = (*object)["operators_version"].asUInt64();
  for (const Json::Value& it : (*object)["tables"]) {
    auto table = TableOf(it, decode_configuration);
    if (!table)
      return std::nullopt;
    response.tables.push_back(std::move(*table));
  }
  return response;
}

}  // namespace bilberry::transport
