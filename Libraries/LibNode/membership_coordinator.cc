#include "LibNode/membership_coordinator.h"

#include <string>
#include <utility>
#include <vector>

#include "LibBase/overloaded.h"

namespace bilberry::node {

namespace {

using membership::ConfigurationHead;

constexpr std::chrono::milliseconds kPlatformTimeout{800};
constexpr std::chrono::milliseconds kPeerTimeout{500};

std::string RevisionText(base::Revision revision) {
  return "revision " + std::to_string(static_cast<uint64_t>(revision));
}

}  // namespace

void MembershipCoordinator::Ask(Question question,
                                base::PlatformRequest request) {
  const base::OperationId operation = context_.NextOperation();
  questions_.emplace(operation, question);
  context_.Emit(
      SendToPlatform{operation, std::move(request), kPlatformTimeout});
}

void MembershipCoordinator::HandleTimer(base::TimePoint now) {
  if (now < next_poll_)
    return;
  next_poll_ = now + context_.settings().poll_interval;
  PollPlatform();
  TellPeer(now);
}

void MembershipCoordinator::PollPlatform() {
  // One question of each kind at a time, so that a slow platform isn't asked
  // ever more.
  if (!questions_.empty())
    return;
  Ask(Question::kHosts, base::PollHosts{hosts_.version()});
  Ask(Question::kHead,
      base::ReadRow{std::string(membership::kConfigurationHeadKey),
                    head_version_});
}

void MembershipCoordinator::TellPeer(base::TimePoint /*now*/) {
  std::vector<base::SocketAddress> peers = context_.settings().seed_peers;
  for (const base::HostEntry& entry : hosts_.LiveEntryHosts()) {
    if (entry.name != context_.settings().host.value)
      peers.push_back(entry.address);
  }
  if (peers.empty())
    return;
  const base::OperationId operation = context_.NextOperation();
  const base::SocketAddress& peer =
      peers[context_.random().Below(peers.size())];
  peer_questions_.emplace(operation, peer);
  context_.Emit(SendToPeer{
      operation, peer, ConfigurationQuery{keeper_.revision()}, kPeerTimeout});
}

std::optional<base::TimePoint> MembershipCoordinator::NextWakeup() const {
  return next_poll_;
}

bool MembershipCoordinator::HandleAnswered(const PlatformAnswered& event,
                                           base::TimePoint /*now*/) {
  if (questions_.erase(event.operation) == 0)
    return false;
  NotePlatform(true);
  std::visit(base::Overloaded{
                 [this](const base::HostsPolled& it) { HandleHosts(it); },
                 [this](const base::RowRead& it) { HandleHead(it); },
                 [this](const base::ObjectFetched& it) { HandleDocument(it); },
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
  if (hosts_.Apply(polled))
    ++change_count_;
}

void MembershipCoordinator::HandleHead(const base::RowRead& read) {
  if (!read.row || read.row->version == base::RowVersion::kAbsent)
    return;
  auto head = membership::ParseHead(read.row->value);
  if (!head) {
    context_.Log(base::LogEventId::kConfigurationMalformed,
                 base::ToText(head.error()));
    return;
  }
  if (head.value().revision < keeper_.revision()) {
    context_.Log(base::LogEventId::kLowerRevisionRefused,
                 RevisionText(head.value().revision));
    head_version_ = read.row->version;
    return;
  }
  if (head.value().revision == keeper_.revision()) {
    head_version_ = read.row->version;
    return;
  }
  wanted_head_ = std::move(head.value());
  Ask(Question::kDocument, base::FetchObject{wanted_head_->object});
}

void MembershipCoordinator::HandleDocument(const base::ObjectFetched& fetched) {
  if (!wanted_head_ || !fetched.content)
    return;
  OfferConfiguration(wanted_head_->revision, *fetched.content);
  wanted_head_.reset();
}

void MembershipCoordinator::OfferConfiguration(base::Revision revision,
                                               std::string document) {
  const auto adoption = keeper_.Offer(revision, std::move(document));
  if (std::holds_alternative<membership::Adopted>(adoption)) {
    ++change_count_;
    context_.Log(base::LogEventId::kConfigurationAdopted,
                 RevisionText(revision));
  } else if (const auto* malformed =
                 std::get_if<membership::MalformedDocument>(&adoption)) {
    context_.Log(base::LogEventId::kConfigurationMalformed,
                 declare::ToText(RevisionText(revision), malformed->fault));
  }
}

void MembershipCoordinator::HandlePeerRequest(const PeerRequest& event,
                                              base::TimePoint /*now*/) {
  ConfigurationOffer offer{keeper_.revision(), ""};
  const auto* query = std::get_if<ConfigurationQuery>(&event.message);
  if (query != nullptr && query->revision < keeper_.revision())
    offer.document = keeper_.document();
  context_.Emit(AnswerPeer{event.exchange, std::move(offer)});
}

bool MembershipCoordinator::HandlePeerAnswered(const PeerAnswered& event,
                                               base::TimePoint /*now*/) {
  if (peer_questions_.erase(event.operation) == 0)
    return false;
  const auto* offer = std::get_if<ConfigurationOffer>(&event.message);
  if (offer != nullptr && !offer->document.empty())
    OfferConfiguration(offer->revision, offer->document);
  return true;
}

bool MembershipCoordinator::HandlePeerFailed(const PeerFailed& event,
                                             base::TimePoint /*now*/) {
  return peer_questions_.erase(event.operation) > 0;
}

void MembershipCoordinator::NoteLeaving(const base::EndpointName& endpoint,
                                        base::Incarnation incarnation) {
  if (!hosts_.MarkLeaving(endpoint.value, incarnation))
    return;
  ++change_count_;
  context_.Log(base::LogEventId::kEndpointLeaving, endpoint.value);
}

}  // namespace bilberry::node
