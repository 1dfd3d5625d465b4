#include "LibForward/forward_node.h"

#include <algorithm>
#include <utility>

#include "LibBase/overloaded.h"

namespace bilberry::forward {

namespace {

// How long a stopping host still accepts requests: the load balancer probes
// readiness once a second and sends new callers until the second failed probe.
constexpr std::chrono::milliseconds kLinger{2500};
// A request that isn't sent this long before a stop ends might be broken off by
// it; another host can serve it.
constexpr std::chrono::milliseconds kMinTimeToServe{1500};

}  // namespace

ForwardNode::ForwardNode(ForwardOptions options)
    : context_(std::move(options)),
      store_(context_),
      peers_(context_),
      notices_(context_, store_, peers_),
      permits_(context_, peers_),
      chooser_(context_.options().seed, context_.conditions()),
      placements_(context_, peers_, chooser_),
      stages_(context_, peers_),
      stream_versions_(context_),
      runs_(context_,
            chooser_,
            stages_,
            permits_,
            placements_,
            stream_versions_,
            peers_) {
  context_.Log(base::LogEventId::kHostStarted, "",
               {{"host", context_.options().own.name.value},
                {"zone", context_.options().own.zone.value}});
}

Actions ForwardNode::Handle(Event event, base::TimePoint now) {
  Route(std::move(event), now);
  store_.HandleTimer(now);
  EndBackoffs(now);
  ApplyChanges(now);
  UpdateColdEndpoints(now);
  placements_.HandleTimer(now);
  stream_versions_.HandleTimer(now);
  runs_.HandleTimer(now);
  WatchCrashes(now);
  WatchReach(now);
  notices_.SendDue(now);
  peers_.SendProbes(now);
  stages_.Dispatch(now);
  // Outcomes of stages create further jobs; dispatching again here lets these
  // jobs join the calls sent in this turn.
  runs_.ProcessOutcomes(now);
  stages_.Dispatch(now);
  runs_.ProcessOutcomes(now);
  placements_.SendDueReports(now);
  if (is_ready() != was_ready_) {
    was_ready_ = is_ready();
    context_.Log(was_ready_ ? base::LogEventId::kHostReady
                            : base::LogEventId::kHostNotReady,
                 "");
  }
  FinishStop(now);
  return context_.TakeActions();
}

void ForwardNode::Route(Event event, base::TimePoint now) {
  std::visit(
      base::Overloaded{
          [&](ForwardedRequest& it) { runs_.Handle(std::move(it), now); },
          [&](const EndpointNoticeReceived& it) { Handle(it, now); },
          [&](const CallerDisconnected& it) { runs_.Handle(it, now); },
          [&](AttemptChunk& it) { runs_.Handle(std::move(it), now); },
          [&](AttemptAnswer& it) { runs_.Handle(std::move(it), now); },
          [&](const AttemptFailure& it) { runs_.Handle(it, now); },
          [&](const EndpointHealthChecked& it) {
            HandleChecked(it, now);
            runs_.SendDecided(now);
          },
          [&](const EndpointProbed& it) {
            ReachMonitor& reach = context_.conditions().reach;
            if (it.is_connected)
              reach.NoteReached(it.endpoint, it.began, now);
            else
              reach.NoteUnreachable(it.endpoint, ReachMonitor::Purpose::kProbe,
                                    it.began, now);
          },
          [&](const StageCallEnded& it) { stages_.Handle(it, now); },
          [&](const ResultsFreed& it) { stages_.Handle(it); },
          [&](const PeerJobRequested& it) { stages_.Handle(it, now); },
          [&](const PeerJobCancelled& it) { stages_.Handle(it); },
          [&](const PeerResultsReleased& it) { stages_.Handle(it, now); },
          [&](const PeerJobEnded& it) { stages_.Handle(it, now); },
          [&](const PeerJobLost& it) { stages_.Handle(it, now); },
          [&](const PeerProbeAnswered& it) { peers_.NoteHeard(it.host, now); },
          [&](const PeerProbeFailed& it) { stages_.Handle(it, now); },
          [&](const PeerPermitRequested& it) { permits_.Handle(it, now); },
          [&](const PermitAnswered& it) { permits_.Handle(it, now); },
          [&](const PermitRequestFailed& it) { permits_.Handle(it, now); },
          [&](const PeerPlacementRequested& it) {
            placements_.Handle(it, now);
          },
          [&](const PlacementAnswered& it) { placements_.Handle(it, now); },
          [&](const PlacementRequestFailed& it) {
            placements_.Handle(it, now);
          },
          [&](const PeerPlacementReported& it) { placements_.Handle(it, now); },
          [&](const PeerLimitsReceived& it) {
            permits_.ApplyReports(it.limits, now);
          },
          [&](const PeerNoticesReceived& it) {
            notices_.ApplyReports(it.notices, now);
          },
          [&](const PeerStoreSyncRequested& it) { store_.Handle(it, now); },
          [&](StoreSyncReceived& it) {
            permits_.ApplyReports(it.response.limits, now);
            // Endpoints' notices are valid even if the relay's copy of the
            // tables is outdated.
            notices_.ApplyReports(it.response.notices, now);
            store_.Handle(std::move(it), now);
          },
          [&](const StoreSyncFailed& it) { store_.Handle(it, now); },
          [&](const TableAnswerBegun& it) { store_.Handle(it); },
          [&](TableListed& it) { store_.Handle(std::move(it), now); },
          [&](TableChanged& it) { store_.Handle(std::move(it), now); },
          [&](const TableHistoryLost& it) { store_.Handle(it, now); },
          [&](const TableCallFailed& it) { store_.Handle(it, now); },
          [&](const OwnRowWritten& it) { store_.Handle(it, now); },
          [&](const OwnRowConflict& it) { store_.Handle(it, now); },
          [&](const OwnRowFailed& it) { store_.Handle(it, now); },
          [&](const StreamRowsRead& it) { stream_versions_.Handle(it, now); },
          [&](const StreamRowsWritten& it) { stream_versions_.Handle(it); },
          [&](const StreamRowsFailed& it) { stream_versions_.Handle(it, now); },
          [](const TimerDue&) {},
          [&](const StopRequested&) { HandleStop(now); },
      },
      event);
}

void ForwardNode::Handle(const EndpointNoticeReceived& event,
                         base::TimePoint now) {
  notices_.Handle(event, now);
  if (event.notice.cold_for)
    NoteCold(event, now);
  if (event.notice.work_factor)
    context_.conditions().work_factors.Note(event.endpoint, event.incarnation,
                                            *event.notice.work_factor, now);
  const auto& limit = event.notice.limit;
  if (!limit ||
      !context_.conditions().limits.Note(event.endpoint, event.incarnation,
                                         *limit, event.sent_at, now))
    return;
  context_.LogLimit(event.endpoint, event.incarnation, *limit, "answer");
  permits_.NoteLimitChanged(event.endpoint, event.incarnation, now);
}

void ForwardNode::NoteCold(const EndpointNoticeReceived& event,
                           base::TimePoint now) {
  // Fast path: nearly all answers come from warm endpoints, and copying the
  // endpoint list for each of them would be wasteful.
  if (*event.notice.cold_for <= base::Duration(0) &&
      !context_.conditions().cold_endpoints.Knows(event.endpoint))
    return;
  for (const ListedEndpoint& it : store_.endpoints()) {
    if (it.name == event.endpoint && it.incarnation == event.incarnation)
      context_.NoteCold(it, *event.notice.cold_for, now);
  }
}

void ForwardNode::EndBackoffs(base::TimePoint now) {
  for (const base::EndpointName& it :
       context_.conditions().backoffs.TakeEnded(now)) {
    runs_.NoteBackoffEnded(it, now);
    context_.Log(base::LogEventId::kEndpointOpen, "", {{"endpoint", it.value}});
  }
}

// When the set of cold endpoints changes, the limit owners to monitor change as
// well, so they are updated at once.
void ForwardNode::UpdateColdEndpoints(base::TimePoint now) {
  ColdEndpoints& cold_endpoints = context_.conditions().cold_endpoints;
  for (const base::EndpointName& it : cold_endpoints.TakeWarmedUp(now))
    context_.Log(base::LogEventId::kEndpointWarm, "", {{"endpoint", it.value}});
  if (seen_cold_changes_ == cold_endpoints.changes())
    return;
  seen_cold_changes_ = cold_endpoints.changes();
  permits_.UpdateLimitOwners();
}

// A host that is cut off from all endpoints knows nothing of their processes.
// The endpoints of a single pool may all have crashed.
void ForwardNode::HandleChecked(const EndpointHealthChecked& event,
                                base::TimePoint now) {
  context_.conditions().crashes.NoteChecked(
      event.endpoint, event.incarnation,
      is_cut_off() ? HealthCheckResult::kUnknown : event.result, now);
}

void ForwardNode::WatchReach(base::TimePoint now) {
  ReachMonitor& reach = context_.conditions().reach;
  for (ListedEndpoint& it : reach.TakeDueProbes(now)) {
    const ForwardedPool* pool = store_.configuration()->FindPool(it.pool);
    // Without a path to ask for, requests have to find out.
    if (pool == nullptr || pool->health_path.empty())
      reach.NoteReached(it.name, now, now);
    else
      context_.Emit(ProbeEndpoint{std::move(it), pool->health_path});
  }
  if (seen_reach_changes_ == reach.changes())
    return;
  seen_reach_changes_ = reach.changes();
  std::vector<base::PoolName> cut = reach.CutPools();
  for (const base::PoolName& pool : cut) {
    if (std::ranges::find(cut_pools_, pool) == cut_pools_.end())
      context_.Log(base::LogEventId::kEndpointsCutOff, "",
                   {{"pool", pool.value}});
  }
  for (const base::PoolName& pool : cut_pools_) {
    if (std::ranges::find(cut, pool) == cut.end())
      context_.Log(base::LogEventId::kEndpointsInReach, "",
                   {{"pool", pool.value}});
  }
  cut_pools_ = std::move(cut);
  stages_.GiveUpUnreachable();
  runs_.CarryUnreachable(now);
}

void ForwardNode::WatchCrashes(base::TimePoint now) {
  CrashTracker& crashes = context_.conditions().crashes;
  for (ListedEndpoint& it : crashes.TakeDueChecks(now)) {
    const ForwardedPool* pool = store_.configuration()->FindPool(it.pool);
    const bool is_backing_off =
        context_.conditions().backoffs.EndOf(it.name) > now;
    if (pool != nullptr && !pool->health_path.empty() && !is_backing_off)
      context_.Emit(CheckEndpointHealth{std::move(it), pool->health_path});
  }
  for (const EndpointCrash& it : crashes.TakeCrashes())
    LogCrash(it);
  for (std::string& digest : crashes.TakeQuarantined())
    context_.Log(base::LogEventId::kRequestQuarantined, "",
                 {{"digest", std::move(digest)}});
  std::vector<std::string> parts = crashes.TakeRefusedParts();
  if (parts.empty())
    return;
  for (std::string& part : parts)
    context_.Log(base::LogEventId::kPartQuarantined, "",
                 {{"part", std::move(part)}});
  runs_.EndRefusedParts(now);
}

void ForwardNode::LogCrash(const EndpointCrash& crash) {
  std::string digests;
  std::string parts;
  for (const policy::CrashSuspect& it : crash.suspects) {
    std::string& names = it.depth == policy::kWholeRequest ? digests : parts;
    names += (names.empty() ? "" : " ") + it.name;
  }
  context_.Log(base::LogEventId::kEndpointCrashed, "",
               {{"endpoint", crash.endpoint.name.value},
                {"pool", crash.endpoint.pool.value},
                {"evidence", crash.evidence},
                {"digests", std::move(digests)},
                {"parts", std::move(parts)}});
}

// Applies the rates of the current configuration to endpoints that are cold.
void ForwardNode::SetColdRates() {
  std::map<base::PoolName, double> rates;
  for (const ForwardedPool& pool : store_.configuration()->pools) {
    if (pool.cold_per_second > 0)
      rates[pool.name] =
          ColdRatePerHost(pool.cold_per_second, context_.options().cold_bound);
  }
  context_.conditions().cold_endpoints.SetPoolRates(std::move(rates));
}

void ForwardNode::ApplyChanges(base::TimePoint now) {
  if (seen_configuration_ != store_.configuration_changes()) {
    seen_configuration_ = store_.configuration_changes();
    SetColdRates();
    runs_.SetConfiguration(store_.configuration());
    placements_.SetConfiguration(store_.configuration());
    stream_versions_.SetConfiguration(*store_.configuration());
    stages_.Reconfigure(*store_.configuration());
    context_.Emit(ApplyCallerLimits{store_.configuration()->limits});
  }
  if (seen_endpoints_ != store_.endpoint_changes()) {
    seen_endpoints_ = store_.endpoint_changes();
    const std::vector<ListedEndpoint> endpoints = store_.endpoints();
    context_.conditions().ejector.KeepOnly(endpoints);
    context_.conditions().work_factors.KeepOnly(endpoints);
    context_.conditions().crashes.SetEndpoints(endpoints, now);
    context_.conditions().reach.SetEndpoints(endpoints, now);
    chooser_.SetEndpoints(endpoints);
    placements_.SetEndpoints(endpoints);
    stream_versions_.SetEndpoints(endpoints, now);
    stages_.SetEndpoints(endpoints);
    permits_.SetEndpoints(endpoints);
  }
  stream_versions_.NoteEndpointsKnown(store_.endpoints_known_as_of(), now);
  if (seen_hosts_ != store_.host_changes()) {
    seen_hosts_ = store_.host_changes();
    peers_.SetHosts(store_.hosts(), now);
    stages_.MonitorDispatchers();
    runs_.SetFleetSize(peers_.assignment().host_count());
    store_.ChooseRelays();
  }
  if (seen_restorations_ != store_.restorations()) {
    seen_restorations_ = store_.restorations();
    stream_versions_.WriteAgain();
  }
  if (seen_peer_changes_ != peers_.changes()) {
    seen_peer_changes_ = peers_.changes();
    permits_.UpdateLimitOwners();
    placements_.UpdateOwners(now);
  }
}

bool ForwardNode::is_ready() const {
  return store_.configuration() != nullptr && store_.knows_endpoints() &&
         !is_stopping();
}

void ForwardNode::HandleStop(base::TimePoint now) {
  if (is_stopping())
    return;
  stop_began_ = now;
  store_.NoteStopping(now);
  context_.Log(base::LogEventId::kStopOrdered, "");
}

base::TimePoint ForwardNode::SendingEnds() const {
  return *stop_began_ +
         std::max<base::Duration>(
             kLinger, context_.options().stop_timeout - kMinTimeToServe);
}

void ForwardNode::FinishStop(base::TimePoint now) {
  if (!stop_began_ || has_exited_)
    return;
  if (now >= *stop_began_ + kLinger)
    runs_.StopAccepting();
  if (now >= SendingEnds())
    runs_.StopSending(now);
  const bool is_over = now >= *stop_began_ + context_.options().stop_timeout;
  if (is_over)
    runs_.EndAll(now);
  const bool has_lingered = now >= *stop_began_ + kLinger;
  const bool has_work = runs_.run_count() > 0 || stages_.peer_job_count() > 0;
  if (!is_over && (!has_lingered || has_work))
    return;
  has_exited_ = true;
  context_.Log(base::LogEventId::kHostStopped, "");
  context_.Emit(Exit{});
}

std::optional<base::TimePoint> ForwardNode::NextWakeup() const {
  std::optional<base::TimePoint> next;
  const auto consider = [&next](std::optional<base::TimePoint> time) {
    if (time && (!next || *time < *next))
      next = time;
  };
  consider(store_.NextWakeup());
  consider(notices_.NextWakeup());
  consider(peers_.NextWakeup());
  consider(stages_.NextWakeup());
  consider(placements_.NextWakeup());
  consider(stream_versions_.NextWakeup());
  consider(runs_.NextWakeup());
  consider(context_.conditions().backoffs.NextEnd());
  consider(context_.conditions().cold_endpoints.NextStep());
  consider(context_.conditions().crashes.NextWakeup());
  consider(context_.conditions().reach.NextWakeup());
  if (stop_began_ && !has_exited_) {
    const base::TimePoint lingered = *stop_began_ + kLinger;
    consider(runs_.is_accepting() ? lingered
             : runs_.is_sending()
                 ? SendingEnds()
                 : *stop_began_ + context_.options().stop_timeout);
  }
  return next;
}

}  // namespace bilberry::forward
