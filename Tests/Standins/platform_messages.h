#pragma once

#include <chrono>
#include <set>
#include <string>

#include "LibBase/http_header.h"
#include "LibBase/ids.h"
#include "Standins/piece_endpoint_standin.h"

// HTTP requests, headers and store rows in the formats that the platform's
// callers, endpoints and operators use.
namespace bilberry::standins {

struct CallerRequest {
  std::string id;
  std::string method;
  std::string target;
  std::string key;
  std::chrono::milliseconds time_left{3000};
  bool is_stream = false;
};

// The request's headers, without those that frame its body.
base::HttpHeaders CallerHeaders(const CallerRequest& request);

// The request's text for a keep-alive connection.
std::string ToHttp(const CallerRequest& request);

// The request id that an answer names; empty if it names none.
std::string EchoedRequestId(const base::HttpHeaders& headers);
bool IsSealed(const base::HttpHeaders& headers);

// The id of a request as received by an endpoint.
std::string RequestIdOf(const Arrival& arrival);

// SmallConfiguration() with other API keys.
std::string KeyedConfiguration(uint64_t revision,
                               const std::set<std::string>& keys);

enum class EntryState { kReady, kDraining };

// Tables of the store that operators and endpoints write to.
extern const char* const kOperatorRows;
extern const char* const kEndpointRows;
// Key of the configuration's row.
extern const char* const kConfigurationRow;

// An endpoint's entry in the store; endpoints rewrite theirs periodically with
// a higher `sequence`.
std::string EndpointEntry(const PieceEndpointStandin& endpoint,
                          const std::string& pool,
                          const std::string& zone,
                          EntryState state,
                          uint64_t sequence);

}  // namespace bilberry::standins
