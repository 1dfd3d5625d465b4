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

// The callers of a sheet: they come, wait, leave, come back when they are told
// to, and are counted.
class EmulatedCallers {
 public:
  using Send = std::function<void(forward::ForwardedRequest)>;
  using Leave = std::function<void(base::CallerId)>;

  EmulatedCallers(Timeline& timeline,
                  const LoadScenario& scenario,
                  EmulationReport& report,
                  uint64_t seed);

  // Callers come from now on, for as long as the sheet lasts.
  void Begin(Send send, Leave leave);

  void NoteRefused(base::CallerId id,
                   std::optional<base::Duration> retry_after);
  void NoteFailed(base::CallerId id);
  void NoteBegun(base::CallerId id);
  void NoteDone(base::CallerId id);
  // Of the request of a caller that still waits.
  double EventsOf(const std::string& request_id) const;
  // Null when the caller waits no more.
  const PieceDemand* DemandOf(const std::string& request_id,
                              uint32_t stage) const;

 private:
  struct Caller {
    const CallerKind* kind = nullptr;
    base::TimePoint came;  // First.
    base::TimePoint sent;  // Lately.
    uint32_t returns = 0;
    bool has_begun = false;
    bool is_on_time = false;
    double events = 1;
    forward::ForwardedRequest request;
  };

  void ScheduleNext(const CallerKind& kind);
  void Come(const CallerKind& kind);
  void SendOnce(Caller caller);
  // Until its deadline, if it asks now.
  base::Duration LeftOf(const Caller& caller) const;
  // How long it stays away if it is told to come back after `told`.
  base::Duration ReturnOf(const Caller& caller, base::Duration told) const;
  void LeaveIfNotBegun(base::CallerId id);
  std::optional<Caller> Take(base::CallerId id);
  // Both the kind's tally and that of the second in which the caller came.
  void Count(const Caller& caller, uint64_t CallerTally::*field);
  forward::ForwardedRequest DrawRequest(const CallerKind& kind);
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
