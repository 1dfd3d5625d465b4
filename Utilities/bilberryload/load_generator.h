#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "LibReport/latency_histogram.h"
#include "LibTransport/http_client.h"
#include "LibTransport/reactor.h"

namespace bilberry::load {

// What to send, where, and how much of it at once.
struct LoadPlan {
  std::vector<base::SocketAddress> targets;  // In turn.
  std::string path;
  transport::HttpHeaders headers;
  std::string body;
  uint64_t requests = 1000;
  uint32_t callers = 1;  // Each sends its next when it has its answer.
};

struct LoadResult {
  report::LatencyHistogram latency;  // Of the answers with status 200.
  std::map<int, uint64_t> statuses;  // 0 for no answer.
  base::Duration elapsed{};
};

// Sends the plan's requests and waits for all their answers.
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
