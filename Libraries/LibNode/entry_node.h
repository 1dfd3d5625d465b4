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

// All decisions of one entry host, as a state machine without sockets, threads
// or clocks: events and the time go in, actions come out.
class EntryNode {
 public:
  explicit EntryNode(NodeOptions options);

  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  // `now` never goes back from one call to the next.
  Actions Handle(Event event, base::TimePoint now);

  // When to hand in TimerDue, if nothing else comes before.
  std::optional<base::TimePoint> NextWakeup() const;

  Readiness readiness() const;
  NodeStatus Status() const;
  // What this host has served, with the targets in force.
  report::ServiceReport Report(base::TimePoint now) const;

 private:
  void Route(Event event, base::TimePoint now);
  void HandleStop(base::TimePoint now);
  base::Duration LingerTime() const;
  // Lets decisions of one coordinator reach the others.
  void Settle(base::TimePoint now);
  void NoteReadiness();
  base::Duration LongestDeadline() const;
  void UpdateBookingPeers();
  // Exits once nothing is left to do, at the latest at the stop's deadline.
  void FinishStop(base::TimePoint now);
  // What other coordinators than membership add to a digest.
  Digest LocalDigest() const;
  void HandlePeerAnswered(const PeerAnswered& event, base::TimePoint now);

  NodeContext context_;
  BookingCoordinator bookings_;
  MembershipCoordinator membership_;
  RunCoordinator runs_;
  uint64_t seen_changes_ = 0;
  Readiness last_readiness_ = Readiness::kNoConfiguration;
  std::optional<base::TimePoint> stop_deadline_;
  // Set while the host stops: how long it goes on answering at the least.
  std::optional<base::TimePoint> lingers_until_;
  bool has_exited_ = false;
};

}  // namespace bilberry::node
