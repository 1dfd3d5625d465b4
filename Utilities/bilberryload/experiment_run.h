#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "LibReport/latency_histogram.h"
#include "LibTransport/http_client.h"
#include "LibTransport/reactor.h"
#include "experiment_plan.h"

namespace bilberry::load {

// Outcomes of the requests of one label, rank or team.
struct Tally {
  uint64_t sent = 0;
  uint64_t in_time = 0;  // Answered whole within the deadline.
  uint64_t late = 0;     // Answered whole, but late.
  // Refused with the statement that the request was not run.
  uint64_t refused = 0;
  uint64_t failed = 0;
  report::LatencyHistogram latency;  // Of whole answers.

  double Attainment() const;  // In percent.
};

struct ExperimentResult {
  std::map<std::string, Tally> labels;
  std::map<std::string, Tally> teams;
  Tally all;
  std::map<std::string, uint64_t> executions;  // By pool.
  uint64_t deaths = 0;
  uint64_t doubled = 0;  // Idempotency keys that were executed more than once.
  base::Duration work{};
  // Work on requests that were not answered in time.
  base::Duration wasted_work{};
  base::Duration elapsed{};
};

// Addresses of the experiment's processes.
struct ExperimentSite {
  std::vector<base::SocketAddress> hosts;
  // Control addresses by pool.
  std::map<std::string, base::SocketAddress> pools;
};

// Open-loop load generator: sends the experiment's requests at their scheduled
// times regardless of outstanding answers, and the control requests to the
// pools.
class ExperimentRun {
 public:
  ExperimentRun(transport::Reactor& reactor,
                transport::HttpClient& http,
                const Experiment& experiment,
                ExperimentSite site);

  ExperimentResult Run(base::Duration length, uint64_t seed);

 private:
  void SendDue(base::Duration elapsed);
  void SendOrders(base::Duration elapsed, base::Duration length);
  void Send(const Arrival& arrival, uint64_t number);
  void Note(const Flow& flow,
            uint64_t number,
            base::Duration latency,
            const transport::HttpOutcome& outcome);
  void FetchCounts();
  std::string Fetch(const base::SocketAddress& address, std::string path);
  void AddCounts(const std::string& pool, const std::string& text);
  void AddWork(const std::string& text);

  transport::Reactor& reactor_;
  transport::HttpClient& http_;
  const Experiment& experiment_;
  ExperimentSite site_;
  std::vector<Arrival> arrivals_;
  std::vector<bool> was_in_time_;  // By request number.
  size_t next_arrival_ = 0;
  size_t next_order_ = 0;
  uint64_t open_ = 0;
  ExperimentResult result_;
};

}  // namespace bilberry::load
