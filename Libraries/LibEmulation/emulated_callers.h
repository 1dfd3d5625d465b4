#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "LibBase/random.h"
#include "LibEmulation/emulation_report.h"
#include "LibEmulation/load_scenario.h"
#include "LibEmulation/timeline.h"
#include "LibForward/forward_action.h"

namespace bilberry::emulation {

// Simulates the callers of a load scenario: arrivals, impatience, retries after
// a refusal, and counts of the outcomes.
class EmulatedCallers {
 public:
  using Send = std::function<void(forward::ForwardedRequest)>;
  using Leave = std::function<void(base::CallerId)>;

  EmulatedCallers(Timeline& timeline,
                  const LoadScenario& scenario,
                  EmulationReport& report,
                  uint64_t seed);

  // Starts the arrivals, which go on for as long as the scenario lasts.
  void Begin(Send send, Leave leave);

  void NoteRefused(base::CallerId id,
                   std::optional<base::Duration> retry_after);
  void NoteFailed(base::CallerId id);
  void NoteBegun(base::CallerId id);
  // The longest pause between events of an answer that is about to be done.
  void NotePause(const std::string& request_id, base::Duration pause);
  void NoteDone(base::CallerId id);
  // The number of events that the request's stream has; 1 when its caller no
  // longer waits.
  double EventsOf(const std::string& request_id) const;
  // Null when the request's caller no longer waits.
  const PieceDemand* DemandOf(const std::string& request_id,
                              uint32_t stage) const;

  // Draws a request that no caller counts.
  forward::ForwardedRequest DrawRequest(const CallerKind& kind);

 private:
  struct Caller {
    const CallerKind* kind = nullptr;
    base::TimePoint arrived;  // First arrival.
    base::TimePoint sent;     // Latest attempt.
    uint32_t retries = 0;
    bool has_begun = false;
    bool is_on_time = false;
    double events = 1;
    forward::ForwardedRequest request;
  };

  void ScheduleNext(const CallerKind& kind);
  void Arrive(const CallerKind& kind);
  void SendRequest(Caller caller);
  // Time left until the caller's deadline if it sends a request now.
  base::Duration TimeLeftOf(const Caller& caller) const;
  // How long the caller backs off when its refusal carries this Retry-After.
  base::Duration BackoffOf(const Caller& caller,
                           base::Duration retry_after) const;
  void LeaveIfNotStarted(base::CallerId id);
  std::optional<Caller> Take(base::CallerId id);
  // Increments the counter of the caller's kind, and that of the second in
  // which the caller arrived.
  void Count(const Caller& caller, uint64_t CallerTally::*field);
  uint32_t DrawPieces(const PieceDemand& demand);
  uint64_t DrawTokens(double mean);

  Timeline& timeline_;
  const LoadScenario& scenario_;
  EmulationReport& report_;
  base::Random random_;
  Send send_;
  Leave leave_;
  base::TimePoint begins_;
  std::map<base::CallerId, Caller> callers_;
  std::map<std::string, base::CallerId> by_request_;
  uint64_t last_caller_ = 0;
};

}  // namespace bilberry::emulation
