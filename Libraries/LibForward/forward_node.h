#pragma once

#include <optional>

#include "LibBase/time.h"
#include "LibForward/forward_context.h"
#include "LibForward/forward_event.h"
#include "LibForward/forwarded_run_coordinator.h"
#include "LibForward/notice_gossip.h"
#include "LibForward/peer_directory.h"
#include "LibForward/permit_coordinator.h"
#include "LibForward/stage_job_router.h"
#include "LibForward/store_synchronizer.h"

namespace bilberry::forward {

// All decisions of an entry host that forwards requests, as a state machine
// without sockets, threads or clocks: events and the time go in, actions come
// out.
class ForwardNode {
 public:
  explicit ForwardNode(ForwardOptions options);

  ForwardNode(const ForwardNode&) = delete;
  ForwardNode& operator=(const ForwardNode&) = delete;

  // `now` never goes back from one call to the next.
  Actions Handle(Event event, base::TimePoint now);
  // When to hand in TimerDue, if nothing else comes before.
  std::optional<base::TimePoint> NextWakeup() const;

  // Whether new callers are welcome: a configuration is in force, endpoints are
  // known, and no stop was ordered.
  bool is_ready() const;
  // Whether the endpoint's answers are of interest that say nothing of it: they
  // tell that it has no limit any more.
  bool KnowsLimitOf(const base::EndpointName& endpoint) const {
    return context_.conditions().limits.Knows(endpoint);
  }
  bool is_stopping() const { return stop_began_.has_value(); }

 private:
  void Route(Event event, base::TimePoint now);
  void Handle(const EndpointNoticeReceived& event, base::TimePoint now);
  void NoteCold(const EndpointNoticeReceived& event, base::TimePoint now);
  void EndQuietTimes(base::TimePoint now);
  // Takes on which endpoints are cold no longer.
  void WarmUp(base::TimePoint now);
  void SetColdPaces();
  void TakeNews(base::TimePoint now);
  void HandleStop(base::TimePoint now);
  void FinishStop(base::TimePoint now);

  ForwardContext context_;
  StoreSynchronizer store_;
  PeerDirectory peers_;
  NoticeGossip notices_;
  PermitCoordinator permits_;
  StageJobRouter stages_;
  ForwardedRunCoordinator runs_;
  uint64_t seen_configuration_ = 0;
  uint64_t seen_endpoints_ = 0;
  uint64_t seen_hosts_ = 0;
  uint64_t seen_peer_changes_ = 0;
  uint64_t seen_cold_changes_ = 0;
  bool was_ready_ = false;
  std::optional<base::TimePoint> stop_began_;
  bool has_exited_ = false;
};

}  // namespace bilberry::forward
