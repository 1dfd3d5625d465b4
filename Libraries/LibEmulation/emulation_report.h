#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "LibBase/time.h"

namespace bilberry::emulation {

// Outcomes of the callers of one kind. Each caller counts once, however often
// it retries.
struct CallerTally {
  uint64_t total = 0;
  uint64_t on_time = 0;
  uint64_t late = 0;
  uint64_t paused = 0;  // Late only because of a pause between events.
  uint64_t refused = 0;
  uint64_t left = 0;  // The caller gave up waiting.
  uint64_t failed = 0;
  uint64_t refusals = 0;        // Each refusal counts, also of retries.
  base::Duration refused_in{};  // Total time from request to refusal.

  double on_time_share() const;
};

// Work done by the endpoints of one pool.
struct PoolTally {
  uint64_t endpoints = 0;
  uint64_t pieces_per_call = 0;
  uint64_t calls = 0;
  uint64_t pieces = 0;
  base::Duration busy{};
  base::Duration unused{};  // Work on results that were never read.
  uint64_t no_memory = 0;   // Pieces whose result didn't fit.
  uint64_t inputs_gone = 0;

  double fill() const;
};

// Requests, and how many of them were answered by an endpoint.
struct ServedTally {
  uint64_t requests = 0;
  uint64_t served = 0;

  double share() const {
    return requests == 0
               ? 1
               : static_cast<double>(served) / static_cast<double>(requests);
  }
};

struct EmulationReport {
  std::string scenario;
  uint32_t hosts = 0;
  base::Duration lasted{};
  std::map<std::string, CallerTally> kinds;
  std::map<std::string, PoolTally> pools;
  // Outcomes by the second in which the caller first arrived.
  std::vector<CallerTally> seconds;
  std::map<std::string, std::vector<CallerTally>> seconds_of_kinds;
  double worth_earned = 0;
  double worth_requested = 0;
  uint64_t bytes_between_zones = 0;   // Fetched results.
  double tokens_prefilled_again = 0;  // Tokens of shared prompt parts.
  // While hosts are cut off from all endpoints: at these, and at the others.
  ServedTally at_cut_hosts;
  ServedTally beside_cut_hosts;
  uint64_t carried_requests = 0;  // Passed on by one host to another.
  uint64_t messages = 0;          // Exchanged between hosts.
  uint64_t most_messages = 0;     // Received by the busiest host.
  uint64_t store_calls = 0;       // By all hosts, including their start.
  // Arrivals at an endpoint that had asked the host not to send it anything.
  uint64_t sent_despite_retry_after = 0;
  uint64_t sent_to_leaving = 0;
  // Arrivals at an endpoint that had announced its departure to any host long
  // enough before for the fleet to know.
  uint64_t sent_after_fleet_notified = 0;
  // Arrivals at endpoints with a limit, counted from shortly after the endpoint
  // named it, and those of them that exceeded the limit.
  uint64_t limited_arrivals = 0;
  uint64_t sent_over_limit = 0;
  // The most arrivals at a limited endpoint in four seconds, as a fraction of
  // the allowed number.
  double max_limit_usage = 0;
  // Arrivals at cold endpoints, and those of them that exceeded the allowed
  // number.
  uint64_t cold_arrivals = 0;
  uint64_t sent_over_cold = 0;
  // The most arrivals at a cold endpoint in one second, during its cold period
  // and just after, as a fraction of the number allowed while it is cold.
  double max_cold_usage = 0;
  double max_usage_after_cold = 0;
  // The most arrivals at an endpoint of its pool that was never cold, just
  // after the cold period, as the same fraction.
  double max_usage_of_warm = 0;
  // The most arrivals at engines in ten seconds beyond the first one of each
  // request, as a fraction of the retry budget.
  double max_retry_usage = 0;
  // The most endpoints that crashed under one request, sent by hosts in touch
  // with the others, and the crashes later than all should have known of the
  // third.
  size_t most_crashes = 0;
  uint64_t late_crashes = 0;
  // Attempts of callers that broke off with a crashed endpoint, without those
  // under which it crashed, and how many of them were answered all the same.
  uint64_t bystanders = 0;
  uint64_t bystanders_answered = 0;
  // Requests that a host refuses though they crashed no endpoint.
  uint64_t innocents_quarantined = 0;
  // Parts of prompts that a host refuses though they crashed no endpoint.
  uint64_t innocent_parts_quarantined = 0;
  // The most requests with one deadly part that reached engines, sent by hosts
  // in touch with the others later than all should have known of its fifth
  // crash.
  uint64_t most_late_arrivals = 0;
  // When the last of the first five crashes of a deadly part was, from the
  // beginning of the load on.
  base::Duration parts_known_at{};
  // At engines whose prefills hold up streams: the longest pause of each
  // stream, and the times from sending a request to its first event, by engine.
  std::vector<base::Duration> longest_pauses;
  std::map<std::string, std::vector<base::Duration>> first_events;
  // The longest time from a caller's request that needs no stage until it was
  // first sent to an engine.
  base::Duration longest_send_wait{};
  uint64_t placements_asked = 0;
  // Counted once for each host that reports the loss.
  uint64_t dispatchers_lost = 0;

  double worth_share() const;
};

// The value that this share of the durations is below; 0 if there are none.
base::Duration Percentile(std::vector<base::Duration> durations, double share);

// Prints a table of the caller kinds, one of the pools, and one line for each
// second.
std::string Print(const EmulationReport& report);

}  // namespace bilberry::emulation
