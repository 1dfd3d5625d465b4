#include "LibTransport/peer_codec.h"

#include "LibBase/overloaded.h"

namespace bilberry::transport {

namespace {

constexpr const char* kDigest = "digest";
constexpr const char* kConfigurationQuery = "configuration_query";
constexpr const char* kConfigurationOffer = "configuration_offer";

Json::Value NumberOf(base::Revision revision) {
  return static_cast<Json::UInt64>(revision);
}

// Hosts of another version of these messages are not understood.
constexpr int kPeerVersion = 1;

base::Error Malformed(std::string reason) {
  return {base::ErrorCode::kMalformed, base::Step::kPeerCall, "",
          std::move(reason)};
}

// What a digest's lists may hold; a longer one is malformed.
constexpr Json::ArrayIndex kMaxDigestItems = 256;

constexpr size_t kMaxNameBytes = 256;

bool IsList(const Json::Value& value) {
  return value.isNull() || (value.isArray() && value.size() <= kMaxDigestItems);
}

// A row of `size` values that begins with a name.
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

Json::Value EncodeDigest(const node::Digest& digest) {
  Json::Value out;
  out["v"] = kPeerVersion;
  out["host"] = digest.host.value;
  out["incarnation"] = static_cast<Json::UInt64>(digest.incarnation);
  out["revision"] = NumberOf(digest.revision);
  // Lists that are empty are left out, and rows have no field names: digests
  // are most of what hosts send each other.
  for (const node::LeavingMark& mark : digest.leaving)
    out["leaving"].append(
        RowOf(mark.name, static_cast<Json::UInt64>(mark.incarnation)));
  for (const std::string& request : digest.quarantined)
    out["quarantined"].append(request);
  for (const node::PoolShare& share : digest.shares)
    out["shares"].append(
        RowOf(share.pool.value, share.in_flight, share.queued));
  return out;
}

bool DecodeLists(const Json::Value& value, node::Digest& digest) {
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
    digest.shares.push_back(
        {{row[0].asString()}, row[1].asUInt(), row[2].asUInt()});
  }
  return true;
}

base::Result<node::PeerMessage> DecodeDigest(const Json::Value& value) {
  if (value["v"] != kPeerVersion)
    return Malformed("a digest of another version");
  if (!value["host"].isString() ||
      value["host"].asString().size() > kMaxNameBytes ||
      !value["incarnation"].isUInt64() || !value["revision"].isUInt64())
    return Malformed("a digest lacks a field");
  node::Digest digest;
  digest.host = {value["host"].asString()};
  digest.incarnation = base::Incarnation{value["incarnation"].asUInt64()};
  digest.revision = base::Revision{value["revision"].asUInt64()};
  if (!DecodeLists(value, digest))
    return Malformed("a digest's list is malformed or too long");
  return node::PeerMessage(std::move(digest));
}

base::Result<node::PeerMessage> DecodeQuery(const Json::Value& value) {
  if (!value["revision"].isUInt64())
    return Malformed("a configuration query lacks its revision");
  return node::PeerMessage(
      node::ConfigurationQuery{base::Revision{value["revision"].asUInt64()}});
}

base::Result<node::PeerMessage> DecodeOffer(const Json::Value& value) {
  if (!value["revision"].isUInt64() || !value["document"].isString())
    return Malformed("a configuration offer lacks a field");
  return node::PeerMessage(
      node::ConfigurationOffer{base::Revision{value["revision"].asUInt64()},
                               value["document"].asString()});
}

}  // namespace

PeerCall EncodePeerMessage(const node::PeerMessage& message) {
  PeerCall call;
  Json::Value& out = call.parameters;
  std::visit(base::Overloaded{
                 [&](const node::Digest& it) {
                   call.method = kDigest;
                   out = EncodeDigest(it);
                 },
                 [&](const node::ConfigurationQuery& it) {
                   call.method = kConfigurationQuery;
                   out["revision"] = NumberOf(it.revision);
                 },
                 [&](const node::ConfigurationOffer& it) {
                   call.method = kConfigurationOffer;
                   out["revision"] = NumberOf(it.revision);
                   out["document"] = it.document;
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
    return DecodeDigest(parameters);
  if (method == kConfigurationQuery)
    return DecodeQuery(parameters);
  if (method == kConfigurationOffer)
    return DecodeOffer(parameters);
  return Malformed("unknown method");
}

}  // namespace bilberry::transport
