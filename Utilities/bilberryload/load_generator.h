#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "LibReport/latency_histogram.h"
#include "LibTransport/http_client.h"
#include "LibTransport/reactor.h"

namespace bilberry::load {

// The requests to send, their targets and the concurrency.
struct LoadPlan {
  std::vector<base::SocketAddress> targets;  // Used round-robin.
  std::string path;
  transport::HttpHeaders headers;
  std::string body;
  uint64_t requests = 1000;
  // Each caller sends its next request after the answer to the previous one.
  uint32_t callers = 1;
};

struct LoadResult {
  report::LatencyHistogram latency;  // Of answers with status 200.
  std::map<int, uint64_t> statuses;  // 0 for no answer.
  base::Duration elapsed{};
};

// Closed-loop load generator: sends the plan's requests and waits for all
// answers.
class LoadGenerator {
 public:
  LoadGenerator(transport::Reactor& reactor,
                transport::HttpClient& http,
                LoadPlan plan);

  LoadResult Run();

 private:
  void SendNext();
  void Note(base::TimePoint began, const transport::HttpOutcome& outcome);

  transport::Reactor& reactor_;
  transport::HttpClient& http_;
  LoadPlan plan_;
  LoadResult result_;
  uint64_t sent_ = 0;
  uint64_t done_ = 0;
};

}  // namespace bilberry::load
