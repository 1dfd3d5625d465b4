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

base::Error Malformed(std::string reason) {
  return {base::ErrorCode::kMalformed, base::Step::kPeerCall, "",
          std::move(reason)};
}

// What a digest's lists may hold; a longer one is malformed.
constexpr Json::ArrayIndex kMaxDigestItems = 256;

bool IsList(const Json::Value& value) {
  return value.isArray() && value.size() <= kMaxDigestItems;
}

Json::Value EncodeDigest(const node::Digest& digest) {
  Json::Value out;
  out["host"] = digest.host.value;
  out["incarnation"] = static_cast<Json::UInt64>(digest.incarnation);
  out["revision"] = NumberOf(digest.revision);
  out["leaving"] = Json::arrayValue;
  for (const node::LeavingMark& mark : digest.leaving) {
    Json::Value one;
    one["name"] = mark.name;
    one["incarnation"] = static_cast<Json::UInt64>(mark.incarnation);
    out["leaving"].append(std::move(one));
  }
  out["quarantined"] = Json::arrayValue;
  for (const std::string& request : digest.quarantined)
    out["quarantined"].append(request);
  out["suspected"] = Json::arrayValue;
  for (const policy::Suspicion& suspicion : digest.suspected) {
    Json::Value one;
    one["request"] = suspicion.request;
    one["endpoint"] = suspicion.endpoint.value;
    out["suspected"].append(std::move(one));
  }
  out["shares"] = Json::arrayValue;
  for (const node::PoolShare& share : digest.shares) {
    Json::Value one;
    one["pool"] = share.pool.value;
    one["in_flight"] = share.in_flight;
    one["queued"] = share.queued;
    out["shares"].append(std::move(one));
  }
  return out;
}

// Hosts of an earlier version send none.
bool DecodeSuspected(const Json::Value& value, node::Digest& digest) {
  if (value.isNull())
    return true;
  if (!IsList(value))
    return false;
  for (const Json::Value& one : value) {
    if (!one.isObject() || !one["request"].isString() ||
        !one["endpoint"].isString())
      return false;
    digest.suspected.push_back(
        {one["request"].asString(), {one["endpoint"].asString()}});
  }
  return true;
}

bool DecodeLists(const Json::Value& value, node::Digest& digest) {
  if (!IsList(value["leaving"]) || !IsList(value["quarantined"]) ||
      !IsList(value["shares"]))
    return false;
  for (const Json::Value& one : value["leaving"]) {
    if (!one.isObject() || !one["name"].isString() ||
        !one["incarnation"].isUInt64())
      return false;
    digest.leaving.push_back(
        {one["name"].asString(),
         base::Incarnation{one["incarnation"].asUInt64()}});
  }
  for (const Json::Value& one : value["quarantined"]) {
    if (!one.isString())
      return false;
    digest.quarantined.push_back(one.asString());
  }
  for (const Json::Value& one : value["shares"]) {
    if (!one.isObject() || !one["pool"].isString() ||
        !one["in_flight"].isUInt() || !one["queued"].isUInt())
      return false;
    digest.shares.push_back({{one["pool"].asString()},
                             one["in_flight"].asUInt(),
                             one["queued"].asUInt()});
  }
  return true;
}

base::Result<node::PeerMessage> DecodeDigest(const Json::Value& value) {
  if (!value["host"].isString() || !value["incarnation"].isUInt64() ||
      !value["revision"].isUInt64())
    return Malformed("a digest lacks a field");
  node::Digest digest;
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
