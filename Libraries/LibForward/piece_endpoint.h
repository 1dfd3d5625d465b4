#pragma once

#include <optional>
#include <string>
#include <vector>

#include "LibForward/endpoint_conditions.h"
#include "LibForward/forward_endpoint.h"
#include "LibForward/held_results.h"
#include "LibForward/seen_result_handles.h"
#include "LibForward/stage_job.h"

namespace bilberry::forward {

// A dispatcher's view of an endpoint that produces pieces: the calls in flight,
// the memory that results take up there, and the results to be freed.
class PieceEndpoint {
 public:
  // `conditions` must outlive the endpoint.
  PieceEndpoint(ListedEndpoint listed, EndpointConditions& conditions)
      : listed_(std::move(listed)), conditions_(&conditions) {}

  const ListedEndpoint& listed() const { return listed_; }
  void SetListed(ListedEndpoint listed) { listed_ = std::move(listed); }
  bool is_serving() const { return listed_.state == EndpointState::kServing; }

  // The fraction of the endpoint's rate limit that this host may use.
  void SetLimitShare(double share) { limit_share_ = share; }

  // How long work takes there at the moment, relative to the usual time.
  double WorkFactor(base::TimePoint now) const;
  // Whether the endpoint can take a call now.
  bool IsIdle(uint32_t calls_at_once, base::TimePoint now) const;
  // When the endpoint can take its next call, if calls in flight take as long
  // as expected.
  base::TimePoint NextTurn(uint32_t calls_at_once, base::TimePoint now) const;
  void NoteCalled(base::TimePoint now, base::TimePoint busy_until);
  void NoteCallEnded() { --calls_; }

  void NoteAnswered() { conditions_->ejector.NoteAnswered(listed_.name); }
  // The number of calls that the endpoint takes in a round of this length.
  double CallsPerRound(uint32_t calls_at_once, base::Duration round) const;
  // Ejects the endpoint: it gets no calls for a while, which doubles with each
  // failure in a row up to a maximum.
  void NoteFailed(base::TimePoint now);
  // Records that the endpoint is overloaded or has no memory left; it gets no
  // calls for a moment.
  void NoteOverloaded(base::TimePoint now);
  // Whether enough calls failed in a row that a single piece has to test the
  // endpoint first.
  bool needs_probe() const;

  SeenResultHandles& seen_handles() { return seen_handles_; }
  HeldResults& held_results() { return held_results_; }
  const HeldResults& held_results() const { return held_results_; }

  void ScheduleFree(const std::string& handle, base::TimePoint now);
  // Empty until the next request to free results is due.
  std::optional<FreeRequest> TakeFreeRequest(base::TimePoint now);

  // When the state changes without an event: results are to be freed or, if
  // pieces are waiting, the endpoint can take a call. Empty if nothing changes
  // before a call ends.
  std::optional<base::TimePoint> NextChange(bool has_waiting,
                                            uint32_t calls_at_once,
                                            base::TimePoint now) const;

 private:
  // The minimum time between two calls that respects the rate limit; 0 without
  // a limit.
  base::Duration MinCallInterval() const;
  // From when on the endpoint may be called, given its ejection, its backoff
  // and its rate limit.
  base::TimePoint AvailableFrom() const;
  std::optional<base::TimePoint> NextFreeTime() const;

  ListedEndpoint listed_;
  // Never null. A pointer keeps the class movable.
  EndpointConditions* conditions_;
  double limit_share_ = 1;
  uint32_t calls_ = 0;
  base::TimePoint busy_until_;  // Estimated.
  // When the last call and the last request to free results were sent.
  std::optional<base::TimePoint> last_called_;
  std::optional<base::TimePoint> last_freed_;
  SeenResultHandles seen_handles_;
  HeldResults held_results_;
  std::vector<std::string> to_free_;
  std::optional<base::TimePoint> free_due_;
};

}  // namespace bilberry::forward
