#include "LibNode/booking_outbox.h"

#include <algorithm>
#include <iterator>

namespace bilberry::node {

using booking::BookingState;
using booking::Settlement;
using booking::SettlementStep;

void BookingOutbox::SetPeers(std::vector<ReplicaPeer> peers) {
  // std::ranges::stable_partition does not compile in clang 14.
  std::stable_partition(peers.begin(), peers.end(), [](const ReplicaPeer& it) {
    return it.is_in_other_zone;
  });
  peers_ = std::move(peers);
  const auto other_zone_count =
      std::ranges::count_if(peers_, &ReplicaPeer::is_in_other_zone);
  next_peer_ =
      other_zone_count == 0 ? 0 : context_.random().Below(other_zone_count);
}

void BookingOutbox::Add(Settlement settlement, base::TimePoint now) {
  Insert(std::move(settlement), Owner::kSelf, now);
}

BookingCopiesAck BookingOutbox::Keep(const BookingCopies& copies,
                                     base::TimePoint now) {
  BookingCopiesAck acknowledged;
  for (const Settlement& settlement : copies.settlements) {
    const std::string& token = settlement.record.claim_token;
    const bool has_room = copy_count_ < kMaxCopies && !is_full();
    if (!entries_.contains(token) && !has_room)
      continue;
    if (!entries_.contains(token))
      Insert(settlement, Owner::kPeer, now);
    acknowledged.claim_tokens.push_back(token);
  }
  return acknowledged;
}

void BookingOutbox::Insert(Settlement settlement,
                           Owner owner,
                           base::TimePoint now) {
  const std::string token = settlement.record.claim_token;
  answer_bytes_ += settlement.record.answer.size();
  copy_count_ += owner == Owner::kPeer ? 1 : 0;
  const bool is_done = settlement.record.state == BookingState::kDone;
  entries_.emplace(token, Entry{std::move(settlement), owner});
  writes_due_.emplace(now, token);
  if (is_handing_over_)
    copies_due_.emplace(now, token);
  else if (is_done && owner == Owner::kSelf)
    copies_due_.emplace(now + kCopyDelay, token);
}

void BookingOutbox::HandOver(base::TimePoint now) {
  is_handing_over_ = true;
  copies_due_.clear();
  for (const auto& [token, entry] : entries_) {
    if (!entry.is_copied)
      copies_due_.emplace(now, token);
  }
}

size_t BookingOutbox::uncopied_count() const {
  return static_cast<size_t>(std::ranges::count_if(
      entries_, [](const auto& it) { return !it.second.is_copied; }));
}

void BookingOutbox::HandleTimer(base::TimePoint now) {
  while (!writes_due_.empty() && writes_due_.begin()->first <= now) {
    const std::string token = writes_due_.begin()->second;
    writes_due_.erase(writes_due_.begin());
    const auto it = entries_.find(token);
    if (it != entries_.end())
      Write(token, it->second);
  }
  while (!copies_due_.empty() && copies_due_.begin()->first <= now &&
         !peers_.empty())
    SendCopies(now);
}

void BookingOutbox::Write(const std::string& token, Entry& entry) {
  if (!booking::NeedsObject(entry.settlement.record) ||
      entry.is_object_stored) {
    tickets_.emplace(writer_.Submit(booking::WriteOf(entry.settlement)), token);
    return;
  }
  // The row refers to the object, so the object is stored first.
  const base::OperationId operation = context_.NextOperation();
  object_operations_.emplace(operation, token);
  const booking::BookingRecord& record = entry.settlement.record;
  context_.Emit(SendToPlatform{
      operation,
      base::StoreObject{booking::AnswerObjectOf(record), record.answer},
      kObjectTimeout});
}

void BookingOutbox::RetryLater(const std::string& token, base::TimePoint now) {
  writes_due_.emplace(now + kRetryDelay, token);
  const Entry& entry = entries_.at(token);
  context_.Log(base::LogEventId::kBookingNotRecorded, entry.settlement.row_key);
  // The table fails, so the outcome is copied to a peer without the usual
  // delay.
  const bool is_own_outcome =
      entry.owner == Owner::kSelf &&
      entry.settlement.record.state == BookingState::kDone;
  const auto is_this = [&token](const auto& it) { return it.second == token; };
  const auto scheduled = std::ranges::find_if(copies_due_, is_this);
  if (is_own_outcome && !entry.is_copied && scheduled != copies_due_.end()) {
    copies_due_.erase(scheduled);
    copies_due_.emplace(now, token);
  }
  Notify(token, OutboxEvent::kWriteFailed);
}

bool BookingOutbox::HandleWriteEnded(const WriteEnded& ended,
                                     base::TimePoint now) {
  const auto node = tickets_.extract(ended.ticket);
  if (node.empty())
    return false;
  const std::string& token = node.mapped();
  const auto it = entries_.find(token);
  if (it == entries_.end())
    return true;
  if (!ended.result) {
    RetryLater(token, now);
    return true;
  }
  Settlement& settlement = it->second.settlement;
  const SettlementStep step = booking::ApplyResult(settlement, *ended.result);
  if (step == SettlementStep::kRetryWrite) {
    writes_due_.emplace(now, token);
    return true;
  }
  if (step == SettlementStep::kSuperseded &&
      settlement.record.state == BookingState::kDone)
    context_.Log(base::LogEventId::kBookingOvertaken, settlement.row_key);
  Notify(token,
         step == SettlementStep::kSettled ? OutboxEvent::kRecorded
                                          : OutboxEvent::kSuperseded,
         settlement.expected);
  Remove(token);
  return true;
}

bool BookingOutbox::HandleAnswered(const PlatformAnswered& event,
                                   base::TimePoint now) {
  const auto node = object_operations_.extract(event.operation);
  if (node.empty())
    return false;
  const auto it = entries_.find(node.mapped());
  if (it == entries_.end())
    return true;
  if (!std::holds_alternative<base::ObjectStored>(event.answer)) {
    RetryLater(node.mapped(), now);
    return true;
  }
  it->second.is_object_stored = true;
  writes_due_.emplace(now, node.mapped());
  return true;
}

bool BookingOutbox::HandleFailed(const PlatformFailed& event,
                                 base::TimePoint now) {
  const auto node = object_operations_.extract(event.operation);
  if (node.empty())
    return false;
  if (entries_.contains(node.mapped()))
    RetryLater(node.mapped(), now);
  return true;
}

void BookingOutbox::SendCopies(base::TimePoint now) {
  const base::OperationId operation = context_.NextOperation();
  std::vector<std::string>& tokens = copy_operations_[operation];
  BookingCopies copies;
  size_t bytes = 0;
  while (!copies_due_.empty() && copies_due_.begin()->first <= now &&
         tokens.size() < kMaxCopiesPerMessage && bytes < kMaxBytesPerMessage) {
    const std::string token = copies_due_.begin()->second;
    copies_due_.erase(copies_due_.begin());
    const auto it = entries_.find(token);
    if (it == entries_.end() || it->second.is_copied)
      continue;
    bytes += it->second.settlement.record.answer.size();
    copies.settlements.push_back(it->second.settlement);
    tokens.push_back(token);
  }
  if (tokens.empty()) {
    copy_operations_.erase(operation);
    return;
  }
  const ReplicaPeer& peer = peers_[next_peer_ % peers_.size()];
  context_.Emit(
      SendToPeer{operation, peer.address, std::move(copies), kPeerTimeout});
}

bool BookingOutbox::HandlePeerAnswered(const PeerAnswered& event,
                                       base::TimePoint now) {
  const auto found = copy_operations_.find(event.operation);
  if (found == copy_operations_.end())
    return false;
  const auto* acknowledged = std::get_if<BookingCopiesAck>(&event.message);
  if (acknowledged == nullptr)
    return HandlePeerFailed({event.operation}, now);
  const std::vector<std::string> tokens = std::move(found->second);
  copy_operations_.erase(found);
  for (const std::string& token : tokens) {
    const auto it = entries_.find(token);
    if (it == entries_.end())
      continue;
    if (std::ranges::find(acknowledged->claim_tokens, token) ==
        acknowledged->claim_tokens.end()) {
      copies_due_.emplace(now + kCopyDelay, token);
      ++next_peer_;
      continue;
    }
    it->second.is_copied = true;
    Notify(token, OutboxEvent::kCopied);
  }
  return true;
}

bool BookingOutbox::HandlePeerFailed(const PeerFailed& event,
                                     base::TimePoint now) {
  const auto node = copy_operations_.extract(event.operation);
  if (node.empty())
    return false;
  ++next_peer_;
  for (const std::string& token : node.mapped()) {
    if (entries_.contains(token))
      copies_due_.emplace(now + kCopyDelay, token);
  }
  return true;
}

std::optional<base::TimePoint> BookingOutbox::NextWakeup() const {
  std::optional<base::TimePoint> next;
  if (!writes_due_.empty())
    next = writes_due_.begin()->first;
  if (!copies_due_.empty() && !peers_.empty() &&
      (!next || copies_due_.begin()->first < *next))
    next = copies_due_.begin()->first;
  return next;
}

void BookingOutbox::Remove(const std::string& token) {
  const auto it = entries_.find(token);
  answer_bytes_ -= it->second.settlement.record.answer.size();
  copy_count_ -= it->second.owner == Owner::kPeer ? 1 : 0;
  entries_.erase(it);
}

void BookingOutbox::Notify(const std::string& token,
                           OutboxEvent event,
                           base::RowVersion version) {
  notifications_.push_back({token, event, version});
}

std::vector<OutboxNotification> BookingOutbox::TakeNotifications() {
  return std::exchange(notifications_, {});
}

}  // namespace bilberry::node
