#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "LibBase/time.h"

namespace bilberry::emulation {

// How the callers of one kind fared. Each caller counts once, however often it
// came back.
struct CallerTally {
  uint64_t asked = 0;
  uint64_t on_time = 0;
  uint64_t late = 0;
  uint64_t refused = 0;
  uint64_t left = 0;  // Gave up waiting.
  uint64_t failed = 0;
  uint64_t refusals = 0;        // Also of those who came back.
  base::Duration refused_in{};  // Sum of what refusals took.

  double on_time_share() const;
};

// What the endpoints of one pool did.
struct PoolTally {
  uint64_t endpoints = 0;
  uint64_t pieces_per_call = 0;
  uint64_t calls = 0;
  uint64_t pieces = 0;
  base::Duration busy{};
  base::Duration unused{};  // Work on results that nobody read.
  uint64_t no_room = 0;     // Pieces.
  uint64_t inputs_gone = 0;

  double fill() const;
};

struct EmulationReport {
  std::string scenario;
  uint32_t hosts = 0;
  base::Duration lasted{};
  std::map<std::string, CallerTally> kinds;
  std::map<std::string, PoolTally> pools;
  // Callers by the second in which they first came.
  std::vector<CallerTally> seconds;
  std::map<std::string, std::vector<CallerTally>> seconds_of_kinds;
  double worth_earned = 0;
  double worth_asked = 0;
  uint64_t bytes_between_zones = 0;  // Results.
  double tokens_read_again = 0;      // Of shared parts.
  uint64_t messages = 0;             // Between hosts.
  uint64_t most_messages = 0;        // Taken by one host.
  uint64_t store_calls = 0;          // Of all hosts, with their start.
  // What reached an endpoint that had told the host not to send it.
  uint64_t sent_despite_retry_after = 0;
  uint64_t sent_to_leaving = 0;
  // What reached an endpoint that had told any host long enough before that it
  // leaves.
  uint64_t sent_after_fleet_notified = 0;
  // What reached endpoints with a limit, from shortly after they named it on,
  // and what was more than their limits allow.
  uint64_t limited_arrivals = 0;
  uint64_t sent_over_limit = 0;
  // The most that a limited endpoint got in four seconds, as a part of what it
  // may get.
  double max_limit_usage = 0;
  // What reached cold endpoints, and what was more than they may get.
  uint64_t cold_arrivals = 0;
  uint64_t sent_over_cold = 0;
  // The most that one got in a second while it was cold, and just behind that,
  // as a part of what it may get while it is.
  double max_cold_usage = 0;
  double max_usage_after_cold = 0;
  // The same of those of its pool that were never cold, at the same time.
  double max_usage_of_warm = 0;
  // The most that reached engines beyond first arrivals in ten seconds, as a
  // part of what may.
  double max_retry_usage = 0;
  uint64_t dispatchers_lost = 0;  // As often as a host says so of another.

  double worth_share() const;
};

// A table of the kinds, one of the pools, and a line a second.
std::string Print(const EmulationReport& report);

}  // namespace bilberry::emulation
