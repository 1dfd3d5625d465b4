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

// A peer that sends nonsense must not fill the log.
constexpr std::chrono::minutes kRefusedLogInterval{1};
constexpr std::chrono::milliseconds kPlatformTimeout{800};
constexpr std::chrono::milliseconds kDocumentTimeout{3000};
constexpr std::chrono::milliseconds kPeerTimeout{500};
constexpr std::chrono::milliseconds kPeerDocumentTimeout{3000};
// An answer or failure that has not come so long after its time-out is not
// waited for any more.
constexpr std::chrono::milliseconds kGrace{1000};
constexpr std::chrono::milliseconds kRoundInterval{1000};
// News goes out at once, but not more often than this.
constexpr std::chrono::milliseconds kNewsInterval{200};
// Peers asked for a document at a time, so that a silent one holds up nothing.
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

void MembershipCoordinator::Ask(Question question,
                                base::PlatformRequest request,
                                std::chrono::milliseconds timeout,
                                base::TimePoint now) {
  const base::OperationId operation = context_.NextOperation();
  question.due = now + timeout + kGrace;
  questions_.emplace(operation, std::move(question));
  context_.Emit(SendToPlatform{operation, std::move(request), timeout});
}

bool MembershipCoordinator::HasAsked(QuestionKind kind) const {
  return std::any_of(questions_.begin(), questions_.end(),
                     [kind](const auto& it) { return it.second.kind == kind; });
}

void MembershipCoordinator::ForgetOverdue(base::TimePoint now) {
  const auto is_overdue = [now](const auto& it) {
    return it.second.due <= now;
  };
  std::erase_if(questions_, is_overdue);
  std::erase_if(peer_questions_, is_overdue);
}

void MembershipCoordinator::HandleTimer(base::TimePoint now) {
  if (now < next_poll_)
    return;
  next_poll_ = now + context_.settings().poll_interval;
  ForgetOverdue(now);
  PollPlatform(now);
}

// One question of each kind at a time, so that a slow platform isn't asked ever
// more; none waits for one of another kind.
void MembershipCoordinator::PollPlatform(base::TimePoint now) {
  if (!HasAsked(QuestionKind::kHosts))
    Ask({QuestionKind::kHosts, {}, {}}, base::PollHosts{hosts_.version()},
        kPlatformTimeout, now);
  if (!HasAsked(QuestionKind::kHead))
    Ask({QuestionKind::kHead, {}, {}},
        base::ReadRow{std::string(membership::kConfigurationHeadKey),
                      head_version_},
        kPlatformTimeout, now);
}

bool MembershipCoordinator::IsRoundDue(base::TimePoint now) const {
  return now >= next_round_ || (has_news_ && now >= earliest_news_);
}

membership::GossipFanout MembershipCoordinator::NextShare() {
  if (has_news_)
    return membership::kUpdateFanout;
  ++rounds_;
  return rounds_ % membership::kCrossZoneRoundInterval == 0
             ? membership::kCrossZoneFanout
             : membership::kDefaultFanout;
}

void MembershipCoordinator::GossipToPeers(Digest local, base::TimePoint now) {
  const membership::GossipFanout share = NextShare();
  if (now >= next_round_)
    next_round_ = now + kRoundInterval;
  earliest_news_ = now + kNewsInterval;
  has_news_ = false;
  hosts_.marks().BeginRound();
  const Digest digest = FillDigest(std::move(local));
  for (const base::SocketAddress& peer :
       selector_.Select(hosts_, share, context_.random()))
    SendToPeer(peer, digest, kPeerTimeout, now);
}

void MembershipCoordinator::SendToPeer(const base::SocketAddress& peer,
                                       PeerMessage message,
                                       std::chrono::milliseconds timeout,
                                       base::TimePoint now) {
  const base::OperationId operation = context_.NextOperation();
  const bool is_fetch = std::holds_alternative<ConfigurationQuery>(message);
  peer_questions_.emplace(operation,
                          PeerQuestion{peer, is_fetch, now + timeout + kGrace});
  context_.Emit(node::SendToPeer{operation, peer, std::move(message), timeout});
}

Digest MembershipCoordinator::FillDigest(Digest local) const {
  local.host = context_.settings().host;
  local.incarnation = context_.incarnation();
  local.revision = keeper_.revision();
  local.leaving = hosts_.marks().told();
  return local;
}

std::optional<base::TimePoint> MembershipCoordinator::NextWakeup() const {
  const base::TimePoint next = std::min(next_poll_, next_round_);
  return has_news_ ? std::min(next, earliest_news_) : next;
}

void MembershipCoordinator::NoteNews() {
  has_news_ = true;
}

