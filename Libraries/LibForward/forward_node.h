#pragma once

#include <optional>
#include <vector>

#include "LibBase/time.h"
#include "LibForward/endpoint_chooser.h"
#include "LibForward/forward_context.h"
#include "LibForward/forward_event.h"
#include "LibForward/forwarded_run_coordinator.h"
#include "LibForward/notice_gossip.h"
#include "LibForward/peer_directory.h"
#include "LibForward/permit_coordinator.h"
#include "LibForward/placement_coordinator.h"
#include "LibForward/stage_job_router.h"
#include "LibForward/store_synchronizer.h"

namespace bilberry::forward {

// The logic of an entry host that forwards requests, as a deterministic state
// machine without sockets, threads or clocks: events and the time go in,
// actions come out.
class ForwardNode {
 public:
  explicit ForwardNode(ForwardOptions options);

  ForwardNode(const ForwardNode&) = delete;
  ForwardNode& operator=(const ForwardNode&) = delete;

  // `now` must not decrease from one call to the next.
  Actions Handle(Event event, base::TimePoint now);
  // Returns when to pass in TimerDue, unless another event comes earlier.
  std::optional<base::TimePoint> NextWakeup() const;

  // Readiness: whether a configuration and endpoints are known and no stop was
  // ordered.
  bool is_ready() const;
  // Whether this host can't reach any endpoint, so that others should do what
  // it does for them.
  bool is_cut_off() const { return context_.conditions().reach.is_cut_off(); }
  // Whether answers of the endpoint are to be reported even if they carry no
  // notice, because they show that the endpoint's limit is gone.
  bool KnowsLimitOf(const base::EndpointName& endpoint) const {
    return context_.conditions().limits.Knows(endpoint);
  }
  bool is_stopping() const { return stop_began_.has_value(); }
  // The caller to whom the attempt's answer goes; empty for an attempt that has
  // ended.
  std::optional<base::CallerId> CallerOf(const base::AttemptId& attempt) const {
    return runs_.CallerOf(attempt);
  }
  // What is kept of the attempt's stream, in bytes: an event that isn't
  // complete, and the id of the last one.
  size_t KeptStreamBytes(const base::AttemptId& attempt) const {
    return runs_.KeptStreamBytes(attempt);
  }
  // The endpoints that this host places requests at, for operators.
  std::vector<EndpointPlacementStatus> PlacementStatus(
      base::TimePoint now) const {
    return placements_.Status(now);
  }

 private:
  void Route(Event event, base::TimePoint now);
  void Handle(const EndpointNoticeReceived& event, base::TimePoint now);
  void NoteCold(const EndpointNoticeReceived& event, base::TimePoint now);
  void EndBackoffs(base::TimePoint now);
  // Takes the due steps of cold endpoints and logs those that are warm.
  void UpdateColdEndpoints(base::TimePoint now);
  void SetColdRates();
  // Checks the endpoints whose connections broke, and logs those that crashed
  // and the requests that are refused for it.
  void WatchCrashes(base::TimePoint now);
  // Probes endpoints that may be out of reach, and acts when pools turn out to
  // be, or no longer are.
  void WatchReach(base::TimePoint now);
  void LogCrash(const EndpointCrash& crash);
  void HandleChecked(const EndpointHealthChecked& event, base::TimePoint now);
  void ApplyChanges(base::TimePoint now);
  void HandleStop(base::TimePoint now);
  // From when on a stopping host sends no more requests to endpoints.
  base::TimePoint SendingEnds() const;
  void FinishStop(base::TimePoint now);

  ForwardContext context_;
  StoreSynchronizer store_;
  PeerDirectory peers_;
  NoticeGossip notices_;
  PermitCoordinator permits_;
  EndpointChooser chooser_;
  PlacementCoordinator placements_;
  StageJobRouter stages_;
  StreamVersions stream_versions_;
  ForwardedRunCoordinator runs_;
  uint64_t seen_configuration_ = 0;
  uint64_t seen_endpoints_ = 0;
  uint64_t seen_hosts_ = 0;
  uint64_t seen_peer_changes_ = 0;
  uint64_t seen_cold_changes_ = 0;
  uint64_t seen_restorations_ = 0;
  uint64_t seen_reach_changes_ = 0;
  std::vector<base::PoolName> cut_pools_;
  bool was_ready_ = false;
  std::optional<base::TimePoint> stop_began_;
  bool has_exited_ = false;
};

}  // namespace bilberry::forward
