#include "Standins/platform_messages.h"

#include <json/value.h>

#include <cassert>

#include "LibTransport/json_text.h"
#include "Standins/small_platform.h"
#include "platform/wire_names.h"

namespace bilberry::standins {

namespace {

namespace wire = platform::wire;

constexpr const char* kPrompt = "prompt";

std::string TextOf(const base::HttpHeaders& headers, const char* name) {
  const std::string* value = base::FindHeader(headers, name);
  return value == nullptr ? "" : *value;
}

}  // namespace

const char* const kOperatorRows = wire::kConfigurationTable;
const char* const kEndpointRows = wire::kEndpointTable;
const char* const kConfigurationRow = wire::kConfigurationKey;

base::HttpHeaders CallerHeaders(const CallerRequest& request) {
  base::HttpHeaders headers{
      {"Host", "shop.example"},
      {wire::kRequestId, request.id},
      {wire::kRemainingTime, std::to_string(request.time_left.count())},
      {wire::kApiKey, wire::kApiKeyScheme + request.key}};
  if (request.is_stream) {
    headers.push_back({wire::kPrefix, "aa:100,bb:50"});
    headers.push_back({wire::kTokenCounts, "200,20"});
    headers.push_back({wire::kPieceCounts, "2,3"});
    headers.push_back({wire::kPieceKey, "5eed"});
  }
  return headers;
}

std::string ToHttp(const CallerRequest& request) {
  base::HttpHeaders headers = CallerHeaders(request);
  const std::string body = request.is_stream ? kPrompt : "";
  if (request.method != "GET")
    headers.push_back({"Content-Length", std::to_string(body.size())});
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const base::HttpHeader& header : headers)
    text.append(header.name).append(": ").append(header.value).append("\r\n");
  return text + "\r\n" + body;
}

std::string EchoedRequestId(const base::HttpHeaders& headers) {
  return TextOf(headers, wire::kRequestId);
}

bool IsSealed(const base::HttpHeaders& headers) {
  return base::FindHeader(headers, wire::kServerSeal) != nullptr;
}

std::string RequestIdOf(const Arrival& arrival) {
  return TextOf(arrival.headers, wire::kRequestId);
}

std::string KeyedConfiguration(uint64_t revision,
                               const std::set<std::string>& keys) {
  auto configuration = transport::ParseJsonValue(SmallConfiguration(revision));
  assert(configuration);
  Json::Value& listed = (*configuration)["tenants"][0]["apiKeys"];
  listed = Json::Value(Json::arrayValue);
  for (const std::string& key : keys)
    listed.append(key);
  return transport::PrintCompact(*configuration);
}

std::string EndpointEntry(const PieceEndpointStandin& endpoint,
                          const std::string& pool,
                          const std::string& zone,
                          EntryState state,
                          uint64_t sequence) {
  Json::Value entry;
  entry["service"] = pool;
  entry["address"] = base::ToText(endpoint.address());
  entry["zone"] = zone;
  entry["state"] = state == EntryState::kReady ? "ready" : "draining";
  entry["seq"] = static_cast<Json::UInt64>(sequence);
  if (!endpoint.model().software_version.empty())
    entry["version"] = endpoint.model().software_version;
  return transport::PrintCompact(entry);
}

}  // namespace bilberry::standins
