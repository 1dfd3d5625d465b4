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

base::Result<node::PeerMessage> DecodeDigest(const Json::Value& value) {
  if (!value["host"].isString() || !value["incarnation"].isUInt64() ||
      !value["revision"].isUInt64())
    return Malformed("a digest lacks a field");
  return node::PeerMessage(
      node::Digest{{value["host"].asString()},
                   base::Incarnation{value["incarnation"].asUInt64()},
                   base::Revision{value["revision"].asUInt64()}});
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
                   out["host"] = it.host.value;
                   out["incarnation"] =
                       static_cast<Json::UInt64>(it.incarnation);
                   out["revision"] = NumberOf(it.revision);
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
