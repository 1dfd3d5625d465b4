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

// An endpoint that makes pieces, as its dispatcher sees it: the calls that it
// works on, the room that results take there, and what is to be
// freed.
class PieceEndpoint {
 public:
  // `words` must outlive the endpoint.
  PieceEndpoint(ListedEndpoint listed, EndpointConditions& conditions)
      : listed_(std::move(listed)), conditions_(&conditions) {}

  const ListedEndpoint& listed() const { return listed_; }
  void SetListed(ListedEndpoint listed) { listed_ = std::move(listed); }
  bool is_serving() const { return listed_.state == EndpointState::kServing; }

  // The part of its limit that this host may use.
  void SetLimitShare(double share) { limit_share_ = share; }

  // Whether it takes a call now.
  bool IsIdle(uint32_t calls_at_once, base::TimePoint now) const;
  // When it takes its next call, if all goes as expected.
  base::TimePoint NextTurn(uint32_t calls_at_once, base::TimePoint now) const;
  void NoteCalled(base::TimePoint now, base::TimePoint busy_until);
  void NoteCallEnded() { --calls_; }

  void NoteAnswered() { conditions_->failures.NoteAnswered(listed_.name); }
  // How many calls it takes in a round of this length.
  double CallsPerRound(uint32_t calls_at_once, base::Duration round) const;
  // Gives it no call for a while: longer with each failure in a row.
  void NoteFailed(base::TimePoint now);
  // It is full, or has no room: it gets no call for a moment.
  void NoteFull(base::TimePoint now);
  // Whether its last calls failed, so that one piece is to try it.
  bool needs_probe() const;

  SeenResultHandles& named_results() { return named_results_; }
  HeldResults& room() { return room_; }
  const HeldResults& room() const { return room_; }

  void ScheduleFree(const std::string& handle, base::TimePoint now);
  // Empty before it is due.
  std::optional<FreeRequest> TakeFreeOrder(base::TimePoint now);

  // When something changes here by itself: what is to be freed, or, if pieces
  // wait, that it can take a call. Empty when that is when a call ends.
  std::optional<base::TimePoint> NextChange(bool has_waiting,
                                            uint32_t calls_at_once,
                                            base::TimePoint now) const;

 private:
  // The time between two calls that keeps to its limit; 0 without one.
  base::Duration LeastInterval() const;
  // From when on it may be called, as far as its answers tell.
  base::TimePoint OpenFrom() const;
  std::optional<base::TimePoint> FreeTime() const;

  ListedEndpoint listed_;
  EndpointConditions* conditions_;  // Never null; a pointer, to be movable.
  double limit_share_ = 1;
  uint32_t calls_ = 0;
  base::TimePoint busy_until_;  // As expected.
  // When it was last called, and told what to free.
  std::optional<base::TimePoint> last_called_;
  std::optional<base::TimePoint> last_freed_;
  SeenResultHandles named_results_;
  HeldResults room_;
  std::vector<std::string> to_free_;
  std::optional<base::TimePoint> free_due_;
};

}  // namespace bilberry::forward
