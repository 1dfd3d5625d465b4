#pragma once

#include <json/value.h>

#include <string>

#include "LibBase/error.h"
#include "LibBase/platform.h"
#include "LibTransport/http_client.h"

// HTTP encoding of the platform's table, object store and host list, as
// docs/CONTRACTS.md specifies.
namespace bilberry::transport {

inline constexpr const char* kTableWritePath = "/v1/table/write";
inline constexpr const char* kTableRowPath = "/v1/table/row";
inline constexpr const char* kTableRowsPath = "/v1/table/rows";
inline constexpr const char* kObjectsPath = "/v1/objects/";
inline constexpr const char* kHostsPath = "/v1/hosts";

inline constexpr int kNotModified = 304;  // RFC 9110 section 15.4.5.
inline constexpr int kNotFound = 404;     // RFC 9110 section 15.5.5.

// Encodes a request's method, path, headers and body; the sender sets the
// address and the timeout.
HttpRequest EncodePlatformRequest(const base::PlatformRequest& request);

// Decodes the response to `request`.
base::Result<base::PlatformAnswer> DecodePlatformAnswer(
    const base::PlatformRequest& request,
    const HttpResponse& response);

Json::Value EncodeRow(const base::TableRow& row);
Json::Value EncodeHost(const base::HostEntry& entry);
base::Result<base::HostEntry> DecodeHost(const Json::Value& value);
base::Result<base::WriteRows> DecodeWriteRows(const Json::Value& value);

}  // namespace bilberry::transport
