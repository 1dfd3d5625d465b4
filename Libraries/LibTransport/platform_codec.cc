#include "LibTransport/platform_codec.h"

#include <arpa/inet.h>
#include <curl/curl.h>

#include <array>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "LibBase/overloaded.h"
#include "LibTransport/json_array_splitter.h"
#include "LibTransport/json_text.h"

namespace bilberry::transport {

namespace {

using base::HostEntry;
using base::HostKind;
using base::HostState;

constexpr std::array kKindNames{
    std::pair{HostKind::kEndpoint, "endpoint"},
    std::pair{HostKind::kEntryHost, "entry"},
};

constexpr std::array kStateNames{
    std::pair{HostState::kLive, "live"},
    std::pair{HostState::kLeaving, "leaving"},
    std::pair{HostState::kGone, "gone"},
};

template <typename Table, typename T>
const char* NameIn(const Table& table, T wanted) {
  for (const auto& [value, name] : table) {
    if (value == wanted)
      return name;
  }
  return "";
}

template <typename Table>
auto ValueIn(const Table& table, const std::string& wanted)
    -> std::optional<decltype(table[0].first)> {
  for (const auto& [value, name] : table) {
    if (wanted == name)
      return value;
  }
  return std::nullopt;
}

base::Error Malformed(std::string reason) {
  return {base::ErrorCode::kMalformed, base::Step::kPlatformCall, "platform",
          std::move(reason)};
}

std::string Escape(const std::string& text) {
  char* escaped =
      curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size()));
  std::string out(escaped);
  curl_free(escaped);
  return out;
}

Json::Value VersionValue(base::RowVersion version) {
  return static_cast<Json::UInt64>(version);
}

HttpRequest EncodeWrite(const base::WriteRows& request) {
  Json::Value body;
  body["writes"] = Json::arrayValue;
  for (const base::TableWrite& write : request.writes) {
    Json::Value one;
    one["key"] = write.key;
    one["expected"] = VersionValue(write.expected);
    one["value"] = write.value;
    body["writes"].append(std::move(one));
  }
  HttpRequest http;
  http.method = HttpMethod::kPost;
  http.path = kTableWritePath;
  http.headers = {{kContentTypeHeader, kJsonType}};
  http.body = PrintCompact(body);
  return http;
}

HttpRequest Get(std::string path) {
  HttpRequest http;
  http.path = std::move(path);
  return http;
}

base::Result<base::TableRow> DecodeRow(const Json::Value& value) {
  if (!value.isObject() || !value["key"].isString() ||
      !value["version"].isUInt64() || !value["value"].isString())
    return Malformed("a table row lacks a field");
  return base::TableRow{value["key"].asString(),
                        base::RowVersion{value["version"].asUInt64()},
                        value["value"].asString()};
}

base::Result<base::PlatformAnswer> DecodeWritten(const base::WriteRows& request,
                                                 const Json::Value& body) {
  const Json::Value& results = body["results"];
  if (!results.isArray() || results.size() != request.writes.size())
    return Malformed("a write's results do not match it");
  base::RowsWritten written;
  for (const Json::Value& value : results) {
    if (!value.isObject() || !value["applied"].isBool())
      return Malformed("a write's result lacks a field");
    TRY(row, DecodeRow(value["row"]));
    written.results.push_back({value["applied"].asBool(), std::move(row)});
  }
  return base::PlatformAnswer(std::move(written));
}

base::Result<base::PlatformAnswer> DecodeRows(const Json::Value& body) {
  if (!body["rows"].isArray())
    return Malformed("a list of rows lacks its rows");
  base::RowsListed listed;
  for (const Json::Value& value : body["rows"]) {
    TRY(row, DecodeRow(value));
    listed.rows.push_back(std::move(row));
  }
  return base::PlatformAnswer(std::move(listed));
}

// Decodes a host list. Malformed entries are skipped, so that they don't affect
// the others.
base::Result<base::PlatformAnswer> DecodeHosts(const std::string& text) {
  const auto split = SplitArrayMember(text, "hosts");
  const auto body = split ? ParseJsonValue(split->rest) : std::nullopt;
  if (!body || !body->isObject() || !(*body)["version"].isUInt64())
    return Malformed("a host list lacks a field");
  base::HostsPolled polled;
  polled.version = (*body)["version"].asUInt64();
  for (const std::string_view element : split->elements) {
    const auto value = ParseJsonValue(element);
    if (!value)
      continue;
    auto entry = DecodeHost(*value);
    if (entry)
      polled.changed.push_back(std::move(entry.value()));
  }
  return base::PlatformAnswer(std::move(polled));
}

// Decodes answers that consist of their status alone: the row or the host list
// is unchanged (304), or there is no such row or object (404).
std::optional<base::PlatformAnswer> DecodeBodilessAnswer(
    const base::PlatformRequest& request,
    int status) {
  if (status == kNotModified) {
    if (std::holds_alternative<base::ReadRow>(request))
      return base::RowRead{};
    if (const auto* poll = std::get_if<base::PollHosts>(&request))
      return base::HostsPolled{poll->version, {}};
  }
  if (status == kNotFound) {
    if (const auto* read = std::get_if<base::ReadRow>(&request))
      return base::RowRead{
          base::TableRow{read->key, base::RowVersion::kAbsent, ""}};
    if (std::holds_alternative<base::FetchObject>(request))
      return base::ObjectFetched{};
  }
  return std::nullopt;
}

