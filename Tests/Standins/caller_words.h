#pragma once

#include <chrono>
#include <set>
#include <string>

#include "LibBase/http_header.h"
#include "LibBase/ids.h"
#include "Standins/piece_endpoint_standin.h"

// How the users' callers, endpoints and operators speak.
namespace bilberry::standins {

struct CallerRequest {
  std::string id;
  std::string method;
  std::string target;
  std::string key;
  std::chrono::milliseconds time_left{3000};
  bool is_stream = false;
};

// As sent on a connection that is to be kept.
std::string ToHttp(const CallerRequest& request);

// Which request an answer says it answers; empty if it says nothing.
std::string EchoedRequestId(const base::HttpHeaders& headers);
bool IsSealed(const base::HttpHeaders& headers);

// The id that a request had when it reached an endpoint.
std::string RequestIdOf(const Arrival& arrival);

// SmallConfiguration() with other keys.
std::string KeyedConfiguration(uint64_t revision,
                               const std::set<std::string>& keys);

enum class EntryState { kReady, kDraining };

// The tables of the store that operators and endpoints write to.
extern const char* const kOperatorRows;
extern const char* const kEndpointRows;
// The row of the configuration.
extern const char* const kConfigurationRow;

// An endpoint's entry in the store, as it writes it itself from time to time.
std::string EndpointEntry(const PieceEndpointStandin& endpoint,
                          const std::string& pool,
                          const std::string& zone,
                          EntryState state,
                          uint64_t sequence);

}  // namespace bilberry::standins
