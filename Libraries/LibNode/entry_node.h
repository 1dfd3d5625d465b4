#pragma once

#include <optional>

#include "LibBase/time.h"
#include "LibNode/action.h"
#include "LibNode/booking_coordinator.h"
#include "LibNode/event.h"
#include "LibNode/membership_coordinator.h"
#include "LibNode/node_context.h"
#include "LibNode/node_status.h"
#include "LibNode/run_coordinator.h"
#include "LibReport/service_report.h"

namespace bilberry::node {

// The decision logic of one entry host as a state machine without sockets,
// threads or clocks: takes events and the time, returns actions.
class EntryNode {
 public:
  explicit EntryNode(NodeOptions options);

  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  // `now` must not decrease between calls.
  Actions Handle(Event event, base::TimePoint now);

  // When to deliver TimerDue unless another event comes first.
  std::optional<base::TimePoint> NextWakeup() const;

  Readiness readiness() const;
  NodeStatus Status() const;
  // Report of what this host has served, with the targets in force.
  report::ServiceReport Report(base::TimePoint now) const;

 private:
  void Route(Event event, base::TimePoint now);
  void HandleStop(base::TimePoint now);
  base::Duration MinStopTime() const;
  // Runs timers, passes decisions between the coordinators, dispatches waiting
  // work and commits writes.
  void RunPendingWork(base::TimePoint now);
  void NoteReadiness();
  base::Duration LongestDeadline() const;
  void UpdateBookingPeers();
  // Exits once nothing is left to do, or at the stop's deadline at the latest.
  void FinishStop(base::TimePoint now);
  // The parts of a digest that do not come from the membership coordinator.
  GossipDigest LocalGossipDigest() const;
  void HandlePeerAnswered(const PeerAnswered& event, base::TimePoint now);

  NodeContext context_;
  BookingCoordinator bookings_;
  MembershipCoordinator membership_;
  RunCoordinator runs_;
  uint64_t seen_changes_ = 0;
  Readiness last_readiness_ = Readiness::kNoConfiguration;
  std::optional<base::TimePoint> stop_deadline_;
  // Set while the host stops: it keeps answering at least until then.
  std::optional<base::TimePoint> answers_until_;
  bool has_exited_ = false;
};

}  // namespace bilberry::node
