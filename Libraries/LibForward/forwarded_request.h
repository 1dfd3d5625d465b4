#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/http_header.h"
#include "LibBase/ids.h"
#include "LibBase/time.h"

namespace bilberry::forward {

// One part of a prompt that other requests may share.
struct PrefixPart {
  std::string id;
  uint64_t tokens = 0;
};

// A caller's request as it came in, its headers read once by the adapter.
// Nothing in it has been checked against the configuration.
struct ForwardedRequest {
  base::CallerId caller{};
  std::string request_id;  // The caller's own, new for each of its attempts.
  std::string host;
  std::string method;
  std::string target;  // Path and query, to be passed on as they came.
  std::string path;    // Without the query.
  // What is passed on: without what concerns one connection only and without
  // what only the system may set.
  base::HttpHeaders headers;
  std::string body;
  std::optional<std::string> key;
  std::optional<base::Duration> budget;  // How long the caller waits.
  std::vector<uint32_t> piece_counts;    // By stage; 0 leaves the stage out.
  std::string piece_key;                 // Input of stages that have none.
  std::vector<PrefixPart> prefix;
  uint64_t prompt_tokens = 0;
  uint64_t max_output_tokens = 0;
  std::optional<std::string>
      last_event;  // The caller's stream had come so far.
};

}  // namespace bilberry::forward
