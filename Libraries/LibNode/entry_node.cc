#include "LibNode/entry_node.h"

#include <algorithm>
#include <utility>

#include "LibBase/overloaded.h"

namespace bilberry::node {

EntryNode::EntryNode(NodeOptions options)
    : context_(std::move(options)),
      bookings_(context_),
      membership_(context_),
      runs_(context_, bookings_, membership_) {
  context_.Log(base::LogEventId::kHostStarted, context_.settings().host.value);
}

Actions EntryNode::Handle(Event event, base::TimePoint now) {
  Route(std::move(event), now);
  Settle(now);
  return context_.TakeActions();
}

void EntryNode::Route(Event event, base::TimePoint now) {
  std::visit(
      base::Overloaded{
          [&](const CallerRequest& it) { runs_.HandleRequest(it, now); },
          [&](const CallerLeft& it) { runs_.HandleCallerLeft(it.caller, now); },
          [&](const EndpointChunk& it) { runs_.HandleChunk(it); },
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
            if (const auto* digest = std::get_if<Digest>(&it.message))
              runs_.HandleDigest(*digest, now);
            membership_.HandlePeerRequest(it, now);
          },
          [&](const PeerAnswered& it) {
            membership_.HandlePeerAnswered(it, now);
          },
          [&](const PeerFailed& it) { membership_.HandlePeerFailed(it, now); },
          [](const TimerDue&) {},
          [&](const StopOrdered&) { HandleStop(now); },
      },
      event);
}

void EntryNode::HandleStop(base::TimePoint /*now*/) {
  if (!runs_.is_accepting())
    return;
  context_.Log(base::LogEventId::kStopOrdered, "");
  runs_.StopAccepting();
}

void EntryNode::Settle(base::TimePoint now) {
  bookings_.HandleTimer(now);
  membership_.HandleTimer(now);
  runs_.HandleTimer(now);
  if (seen_changes_ != membership_.change_count()) {
    seen_changes_ = membership_.change_count();
    runs_.Refresh(now);
  }
  for (auto decisions = bookings_.TakeDecisions(); !decisions.empty();
       decisions = bookings_.TakeDecisions()) {
    for (const BookingDecision& decision : decisions)
      runs_.HandleDecision(decision, now);
  }
  runs_.DispatchAll(now);
  NoteReadiness();
  const bool is_done = !runs_.is_accepting() && runs_.run_count() == 0 &&
                       bookings_.unrecorded_count() == 0;
  if (is_done && !has_exited_) {
    has_exited_ = true;
    context_.Log(base::LogEventId::kHostStopped, "");
    context_.Emit(Exit{});
  }
}

void EntryNode::NoteReadiness() {
  const Readiness present = readiness();
  if (present == last_readiness_)
    return;
  last_readiness_ = present;
  context_.Log(present == Readiness::kReady ? base::LogEventId::kHostReady
                                            : base::LogEventId::kHostNotReady,
               std::string(ToText(present)));
}

std::optional<base::TimePoint> EntryNode::NextWakeup() const {
  std::optional<base::TimePoint> next;
  for (const auto& wakeup :
       {bookings_.NextWakeup(), membership_.NextWakeup(), runs_.NextWakeup()}) {
    if (wakeup && (!next || *wakeup < *next))
      next = wakeup;
  }
  return next;
}

Readiness EntryNode::readiness() const {
  if (!runs_.is_accepting())
    return Readiness::kStopping;
  return membership_.configuration() ? Readiness::kReady
                                     : Readiness::kNoConfiguration;
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