bool IsIpAddress(const std::string& text) {
  in6_addr number{};
  return text.find('\0') == std::string::npos &&
         (inet_pton(AF_INET, text.c_str(), &number) == 1 ||
          inet_pton(AF_INET6, text.c_str(), &number) == 1);
}

base::Result<base::SocketAddress> AddressOf(const Json::Value& host) {
  const std::string ip = host["ip"].asString();
  const uint32_t port = host["port"].asUInt();
  if (!IsIpAddress(ip) || port == 0 ||
      port > std::numeric_limits<uint16_t>::max())
    return Malformed("a host has no such address");
  return base::SocketAddress{ip, static_cast<uint16_t>(port)};
}

}  // namespace

Json::Value EncodeRow(const base::TableRow& row) {
  Json::Value value;
  value["key"] = row.key;
  value["version"] = VersionValue(row.version);
  value["value"] = row.value;
  return value;
}

Json::Value EncodeHost(const HostEntry& entry) {
  Json::Value value;
  value["name"] = entry.name;
  value["kind"] = NameIn(kKindNames, entry.kind);
  value["pool"] = entry.pool.value;
  value["zone"] = entry.zone.value;
  value["ip"] = entry.address.ip;
  value["port"] = entry.address.port;
  value["incarnation"] = static_cast<Json::UInt64>(entry.incarnation);
  value["state"] = NameIn(kStateNames, entry.state);
  return value;
}

base::Result<HostEntry> DecodeHost(const Json::Value& value) {
  if (!value.isObject())
    return Malformed("a host must be an object");
  for (const char* key : {"name", "kind", "pool", "zone", "ip", "state"}) {
    if (!value[key].isString())
      return Malformed(std::string("a host lacks its ") + key);
  }
  if (!value["port"].isUInt() || !value["incarnation"].isUInt64())
    return Malformed("a host lacks its port or incarnation");
  const auto kind = ValueIn(kKindNames, value["kind"].asString());
  const auto state = ValueIn(kStateNames, value["state"].asString());
  if (!kind || !state)
    return Malformed("a host is of an unknown kind or state");
  HostEntry entry;
  entry.name = value["name"].asString();
  entry.kind = *kind;
  entry.pool = {value["pool"].asString()};
  entry.zone = {value["zone"].asString()};
  if (entry.name.empty())
    return Malformed("a host has no name");
  TRY(address, AddressOf(value));
  entry.address = std::move(address);
  entry.incarnation = base::Incarnation{value["incarnation"].asUInt64()};
  entry.state = *state;
  return entry;
}

base::Result<base::WriteRows> DecodeWriteRows(const Json::Value& value) {
  if (!value.isObject() || !value["writes"].isArray())
    return Malformed("a write lacks its rows");
  base::WriteRows request;
  for (const Json::Value& one : value["writes"]) {
    if (!one.isObject() || !one["key"].isString() ||
        !one["expected"].isUInt64() || !one["value"].isString())
      return Malformed("a write's row lacks a field");
    request.writes.push_back({one["key"].asString(),
                              base::RowVersion{one["expected"].asUInt64()},
                              one["value"].asString()});
  }
  return request;
}

HttpRequest EncodePlatformRequest(const base::PlatformRequest& request) {
  return std::visit(
      base::Overloaded{
          [](const base::WriteRows& it) { return EncodeWrite(it); },
          [](const base::ReadRow& it) {
            return Get(
                std::string(kTableRowPath) + "?key=" + Escape(it.key) +
                "&unless=" + std::to_string(static_cast<uint64_t>(it.unless)));
          },
          [](const base::ListRows& it) {
            return Get(std::string(kTableRowsPath) +
                       "?prefix=" + Escape(it.prefix) +
                       "&limit=" + std::to_string(it.limit));
          },
          [](const base::StoreObject& it) {
            HttpRequest http;
            http.method = HttpMethod::kPut;
            http.path = kObjectsPath + Escape(it.name);
            http.body = it.content;
            return http;
          },
          [](const base::FetchObject& it) {
            return Get(kObjectsPath + Escape(it.name));
          },
          [](const base::PollHosts& it) {
            return Get(std::string(kHostsPath) +
                       "?after=" + std::to_string(it.version));
          },
      },
      request);
}

base::Result<base::PlatformAnswer> DecodePlatformAnswer(
    const base::PlatformRequest& request,
    const HttpResponse& response) {
  if (auto bare = DecodeBodilessAnswer(request, response.status))
    return std::move(*bare);
  if (response.status != 200)
    return base::Error{base::ErrorCode::kUnavailable, base::Step::kPlatformCall,
                       "platform", "status " + std::to_string(response.status)};
  if (std::holds_alternative<base::StoreObject>(request))
    return base::PlatformAnswer(base::ObjectStored{});
  if (std::holds_alternative<base::FetchObject>(request))
    return base::PlatformAnswer(base::ObjectFetched{response.body});
  if (std::holds_alternative<base::PollHosts>(request))
    return DecodeHosts(response.body);
  const auto body = ParseJsonValue(response.body);
  if (!body || !body->isObject())
    return Malformed("the answer is not a JSON object");
  if (const auto* write = std::get_if<base::WriteRows>(&request))
    return DecodeWritten(*write, *body);
  if (std::holds_alternative<base::ListRows>(request))
    return DecodeRows(*body);
  TRY(row, DecodeRow(*body));
  return base::PlatformAnswer(base::RowRead{std::move(row)});
}

}  // namespace bilberry::transport
