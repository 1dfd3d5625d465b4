#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/http_header.h"
#include "LibBase/ids.h"
#include "LibBase/time.h"

namespace bilberry::forward {

// A part of a prompt that other requests may share.
struct PrefixPart {
  std::string id;
  uint64_t tokens = 0;
};

// A caller's request as received, its headers parsed once by the adapter. None
// of it has been checked against the configuration.
struct ForwardedRequest {
  base::CallerId caller{};
  std::string request_id;  // Set by the caller, new for each of its attempts.
  std::string host;
  std::string method;
  std::string target;  // Path and query, passed on unchanged.
  std::string path;    // Without the query.
  // Headers to pass on: hop-by-hop headers and headers reserved for the system
  // are removed.
  base::HttpHeaders headers;
  // Shared by the run, its attempts and their transfers. Null if empty.
  std::shared_ptr<const std::string> body;
  std::optional<std::string> key;
  // Remaining time until the caller's deadline.
  std::optional<base::Duration> budget;
  std::vector<uint32_t> piece_counts;  // By stage; 0 skips the stage.
  std::string piece_key;  // Input of stages that read no other stage.
  std::vector<PrefixPart> prefix;
  uint64_t prompt_tokens = 0;
  uint64_t max_output_tokens = 0;
  std::optional<std::string>
      last_event;  // Last-Event-Id: the last event that the caller received.
  // Of a request that takes up a broken stream: the id of the caller's attempt
  // that brought the stream's first event. Empty if the caller doesn't state
  // it.
  std::string resumed_stream;
  // Whether a peer that can't reach the endpoints passes the request on. It is
  // served here or declined, but not passed on again.
  bool is_carried = false;
};

// Returns the digest of what makes two requests of a team the same: method,
// host, path with query, and body. The caller's request id differs each time.
std::string DigestOf(const std::optional<base::TeamName>& team,
                     const ForwardedRequest& request);

}  // namespace bilberry::forward