bool MembershipCoordinator::HandleAnswered(const PlatformAnswered& event,
                                           base::TimePoint now) {
  const auto question = questions_.extract(event.operation);
  if (question.empty())
    return false;
  NotePlatform(true);
  const ConfigurationHead& head = question.mapped().head;
  std::visit(
      base::Overloaded{
          [&](const base::HostsPolled& it) {
            hosts_confirmed_ = now;
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
  if (questions_.erase(event.operation) == 0)
    return false;
  NotePlatform(false);
  return true;
}

void MembershipCoordinator::NotePlatform(bool is_reachable) {
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
    NoteNews();
}

// A host that starts while the platform is out of reach serves with what a peer
// knows; the platform's own list replaces it.
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
    // Not read again until it is another.
    head_version_ = read.row->version;
    context_.Log(base::LogEventId::kConfigurationMalformed,
                 base::ToText(parsed.error()));
    return;
  }
  ConfigurationHead& head = parsed.value();
  if (head.revision > keeper_.revision()) {
    if (!HasAsked(QuestionKind::kDocument) && head.object != malformed_object_)
      Ask({QuestionKind::kDocument, head, {}}, base::FetchObject{head.object},
          kDocumentTimeout, now);
    return;
  }
  head_version_ = read.row->version;
  HandleLowerHead(head);
}

// A table restored to an older state; the configuration in force stays.
void MembershipCoordinator::HandleLowerHead(const ConfigurationHead& head) {
  if (head.revision >= keeper_.revision()) {
    refused_head_.reset();
    return;
  }
  if (refused_head_ == head)
    return;
  refused_head_ = head;
  context_.Log(base::LogEventId::kLowerRevisionRefused,
               RevisionText(head.revision) + " offered, " +
                   RevisionText(keeper_.revision()) + " in force");
}

void MembershipCoordinator::HandleDocument(const ConfigurationHead& head,
                                           const base::ObjectFetched& fetched) {
  if (!fetched.content)
    return;
  OfferConfiguration(head.revision, *fetched.content);
  // Objects never change, so that another fetch would bring the same.
  if (keeper_.revision() < head.revision)
    malformed_object_ = head.object;
}

void MembershipCoordinator::OfferConfiguration(base::Revision revision,
                                               std::string document) {
  const auto adoption = keeper_.Offer(revision, std::move(document));
  if (std::holds_alternative<membership::Adopted>(adoption)) {
    ++change_count_;
    NoteNews();
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

void MembershipCoordinator::HandleDigest(const Digest& digest,
                                         const base::SocketAddress& sender,
                                         base::TimePoint now) {
  for (const LeavingMark& mark : digest.leaving)
    NoteLeaving({mark.name}, mark.incarnation);
  if (digest.revision <= keeper_.revision() && hosts_.is_known())
    return;
  if (sender != base::SocketAddress())
    Fetch({sender}, now);
  else
    // A sender whom no list names: others will have it soon.
    Fetch(selector_.Select(hosts_, membership::kCrossZoneFanout,
                           context_.random()),
          now);
}

void MembershipCoordinator::Fetch(const std::vector<base::SocketAddress>& peers,
                                  base::TimePoint now) {
  int64_t open =
      std::count_if(peer_questions_.begin(), peer_questions_.end(),
                    [](const auto& it) { return it.second.is_fetch; });
  for (const base::SocketAddress& peer : peers) {
    if (open++ >= kMaxFetches)
      return;
    SendToPeer(peer, ConfigurationQuery{keeper_.revision(), !hosts_.is_known()},
               kPeerDocumentTimeout, now);
  }
}

void MembershipCoordinator::HandlePeerRequest(const PeerRequest& event,
                                              Digest local,
                                              base::TimePoint now) {
  if (const auto* digest = std::get_if<Digest>(&event.message)) {
    const base::HostEntry* sender = hosts_.Find(digest->host.value);
    HandleDigest(*digest,
                 sender == nullptr ? base::SocketAddress() : sender->address,
                 now);
    context_.Emit(AnswerPeer{event.exchange, FillDigest(std::move(local))});
    return;
  }
  const auto* query = std::get_if<ConfigurationQuery>(&event.message);
  if (query == nullptr)
    return;
  ConfigurationOffer offer{keeper_.revision(), "", std::nullopt};
  if (query->revision < keeper_.revision())
    offer.document = keeper_.document();
  // What a peer has told is not passed on: its age would not be known.
  if (query->wants_hosts && hosts_.version() != 0)
    offer.hosts = HostsOffer{hosts_.All(), now - hosts_confirmed_};
  context_.Emit(AnswerPeer{event.exchange, std::move(offer)});
}

bool MembershipCoordinator::HandlePeerAnswered(const PeerAnswered& event,
                                               base::TimePoint now) {
  const auto question = peer_questions_.extract(event.operation);
  if (question.empty())
    return false;
  selector_.NoteAnswered();
  if (const auto* digest = std::get_if<Digest>(&event.message))
    HandleDigest(*digest, question.mapped().peer, now);
  const auto* offer = std::get_if<ConfigurationOffer>(&event.message);
  if (offer == nullptr)
    return true;
  if (!offer->document.empty())
    OfferConfiguration(offer->revision, offer->document);
  if (offer->hosts)
    LearnHosts(*offer->hosts, question.mapped().peer);
  return true;
}

bool MembershipCoordinator::HandlePeerFailed(const PeerFailed& event,
                                             base::TimePoint /*now*/) {
  if (peer_questions_.erase(event.operation) == 0)
    return false;
  selector_.NoteFailed();
  return true;
}

void MembershipCoordinator::NoteLeaving(const base::EndpointName& endpoint,
                                        base::Incarnation incarnation) {
  if (!hosts_.MarkLeaving(endpoint.value, incarnation))
    return;
  ++change_count_;
  NoteNews();
  context_.Log(base::LogEventId::kEndpointLeaving, endpoint.value);
}

void MembershipCoordinator::NoteStopping() {
  hosts_.MarkLeaving(context_.settings().host.value, context_.incarnation());
  NoteNews();
}

void MembershipCoordinator::NoteRefused(base::TimePoint now) {
  ++refused_count_;
  if (now < next_refused_log_)
    return;
  next_refused_log_ = now + kRefusedLogInterval;
  context_.Log(base::LogEventId::kPeerMessagesRefused,
               std::to_string(refused_count_) + " since the start");
}

}  // namespace bilberry::node
