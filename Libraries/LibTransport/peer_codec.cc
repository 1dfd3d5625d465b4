#include "LibTransport/peer_codec.h"

#include <array>
#include <utility>

#include "LibBase/overloaded.h"
#include "LibBooking/byte_text.h"
#include "LibNode/booking_outbox.h"
#include "LibTransport/platform_codec.h"

namespace bilberry::transport {

namespace {

constexpr const char* kDigest = "digest";
constexpr const char* kConfigurationQuery = "configuration_query";
constexpr const char* kConfigurationOffer = "configuration_offer";
constexpr const char* kBookingQuery = "booking_query";
constexpr const char* kBookingReply = "booking_reply";
constexpr const char* kBookingCopies = "booking_copies";
constexpr const char* kBookingCopiesHeld = "booking_copies_held";

constexpr std::array kBookingStatusNames{
    std::pair{node::BookingStatus::kUnknown, "unknown"},
    std::pair{node::BookingStatus::kRunning, "running"},
    std::pair{node::BookingStatus::kNotRun, "not_run"},
    std::pair{node::BookingStatus::kDone, "done"},
};

Json::Value NumberOf(base::Revision revision) {
  return static_cast<Json::UInt64>(revision);
}

// Version of the peer messages; a digest of another version is rejected.
constexpr int kPeerVersion = 1;

base::Error Malformed(std::string reason) {
  return {base::ErrorCode::kMalformed, base::Step::kPeerCall, "",
          std::move(reason)};
}

// Longest list in a digest; a digest with a longer one is malformed.
constexpr Json::ArrayIndex kMaxDigestItems = 256;

constexpr size_t kMaxNameBytes = 256;

bool IsList(const Json::Value& value) {
  return value.isNull() || (value.isArray() && value.size() <= kMaxDigestItems);
}

// Whether the value is an array of `size` values that begins with a name.
bool IsRow(const Json::Value& value, Json::ArrayIndex size) {
  return value.isArray() && value.size() == size && value[0].isString() &&
         value[0].asString().size() <= kMaxNameBytes;
}

template <typename... Values>
Json::Value RowOf(const Values&... values) {
  Json::Value row(Json::arrayValue);
  (row.append(values), ...);
  return row;
}

Json::Value EncodeGossipDigest(const node::GossipDigest& digest) {
  Json::Value out;
  out["v"] = kPeerVersion;
  out["host"] = digest.host.value;
  out["incarnation"] = static_cast<Json::UInt64>(digest.incarnation);
  out["revision"] = NumberOf(digest.revision);
  // Empty lists are omitted and rows are arrays without field names, since
  // digests make up most of the traffic between hosts.
  for (const node::LeavingMark& mark : digest.leaving)
    out["leaving"].append(
        RowOf(mark.name, static_cast<Json::UInt64>(mark.incarnation)));
  for (const std::string& request : digest.quarantined)
    out["quarantined"].append(request);
  for (const policy::CrashSuspicion& suspicion : digest.suspected)
    out["suspected"].append(RowOf(suspicion.request, suspicion.endpoint.value));
  for (const node::HostPoolLoad& pool_load : digest.pool_loads)
    out["shares"].append(
        RowOf(pool_load.pool.value, pool_load.in_flight, pool_load.queued));
  return out;
}

bool DecodeSuspected(const Json::Value& value, node::GossipDigest& digest) {
  if (!IsList(value))
    return false;
  for (const Json::Value& row : value) {
    if (!IsRow(row, 2) || !row[1].isString() ||
        row[1].asString().size() > kMaxNameBytes)
      return false;
    digest.suspected.push_back({row[0].asString(), {row[1].asString()}});
  }
  return true;
}

bool DecodeLists(const Json::Value& value, node::GossipDigest& digest) {
  if (!IsList(value["leaving"]) || !IsList(value["quarantined"]) ||
      !IsList(value["shares"]))
    return false;
  for (const Json::Value& row : value["leaving"]) {
    if (!IsRow(row, 2) || !row[1].isUInt64())
      return false;
    digest.leaving.push_back(
        {row[0].asString(), base::Incarnation{row[1].asUInt64()}});
  }
  for (const Json::Value& one : value["quarantined"]) {
    if (!one.isString() || one.asString().size() > kMaxNameBytes)
      return false;
    digest.quarantined.push_back(one.asString());
  }
  for (const Json::Value& row : value["shares"]) {
    if (!IsRow(row, 3) || !row[1].isUInt() || !row[2].isUInt())
      return false;
    digest.pool_loads.push_back(
        {{row[0].asString()}, row[1].asUInt(), row[2].asUInt()});
  }
  return true;
}

base::Result<node::PeerMessage> DecodeGossipDigest(const Json::Value& value) {
  if (value["v"] != kPeerVersion)
    return Malformed("a digest of another version");
  if (!value["host"].isString() ||
      value["host"].asString().size() > kMaxNameBytes ||
      !value["incarnation"].isUInt64() || !value["revision"].isUInt64())
    return Malformed("a digest lacks a field");
  node::GossipDigest digest;
  digest.host = {value["host"].asString()};
  digest.incarnation = base::Incarnation{value["incarnation"].asUInt64()};
  digest.revision = base::Revision{value["revision"].asUInt64()};
  if (!DecodeLists(value, digest) ||
      !DecodeSuspected(value["suspected"], digest))
    return Malformed("a digest's list is malformed or too long");
  return node::PeerMessage(std::move(digest));
}

base::Result<node::PeerMessage> DecodeQuery(const Json::Value& value) {
  if (!value["revision"].isUInt64())
    return Malformed("a configuration query lacks its revision");
  if (value.isMember("wants_hosts") && !value["wants_hosts"].isBool())
    return Malformed("a configuration query's wish for hosts is malformed");
  return node::PeerMessage(
      node::ConfigurationQuery{base::Revision{value["revision"].asUInt64()},
                               value["wants_hosts"].asBool()});
}

base::Result<node::HostsOffer> DecodeHostsOffer(const Json::Value& value) {
  if (!value["hosts"].isArray() || !value["hosts_age_us"].isInt64())
    return Malformed("a host list lacks a field");
  node::HostsOffer offer;
  offer.age = base::Duration(value["hosts_age_us"].asInt64());
  for (const Json::Value& it : value["hosts"]) {
    TRY(entry, DecodeHost(it));
    offer.hosts.push_back(std::move(entry));
  }
  return offer;
}

base::Result<node::PeerMessage> DecodeOffer(const Json::Value& value) {
  if (!value["revision"].isUInt64() || !value["document"].isString())
    return Malformed("a configuration offer lacks a field");
  node::ConfigurationOffer offer{base::Revision{value["revision"].asUInt64()},
                                 value["document"].asString(), std::nullopt};
  if (value.isMember("hosts")) {
    TRY(hosts, DecodeHostsOffer(value));
    offer.hosts = std::move(hosts);
  }
  return node::PeerMessage(std::move(offer));
}

const char* NameOf(node::BookingStatus booking_status) {
  for (const auto& [value, name] : kBookingStatusNames) {
    if (value == booking_status)
      return name;
  }
  return "";
}

base::Result<node::PeerMessage> DecodeBookingQuery(const Json::Value& value) {
  if (!value["claim_token"].isString())
    return Malformed("a booking query lacks its claim token");
  return node::PeerMessage(node::BookingQuery{value["claim_token"].asString()});
}

base::Result<node::PeerMessage> DecodeBookingReply(const Json::Value& value) {
  if (!value["standing"].isString() || !value["status"].isInt() ||
      !value["answer"].isString())
    return Malformed("a booking reply lacks a field");
  const auto answer = booking::TextToBytes(value["answer"].asString());
  if (!answer)
    return Malformed("a booking reply's answer can't be read");
  for (const auto& [booking_status, name] : kBookingStatusNames) {
    if (value["standing"].asString() == name)
      return node::PeerMessage(
          node::BookingReply{booking_status, value["status"].asInt(), *answer});
  }
  return Malformed("unknown standing of a booking");
}

Json::Value EncodeSettlement(const booking::Settlement& settlement) {
  Json::Value out;
  out["row_key"] = settlement.row_key;
  out["record"] = booking::SerializeRecord(settlement.record);
  out["expected"] = static_cast<Json::UInt64>(settlement.expected);
  return out;
}

base::Result<booking::Settlement> DecodeSettlement(const Json::Value& value) {
  if (!value.isObject() || !value["row_key"].isString() ||
      !value["record"].isString() || !value["expected"].isUInt64())
    return Malformed("a booking's copy lacks a field");
  // The row is written to the table under this key, so only keys of bookings
  // are accepted.
  if (!value["row_key"].asString().starts_with(booking::kRowPrefix))
    return Malformed("a booking's copy is of another row");
  TRY(record, booking::ParseRecord(value["record"].asString()));
  if (record.state == booking::BookingState::kClaimed)
    return Malformed("a booking's copy is not final");
  return booking::Settlement{value["row_key"].asString(), std::move(record),
                             base::RowVersion{value["expected"].asUInt64()}};
}

base::Result<node::PeerMessage> DecodeCopies(const Json::Value& value) {
  const Json::Value& list = value["settlements"];
  if (!list.isArray() ||
      list.size() > node::BookingOutbox::kMaxCopiesPerMessage)
    return Malformed("a list of bookings' copies is malformed or too long");
  node::BookingCopies copies;
  for (const Json::Value& one : list) {
    TRY(settlement, DecodeSettlement(one));
    copies.settlements.push_back(std::move(settlement));
  }
  return node::PeerMessage(std::move(copies));
}

base::Result<node::PeerMessage> DecodeCopiesHeld(const Json::Value& value) {
  const Json::Value& list = value["claim_tokens"];
  if (!list.isArray() ||
      list.size() > node::BookingOutbox::kMaxCopiesPerMessage)
    return Malformed("a list of claim tokens is malformed or too long");
  node::BookingCopiesAck held;
  for (const Json::Value& one : list) {
    if (!one.isString())
      return Malformed("a claim token must be a string");
    held.claim_tokens.push_back(one.asString());
  }
  return node::PeerMessage(std::move(held));
}

}  // namespace

PeerCall EncodePeerMessage(const node::PeerMessage& message) {
  PeerCall call;
  Json::Value& out = call.parameters;
  std::visit(base::Overloaded{
                 [&](const node::GossipDigest& it) {
                   call.method = kDigest;
                   out = EncodeGossipDigest(it);
                 },
                 [&](const node::ConfigurationQuery& it) {
                   call.method = kConfigurationQuery;
                   out["revision"] = NumberOf(it.revision);
                   out["wants_hosts"] = it.wants_hosts;
                 },
                 [&](const node::ConfigurationOffer& it) {
                   call.method = kConfigurationOffer;
                   out["revision"] = NumberOf(it.revision);
                   out["document"] = it.document;
                   if (it.hosts) {
                     out["hosts"] = Json::arrayValue;
                     for (const base::HostEntry& entry : it.hosts->hosts)
                       out["hosts"].append(EncodeHost(entry));
                     out["hosts_age_us"] =
                         static_cast<Json::Int64>(it.hosts->age.count());
                   }
                 },
                 [&](const node::BookingQuery& it) {
                   call.method = kBookingQuery;
                   out["claim_token"] = it.claim_token;
                 },
                 [&](const node::BookingReply& it) {
                   call.method = kBookingReply;
                   out["standing"] = NameOf(it.booking_status);
                   out["status"] = it.status;
                   out["answer"] = booking::BytesToText(it.answer);
                 },
                 [&](const node::BookingCopies& it) {
                   call.method = kBookingCopies;
                   out["settlements"] = Json::arrayValue;
                   for (const booking::Settlement& one : it.settlements)
                     out["settlements"].append(EncodeSettlement(one));
                 },
                 [&](const node::BookingCopiesAck& it) {
                   call.method = kBookingCopiesHeld;
                   out["claim_tokens"] = Json::arrayValue;
                   for (const std::string& token : it.claim_tokens)
                     out["claim_tokens"].append(token);
                 },
             },
             message);
  return call;
}

base::Result<node::PeerMessage> DecodePeerMessage(
    std::string_view method,
    const Json::Value& parameters) {
  if (!parameters.isObject())
    return Malformed("parameters must be an object");
  if (method == kDigest)
    return DecodeGossipDigest(parameters);
  if (method == kConfigurationQuery)
    return DecodeQuery(parameters);
  if (method == kConfigurationOffer)
    return DecodeOffer(parameters);
  if (method == kBookingQuery)
    return DecodeBookingQuery(parameters);
  if (method == kBookingReply)
    return DecodeBookingReply(parameters);
  if (method == kBookingCopies)
    return DecodeCopies(parameters);
  if (method == kBookingCopiesHeld)
    return DecodeCopiesHeld(parameters);
  return Malformed("unknown method");
}

}  // namespace bilberry::transport
