#include "LibNode/entry_node.h"

#include <algorithm>
#include <utility>

#include "LibBase/overloaded.h"

namespace bilberry::node {

namespace {

// A stopping host keeps answering for this time, so that the load balancer
// learns of the stop from the readiness check and not from refused connections.
constexpr std::chrono::milliseconds kMinStopTime{2000};

}  // namespace

EntryNode::EntryNode(NodeOptions options)
    : context_(std::move(options)),
      bookings_(context_),
      membership_(context_),
      runs_(context_, bookings_, membership_) {
  context_.Log(base::LogEventId::kHostStarted, context_.settings().host.value);
}

Actions EntryNode::Handle(Event event, base::TimePoint now) {
  Route(std::move(event), now);
  RunPendingWork(now);
  return context_.TakeActions();
}

void EntryNode::Route(Event event, base::TimePoint now) {
  std::visit(
      base::Overloaded{
          [&](const CallerRequest& it) { runs_.HandleRequest(it, now); },
          [&](const CallerDisconnected& it) {
            runs_.HandleCallerDisconnected(it.caller, now);
          },
          [&](const EndpointSending& it) { runs_.HandleSending(it); },
          [&](const EndpointChunk& it) { runs_.HandleChunk(it, now); },
          [&](const EndpointAnswer& it) { runs_.HandleAnswer(it, now); },
          [&](const EndpointFailure& it) { runs_.HandleFailure(it, now); },
          [&](const PlatformAnswered& it) {
            if (!bookings_.HandleAnswered(it, now))
              membership_.HandleAnswered(it, now);
          },
          [&](const PlatformFailed& it) {
            if (!bookings_.HandleFailed(it, now))
              membership_.HandleFailed(it, now);
          },
          [&](const PeerRequest& it) {
            if (const auto* digest = std::get_if<GossipDigest>(&it.message))
              runs_.HandleGossipDigest(*digest, now);
            if (!bookings_.HandlePeerRequest(it, now))
              membership_.HandlePeerRequest(it, LocalGossipDigest(), now);
          },
          [&](const PeerAnswered& it) { HandlePeerAnswered(it, now); },
          [&](const PeerFailed& it) {
            if (!bookings_.HandlePeerFailed(it, now))
              membership_.HandlePeerFailed(it, now);
          },
          [&](const PeerMessageRefused&) {
            membership_.NoteRefusedMessage(now);
          },
          [](const TimerDue&) {},
          [&](const StopRequested&) { HandleStop(now); },
      },
      event);
}

void EntryNode::HandleStop(base::TimePoint now) {
  if (!runs_.is_accepting())
    return;
  context_.Log(base::LogEventId::kStopOrdered, "");
  runs_.StopAccepting();
  answers_until_ = now + MinStopTime();
  stop_deadline_ = now + LongestDeadline();
  membership_.NoteStopping();
  UpdateBookingPeers();
  bookings_.HandOver(now);
}

// Without a configuration the time is 0: a host that is not ready receives no
// requests.
base::Duration EntryNode::MinStopTime() const {
  return std::min<base::Duration>(LongestDeadline(), kMinStopTime);
}

GossipDigest EntryNode::LocalGossipDigest() const {
  GossipDigest digest;
  runs_.FillGossipDigest(digest);
  return digest;
}

void EntryNode::HandlePeerAnswered(const PeerAnswered& event,
                                   base::TimePoint now) {
  if (bookings_.HandlePeerAnswered(event, now))
    return;
  const auto* digest = std::get_if<GossipDigest>(&event.message);
  if (membership_.HandlePeerAnswered(event, now) && digest != nullptr)
    runs_.HandleGossipDigest(*digest, now);
}

base::Duration EntryNode::LongestDeadline() const {
  const auto configuration = membership_.configuration();
  if (!configuration)
    return base::Duration(0);
  return configuration->LongestDeadline();
}

void EntryNode::UpdateBookingPeers() {
  const declare::HostSettings& own = context_.settings();
  std::vector<ReplicaPeer> peers;
  for (const base::HostEntry& entry : membership_.hosts().LiveEntryHosts()) {
    if (entry.name != own.host.value)
      peers.push_back({entry.address, entry.zone != own.zone});
  }
  // The host list may be unavailable. The zones of seed peers are not known.
  if (peers.empty()) {
    for (const base::SocketAddress& seed : own.seed_peers)
      peers.push_back({seed, false});
  }
  bookings_.SetPeers(std::move(peers));
}

void EntryNode::FinishStop(base::TimePoint now) {
  if (!stop_deadline_ || has_exited_)
    return;
  if (answers_until_ && *answers_until_ <= now)
    answers_until_.reset();
  const bool is_idle = !answers_until_ && runs_.run_count() == 0 &&
                       bookings_.unsafe_count() == 0;
  if (!is_idle && now < *stop_deadline_)
    return;
  has_exited_ = true;
  const size_t unsafe = bookings_.unsafe_count() + runs_.lingering_count();
  if (unsafe > 0)
    context_.Log(base::LogEventId::kBookingsLeftBehind, std::to_string(unsafe));
  else if (bookings_.unrecorded_count() > 0)
    context_.Log(base::LogEventId::kBookingsHandedOver,
                 std::to_string(bookings_.unrecorded_count()));
  context_.Log(base::LogEventId::kHostStopped, "");
  context_.Emit(Exit{});
}

void EntryNode::RunPendingWork(base::TimePoint now) {
  bookings_.HandleTimer(now);
  membership_.HandleTimer(now);
  if (membership_.IsRoundDue(now))
    membership_.GossipToPeers(LocalGossipDigest(), now);
  runs_.HandleTimer(now);
  if (seen_changes_ != membership_.change_count()) {
    seen_changes_ = membership_.change_count();
    runs_.Refresh(now);
    UpdateBookingPeers();
  }
  for (auto decisions = bookings_.TakeDecisions(); !decisions.empty();
       decisions = bookings_.TakeDecisions()) {
    for (const BookingDecision& decision : decisions)
      runs_.HandleDecision(decision, now);
  }
  runs_.DispatchAll(now);
  bookings_.Commit(now);
  runs_.DropUnusedPools();
  NoteReadiness();
  FinishStop(now);
}

void EntryNode::NoteReadiness() {
  const Readiness current = readiness();
  if (current == last_readiness_)
    return;
  last_readiness_ = current;
  context_.Log(current == Readiness::kReady ? base::LogEventId::kHostReady
                                            : base::LogEventId::kHostNotReady,
               std::string(ToText(current)));
}

std::optional<base::TimePoint> EntryNode::NextWakeup() const {
  std::optional<base::TimePoint> next;
  const auto stop = has_exited_ ? std::nullopt : stop_deadline_;
  for (const auto& wakeup : {bookings_.NextWakeup(), membership_.NextWakeup(),
                             runs_.NextWakeup(), stop, answers_until_}) {
    if (wakeup && (!next || *wakeup < *next))
      next = wakeup;
  }
  return next;
}

Readiness EntryNode::readiness() const {
  if (!runs_.is_accepting())
    return Readiness::kStopping;
  if (!membership_.configuration())
    return Readiness::kNoConfiguration;
  return membership_.hosts().HasLiveEndpoint() ? Readiness::kReady
                                               : Readiness::kNoEndpoints;
}

report::ServiceReport EntryNode::Report(base::TimePoint now) const {
  report::ServiceReport report = runs_.recorder().Report(now);
  report.revision = static_cast<uint64_t>(membership_.revision());
  const auto configuration = membership_.configuration();
  if (!configuration)
    return report;
  for (const declare::Rank rank : declare::kRanks)
    report.targets[static_cast<size_t>(rank)] =
        configuration->RuleOf(rank).attainment_target_percent;
  return report;
}

NodeStatus EntryNode::Status() const {
  NodeStatus status;
  status.host = context_.settings().host;
  status.zone = context_.settings().zone;
  status.incarnation = context_.incarnation();
  status.revision = membership_.revision();
  status.readiness = readiness();
  status.is_platform_reachable = membership_.is_platform_reachable();
  status.runs = runs_.run_count();
  status.unrecorded_bookings = bookings_.unrecorded_count();
  status.pools = runs_.Loads();
  return status;
}

}  // namespace bilberry::node
