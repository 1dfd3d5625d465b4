#include "LibNode/membership_coordinator.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "LibBase/overloaded.h"

namespace bilberry::node {

namespace {

using membership::ConfigurationHead;
using membership::LeavingMark;

// Limits the log volume that a peer with refused messages can cause.
constexpr std::chrono::minutes kRefusedMessageLogInterval{1};
constexpr std::chrono::milliseconds kPlatformTimeout{800};
constexpr std::chrono::milliseconds kDocumentTimeout{3000};
constexpr std::chrono::milliseconds kPeerTimeout{500};
constexpr std::chrono::milliseconds kPeerDocumentTimeout{3000};
// A request without an answer or failure this long after its timeout is
// abandoned.
constexpr std::chrono::milliseconds kAbandonDelay{1000};
constexpr std::chrono::milliseconds kRoundInterval{1000};
// Updates are gossiped at once, but not more often than this.
constexpr std::chrono::milliseconds kUpdateInterval{200};
// Concurrent document requests to peers, so that an unresponsive peer does not
// block the fetch.
constexpr int64_t kMaxFetches = 2;

std::string RevisionText(base::Revision revision) {
  return "revision " + std::to_string(static_cast<uint64_t>(revision));
}

}  // namespace

MembershipCoordinator::MembershipCoordinator(NodeContext& context)
    : context_(context),
      selector_(context.settings().host,
                context.settings().zone,
                context.settings().peers,
                context.settings().seed_peers) {}

void MembershipCoordinator::SendRequest(OpenRequest open_request,
                                        base::PlatformRequest request,
                                        std::chrono::milliseconds timeout,
                                        base::TimePoint now) {
  const base::OperationId operation = context_.NextOperation();
  open_request.due = now + timeout + kAbandonDelay;
  open_requests_.emplace(operation, std::move(open_request));
  context_.Emit(SendToPlatform{operation, std::move(request), timeout});
}

bool MembershipCoordinator::IsRequestOpen(RequestKind kind) const {
  return std::any_of(open_requests_.begin(), open_requests_.end(),
                     [kind](const auto& it) { return it.second.kind == kind; });
}

void MembershipCoordinator::AbandonOverdue(base::TimePoint now) {
  const auto is_overdue = [now](const auto& it) {
    return it.second.due <= now;
  };
  std::erase_if(open_requests_, is_overdue);
  std::erase_if(open_peer_requests_, is_overdue);
}

void MembershipCoordinator::HandleTimer(base::TimePoint now) {
  if (now < next_poll_)
    return;
  next_poll_ = now + context_.settings().poll_interval;
  AbandonOverdue(now);
  PollPlatform(now);
}

// At most one request of each kind is in flight, so that requests to a slow
// platform do not pile up. The kinds do not wait for each other.
void MembershipCoordinator::PollPlatform(base::TimePoint now) {
  if (!IsRequestOpen(RequestKind::kHosts))
    SendRequest({RequestKind::kHosts, {}, {}},
                base::PollHosts{hosts_.version()}, kPlatformTimeout, now);
  if (!IsRequestOpen(RequestKind::kHead))
    SendRequest({RequestKind::kHead, {}, {}},
                base::ReadRow{std::string(membership::kConfigurationHeadKey),
                              head_version_},
                kPlatformTimeout, now);
}

bool MembershipCoordinator::IsRoundDue(base::TimePoint now) const {
  return now >= next_round_ || (has_update_ && now >= next_update_round_);
}

membership::GossipFanout MembershipCoordinator::NextFanout() {
  if (has_update_)
    return membership::kUpdateFanout;
  ++rounds_;
  return rounds_ % membership::kCrossZoneRoundInterval == 0
             ? membership::kCrossZoneFanout
             : membership::kDefaultFanout;
}

void MembershipCoordinator::GossipToPeers(GossipDigest local,
                                          base::TimePoint now) {
  const membership::GossipFanout fanout = NextFanout();
  if (now >= next_round_)
    next_round_ = now + kRoundInterval;
  next_update_round_ = now + kUpdateInterval;
  has_update_ = false;
  hosts_.marks().BeginRound();
  const GossipDigest digest = FillGossipDigest(std::move(local));
  for (const base::SocketAddress& peer :
       selector_.Select(hosts_, fanout, context_.random()))
    SendToPeer(peer, digest, kPeerTimeout, now);
}

void MembershipCoordinator::SendToPeer(const base::SocketAddress& peer,
                                       PeerMessage message,
                                       std::chrono::milliseconds timeout,
                                       base::TimePoint now) {
  const base::OperationId operation = context_.NextOperation();
  const bool is_fetch = std::holds_alternative<ConfigurationQuery>(message);
  open_peer_requests_.emplace(
      operation,
      OpenPeerRequest{peer, is_fetch, now + timeout + kAbandonDelay});
  context_.Emit(node::SendToPeer{operation, peer, std::move(message), timeout});
}

GossipDigest MembershipCoordinator::FillGossipDigest(GossipDigest local) const {
  local.host = context_.settings().host;
  local.incarnation = context_.incarnation();
  local.revision = active_configuration_.revision();
  local.leaving = hosts_.marks().marks_to_gossip();
  return local;
}

std::optional<base::TimePoint> MembershipCoordinator::NextWakeup() const {
  const base::TimePoint next = std::min(next_poll_, next_round_);
  return has_update_ ? std::min(next, next_update_round_) : next;
}

void MembershipCoordinator::NoteUpdate() {
  has_update_ = true;
}

bool MembershipCoordinator::HandleAnswered(const PlatformAnswered& event,
                                           base::TimePoint now) {
  const auto open_request = open_requests_.extract(event.operation);
  if (open_request.empty())
    return false;
  SetPlatformReachable(true);
  const ConfigurationHead& head = open_request.mapped().head;
  std::visit(
      base::Overloaded{
          [&](const base::HostsPolled& it) {
            hosts_confirmed_at_ = now;
            HandleHosts(it);
          },
          [&](const base::RowRead& it) { HandleHead(it, now); },
          [&](const base::ObjectFetched& it) { HandleDocument(head, it); },
          [](const auto&) {},
      },
      event.answer);
  return true;
}

bool MembershipCoordinator::HandleFailed(const PlatformFailed& event,
                                         base::TimePoint /*now*/) {
  if (open_requests_.erase(event.operation) == 0)
    return false;
  SetPlatformReachable(false);
  return true;
}

void MembershipCoordinator::SetPlatformReachable(bool is_reachable) {
  if (is_platform_reachable_ == is_reachable)
    return;
  is_platform_reachable_ = is_reachable;
  context_.Log(is_reachable ? base::LogEventId::kPlatformReachable
                            : base::LogEventId::kPlatformUnreachable,
               base::ToText(context_.settings().platform));
}

void MembershipCoordinator::HandleHosts(const base::HostsPolled& polled) {
  const size_t marks_before = hosts_.marks().size();
  const bool was_empty = hosts_.version() == 0;
  if (hosts_.Apply(polled))
    ++change_count_;
  if (!was_empty && hosts_.marks().size() != marks_before)
    NoteUpdate();
}

// A host that starts while the platform is unreachable serves with a peer's
// list until the platform's list replaces it.
void MembershipCoordinator::LearnHosts(const HostsOffer& offer,
                                       const base::SocketAddress& peer) {
  if (!hosts_.LearnFromPeer(offer.hosts))
    return;
  ++change_count_;
  context_.Log(
      base::LogEventId::kHostsLearntFromPeer,
      base::ToText(peer) + ", " + std::to_string(offer.hosts.size()) +
          " hosts, " +
          std::to_string(
              std::chrono::duration_cast<std::chrono::seconds>(offer.age)
                  .count()) +
          " s old");
}

void MembershipCoordinator::HandleHead(const base::RowRead& read,
                                       base::TimePoint now) {
  if (!read.row)
    return;
  if (read.row->version == base::RowVersion::kAbsent) {
    HandleLowerHead({});
    return;
  }
  auto parsed = membership::ParseHead(read.row->value);
  if (!parsed) {
    // The malformed row is not read again until its version changes.
    head_version_ = read.row->version;
    context_.Log(base::LogEventId::kConfigurationMalformed,
                 base::ToText(parsed.error()));
    return;
  }
  ConfigurationHead& head = parsed.value();
  if (head.revision > active_configuration_.revision()) {
    if (!IsRequestOpen(RequestKind::kDocument) &&
        head.object != malformed_object_)
      SendRequest({RequestKind::kDocument, head, {}},
                  base::FetchObject{head.object}, kDocumentTimeout, now);
    return;
  }
  head_version_ = read.row->version;
  HandleLowerHead(head);
}

// The table was restored to an older state; the configuration in force stays.
void MembershipCoordinator::HandleLowerHead(const ConfigurationHead& head) {
  if (head.revision >= active_configuration_.revision()) {
    refused_head_.reset();
    return;
  }
  if (refused_head_ == head)
    return;
  refused_head_ = head;
  context_.Log(base::LogEventId::kLowerRevisionRefused,
               RevisionText(head.revision) + " offered, " +
                   RevisionText(active_configuration_.revision()) +
                   " in force");
}

void MembershipCoordinator::HandleDocument(const ConfigurationHead& head,
                                           const base::ObjectFetched& fetched) {
  if (!fetched.content)
    return;
  OfferConfiguration(head.revision, *fetched.content);
  // Objects are immutable, so another fetch would return the same content.
  if (active_configuration_.revision() < head.revision)
    malformed_object_ = head.object;
}

void MembershipCoordinator::OfferConfiguration(base::Revision revision,
                                               std::string document) {
  const auto adoption =
      active_configuration_.Offer(revision, std::move(document));
  if (std::holds_alternative<membership::Adopted>(adoption)) {
    ++change_count_;
    NoteUpdate();
    context_.Log(base::LogEventId::kConfigurationAdopted,
                 RevisionText(revision));
    return;
  }
  const auto* malformed = std::get_if<membership::MalformedDocument>(&adoption);
  if (malformed != nullptr && malformed_revision_ != revision) {
    malformed_revision_ = revision;
    context_.Log(base::LogEventId::kConfigurationMalformed,
                 declare::ToText(RevisionText(revision), malformed->fault));
  }
}

void MembershipCoordinator::HandleGossipDigest(
    const GossipDigest& digest,
    const base::SocketAddress& sender,
    base::TimePoint now) {
  for (const LeavingMark& mark : digest.leaving)
    NoteLeaving({mark.name}, mark.incarnation);
  if (digest.revision <= active_configuration_.revision() && hosts_.is_known())
    return;
  if (sender != base::SocketAddress())
    FetchConfiguration({sender}, now);
  else
    // The sender's address is not listed. Other peers will have the
    // configuration soon.
    FetchConfiguration(selector_.Select(hosts_, membership::kCrossZoneFanout,
                                        context_.random()),
                       now);
}

void MembershipCoordinator::FetchConfiguration(
    const std::vector<base::SocketAddress>& peers,
    base::TimePoint now) {
  int64_t open =
      std::count_if(open_peer_requests_.begin(), open_peer_requests_.end(),
                    [](const auto& it) { return it.second.is_fetch; });
  for (const base::SocketAddress& peer : peers) {
    if (open++ >= kMaxFetches)
      return;
    SendToPeer(peer,
               ConfigurationQuery{active_configuration_.revision(),
                                  !hosts_.is_known()},
               kPeerDocumentTimeout, now);
  }
}

void MembershipCoordinator::HandlePeerRequest(const PeerRequest& event,
                                              GossipDigest local,
                                              base::TimePoint now) {
  if (const auto* digest = std::get_if<GossipDigest>(&event.message)) {
    const base::HostEntry* sender = hosts_.Find(digest->host.value);
    HandleGossipDigest(
        *digest, sender == nullptr ? base::SocketAddress() : sender->address,
        now);
    context_.Emit(
        AnswerPeer{event.exchange, FillGossipDigest(std::move(local))});
    return;
  }
  const auto* query = std::get_if<ConfigurationQuery>(&event.message);
  if (query == nullptr)
    return;
  ConfigurationOffer offer{active_configuration_.revision(), "", std::nullopt};
  if (query->revision < active_configuration_.revision())
    offer.document = active_configuration_.document();
  // A list learned from a peer is not passed on, since this host does not keep
  // the list's age.
  if (query->wants_hosts && hosts_.version() != 0)
    offer.hosts = HostsOffer{hosts_.All(), now - hosts_confirmed_at_};
  context_.Emit(AnswerPeer{event.exchange, std::move(offer)});
}

bool MembershipCoordinator::HandlePeerAnswered(const PeerAnswered& event,
                                               base::TimePoint now) {
  const auto open_request = open_peer_requests_.extract(event.operation);
  if (open_request.empty())
    return false;
  selector_.NoteAnswered();
  if (const auto* digest = std::get_if<GossipDigest>(&event.message))
    HandleGossipDigest(*digest, open_request.mapped().peer, now);
  const auto* offer = std::get_if<ConfigurationOffer>(&event.message);
  if (offer == nullptr)
    return true;
  if (!offer->document.empty())
    OfferConfiguration(offer->revision, offer->document);
  if (offer->hosts)
    LearnHosts(*offer->hosts, open_request.mapped().peer);
  return true;
}

bool MembershipCoordinator::HandlePeerFailed(const PeerFailed& event,
                                             base::TimePoint /*now*/) {
  if (open_peer_requests_.erase(event.operation) == 0)
    return false;
  selector_.NoteFailed();
  return true;
}

void MembershipCoordinator::NoteLeaving(const base::EndpointName& endpoint,
                                        base::Incarnation incarnation) {
  if (!hosts_.MarkLeaving(endpoint.value, incarnation))
    return;
  ++change_count_;
  NoteUpdate();
  context_.Log(base::LogEventId::kEndpointLeaving, endpoint.value);
}

void MembershipCoordinator::NoteStopping() {
  hosts_.MarkLeaving(context_.settings().host.value, context_.incarnation());
  NoteUpdate();
}

void MembershipCoordinator::NoteRefusedMessage(base::TimePoint now) {
  ++refused_message_count_;
  if (now < next_refused_message_log_)
    return;
  next_refused_message_log_ = now + kRefusedMessageLogInterval;
  context_.Log(base::LogEventId::kPeerMessagesRefused,
               std::to_string(refused_message_count_) + " since the start");
}

}  // namespace bilberry::node
