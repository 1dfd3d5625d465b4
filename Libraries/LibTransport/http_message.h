#pragma once

#include <string>

#include "LibBase/http_header.h"

namespace bilberry::transport {

using base::FindHeader;
using base::HttpHeader;
using base::HttpHeaders;

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

// Headers defined by this project; docs/CONTRACTS.md specifies them.
inline constexpr const char* kTeamHeader = "Bilberry-Team";
inline constexpr const char* kRankHeader = "Bilberry-Rank";
inline constexpr const char* kDeadlineHeader = "Bilberry-Deadline-Ms";
inline constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";
inline constexpr const char* kRequestIdHeader = "Bilberry-Request-Id";
inline constexpr const char* kExecutedHeader = "Bilberry-Executed";
inline constexpr const char* kAttemptIdHeader = "Bilberry-Attempt-Id";
inline constexpr const char* kNotRunHeader = "Bilberry-Not-Run";
inline constexpr const char* kLeavingHeader = "Bilberry-Leaving";
inline constexpr const char* kLoadHeader = "Bilberry-Load";
inline constexpr const char* kResumeOffsetHeader = "Bilberry-Resume-Offset";
inline constexpr const char* kResumedFromHeader = "Bilberry-Resumed-From";
inline constexpr const char* kRetryAfterHeader = "Retry-After";
// Identifies a request from one entry host to another; the answer echoes the
// ID.
inline constexpr const char* kExchangeIdHeader = "Bilberry-Exchange-Id";
inline constexpr const char* kContentTypeHeader = "Content-Type";
inline constexpr const char* kOperatorTokenHeader = "Bilberry-Operator-Token";

inline constexpr const char* kJsonType = "application/json";
inline constexpr const char* kTextType = "text/plain; charset=utf-8";
inline constexpr const char* kEventStreamType = "text/event-stream";

}  // namespace bilberry::transport
