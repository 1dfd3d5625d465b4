#include "LibNode/booking_coordinator.h"

#include <utility>

#include "LibBase/error.h"
#include "LibBase/overloaded.h"

namespace bilberry::node {

namespace {

using booking::Booking;
using booking::BookingPhase;
using booking::BookingRecord;
using booking::BookingState;
using booking::ClaimVerdict;
using pipeline::Executed;

constexpr std::chrono::milliseconds kTableProbeInterval{500};
constexpr std::chrono::milliseconds kFetchTimeout{800};
constexpr std::chrono::milliseconds kQueryInterval{200};
constexpr std::chrono::milliseconds kQueryTimeout{300};
// Failed queries after which the claimer is assumed to have crashed.
constexpr uint32_t kMaxFailedQueries = 2;
constexpr std::chrono::milliseconds kRetryAfterTableFailure{1000};
constexpr std::chrono::milliseconds kRetryAfterNotRun{500};
constexpr std::chrono::milliseconds kRetryAfterFull{1000};
constexpr std::chrono::milliseconds kRetryAfterUnresolved{5000};

BookingRejected Rejection(
    int status,
    Executed executed,
    std::string code,
    std::string message,
    std::optional<std::chrono::milliseconds> retry_after) {
  return {base::RunId{},
          status,
          executed,
          {std::move(code), base::Step::kClaim, "platform", std::move(message),
           retry_after}};
}

BookingRejected DigestConflict() {
  return Rejection(409, Executed::kNo, "idempotency_key_reused",
                   "Idempotency-Key was used with another request",
                   std::nullopt);
}

BookingRejected TableUnavailable() {
  return Rejection(503, Executed::kNo, "table_unavailable",
                   "the platform's table did not take the claim",
                   kRetryAfterTableFailure);
}

BookingRejected NotRun() {
  return Rejection(503, Executed::kNo, "booking_not_run",
                   "the booking under this key did not run", kRetryAfterNotRun);
}

BookingRejected Unresolved() {
  return Rejection(504, Executed::kUnknown, "booking_unresolved",
                   "whether the booking ran is not known",
                   kRetryAfterUnresolved);
}

// If another host's claim was seen, the booking may have executed, which the
// rejection must say.
BookingRejected UnresolvedOr(const Booking& booking,
                             BookingRejected rejection) {
  return booking.competing_claim.claim_token.empty() ? std::move(rejection)
                                                     : Unresolved();
}

bool IsSettling(const Booking& booking) {
  return booking.phase == BookingPhase::kNeverSent ||
         booking.phase == BookingPhase::kRecordingOutcome;
}

}  // namespace

std::string BookingCoordinator::NewToken() {
  return base::ToText(
      base::AttemptId{context_.incarnation(), context_.random().Next()});
}

void BookingCoordinator::Begin(base::RunId run,
                               const booking::BookingKey& key,
                               std::string digest,
                               base::TimePoint now) {
  if (Booking* booking = ledger_.Find(key)) {
    if (booking->record.digest != digest)
      RejectOne(run, DigestConflict());
    else
      JoinRepeat(*booking, run, now);
    return;
  }
  if (auto rejection = RejectionOfNew(now)) {
    RejectOne(run, std::move(*rejection));
    return;
  }
  BookingRecord claim;
  claim.digest = std::move(digest);
  claim.claim_token = NewToken();
  claim.claimer = context_.settings().host;
  claim.claimer_incarnation = context_.incarnation();
  claim.claimer_address = context_.settings().peers;
  SubmitClaim(ledger_.Open(key, std::move(claim), run));
}

std::optional<BookingRejected> BookingCoordinator::RejectionOfNew(
    base::TimePoint now) {
  if (ledger_.is_full() || outbox_.is_full())
    return Rejection(503, Executed::kNo, "too_many_bookings",
                     "this entry host is at its limit of bookings",
                     kRetryAfterFull);
  if (IsTableCircuitOpen(now))
    return TableUnavailable();
  return std::nullopt;
}

void BookingCoordinator::JoinRepeat(Booking& booking,
                                    base::RunId run,
                                    base::TimePoint now) {
  const bool is_never_sent = booking.phase == BookingPhase::kNeverSent;
  if (booking.is_outcome_durable) {
    decisions_.emplace_back(
        BookingAnswered{run, booking.record.status, booking.record.answer});
    return;
  }
  if (is_never_sent && IsTableCircuitOpen(now)) {
    RejectOne(run, TableUnavailable());
    return;
  }
  if (!ledger_.Join(booking, run))
    RejectOne(
        run,
        Rejection(503, is_never_sent ? Executed::kNo : Executed::kUnknown,
                  "too_many_repeats", "too many requests wait for this booking",
                  kRetryAfterFull));
}

void BookingCoordinator::SubmitClaim(Booking& booking) {
  const WriteTicket ticket =
      writer_.Submit({booking::RowKeyOf(booking.key), booking.expected,
                      booking::SerializeRecord(booking.record)});
  claim_tickets_.emplace(ticket, booking.record.claim_token);
  tickets_by_claim_.insert_or_assign(booking.record.claim_token, ticket);
}

Executed BookingCoordinator::Withdraw(base::RunId run, base::TimePoint now) {
  Booking* booking = ledger_.FindByRun(run);
  // A decision has been made that this run will not receive.
  if (booking == nullptr)
    return Executed::kUnknown;
  const bool is_own_claim = booking->phase == BookingPhase::kClaiming ||
                            booking->phase == BookingPhase::kGranted;
  if (booking->holder == run && is_own_claim) {
    const bool has_competing_claim =
        !booking->competing_claim.claim_token.empty();
    ledger_.RemoveRun(*booking, run);
    AbandonClaim(*booking, now);
    return has_competing_claim ? Executed::kUnknown : Executed::kNo;
  }
  const bool was_never_sent = booking->phase == BookingPhase::kNeverSent;
  ledger_.RemoveRun(*booking, run);
  if (!is_own_claim && !IsSettling(*booking) && !booking->holder)
    ledger_.Forget(*booking);
  return was_never_sent ? Executed::kNo : Executed::kUnknown;
}

void BookingCoordinator::AbandonClaim(Booking& booking, base::TimePoint now) {
  const bool was_granted = booking.phase == BookingPhase::kGranted;
  RejectAll(booking, UnresolvedOr(booking, NotRun()));
  ledger_.MarkNeverSent(booking);
  if (was_granted) {
    Settle(booking, now);
    return;
  }
  const WriteTicket ticket = tickets_by_claim_.at(booking.record.claim_token);
  // While the insert is in flight, its result decides what must be written.
  if (!writer_.Withdraw(ticket))
    return;
  claim_tickets_.erase(ticket);
  tickets_by_claim_.erase(booking.record.claim_token);
  if (booking.may_be_in_table)
    Settle(booking, now);
  else
    ledger_.Forget(booking);
}

void BookingCoordinator::Settle(Booking& booking, base::TimePoint now) {
  outbox_.Add(
      {booking::RowKeyOf(booking.key), booking.record, booking.expected}, now);
}

void BookingCoordinator::Conclude(base::RunId run,
                                  BookingOutcome outcome,
                                  base::TimePoint now) {
  Booking* booking = ledger_.FindByRun(run);
  if (booking == nullptr || booking->holder != run ||
      booking->phase != BookingPhase::kGranted)
    return;
  if (auto* ran = std::get_if<BookingRan>(&outcome)) {
    ledger_.Complete(*booking, ran->status, std::move(ran->body));
    Settle(*booking, now);
    return;
  }
  ledger_.RemoveRun(*booking, run);
  if (std::holds_alternative<BookingDidNotRun>(outcome)) {
    AbandonClaim(*booking, now);
    return;
  }
  context_.Log(base::LogEventId::kBookingUnresolved,
               booking::RowKeyOf(booking->key));
  RejectAll(*booking, Unresolved());
  ledger_.Forget(*booking);
}

bool BookingCoordinator::HandleAnswered(const PlatformAnswered& event,
                                        base::TimePoint now) {
  if (const auto writes = writer_.HandleAnswered(event)) {
    HandleWrites(*writes, now);
    return true;
  }
  if (outbox_.HandleAnswered(event, now)) {
    HandleOutboxNotifications(now);
    return true;
  }
  const auto node = fetches_.extract(event.operation);
  if (node.empty())
    return false;
  Booking* booking = ledger_.FindByToken(node.mapped());
  const auto* fetched = std::get_if<base::ObjectFetched>(&event.answer);
  if (booking != nullptr)
    HandleFetched(*booking,
                  fetched == nullptr ? base::ObjectFetched{} : *fetched);
  return true;
}

bool BookingCoordinator::HandleFailed(const PlatformFailed& event,
                                      base::TimePoint now) {
  if (const auto writes = writer_.HandleFailed(event)) {
    HandleWrites(*writes, now);
    return true;
  }
  if (outbox_.HandleFailed(event, now)) {
    HandleOutboxNotifications(now);
    return true;
  }
  const auto node = fetches_.extract(event.operation);
  if (node.empty())
    return false;
  if (Booking* booking = ledger_.FindByToken(node.mapped()))
    HandleFetched(*booking, {});
  return true;
}

void BookingCoordinator::HandleWrites(const std::vector<WriteEnded>& writes,
                                      base::TimePoint now) {
  for (const WriteEnded& ended : writes) {
    NoteTableResult(ended.result.has_value(), now);
    if (outbox_.HandleWriteEnded(ended, now))
      continue;
    const auto node = claim_tickets_.extract(ended.ticket);
    if (node.empty())
      continue;
    tickets_by_claim_.erase(node.mapped());
    if (Booking* booking = ledger_.FindByToken(node.mapped()))
      HandleClaimEnded(*booking, ended, now);
  }
  HandleOutboxNotifications(now);
}

void BookingCoordinator::NoteTableResult(bool is_answering,
                                         base::TimePoint now) {
  if (is_answering)
    table_retry_at_.reset();
  else if (!table_retry_at_)
    table_retry_at_ = now + kTableProbeInterval;
}

bool BookingCoordinator::IsTableCircuitOpen(base::TimePoint now) {
  if (!table_retry_at_)
    return false;
  if (now < *table_retry_at_)
    return true;
  // This claim probes the table; the other claims fail fast meanwhile.
  table_retry_at_ = now + kTableProbeInterval;
  return false;
}

void BookingCoordinator::HandleClaimEnded(Booking& booking,
                                          const WriteEnded& ended,
                                          base::TimePoint now) {
  if (!ended.result && ended.failure == base::PlatformFailure::kUnknown)
    booking.may_be_in_table = true;
  if (booking.phase == BookingPhase::kNeverSent)
    HandleAbandonedClaim(booking, ended, now);
  else if (ended.result)
    HandleVerdict(booking,
                  booking::EvaluateClaim(booking.record, *ended.result), now);
  else
    HandleClaimFailed(booking, ended.failure, now);
}

void BookingCoordinator::HandleAbandonedClaim(Booking& booking,
                                              const WriteEnded& ended,
                                              base::TimePoint now) {
  if (!ended.result) {
    if (booking.may_be_in_table)
      Settle(booking, now);
    else
      FinishAbandonedClaim(booking, booking.expected, now);
    return;
  }
  const auto verdict = booking::EvaluateClaim(booking.record, *ended.result);
  if (!std::holds_alternative<booking::ClaimOwned>(verdict)) {
    // The row has changed without this claim, so the claim can no longer take
    // effect.
    FinishAbandonedClaim(booking, booking.expected, now);
    return;
  }
  booking.expected = ended.result->row.version;
  Settle(booking, now);
}

void BookingCoordinator::HandleClaimFailed(Booking& booking,
                                           base::PlatformFailure failure,
                                           base::TimePoint now) {
  // Repeating the insert resolves a lost answer. Reading the row would not: the
  // write may still be in flight.
  if (failure == base::PlatformFailure::kUnknown &&
      !booking.was_insert_repeated) {
    booking.was_insert_repeated = true;
    SubmitClaim(booking);
    return;
  }
  RejectAll(booking, UnresolvedOr(booking, TableUnavailable()));
  ledger_.MarkNeverSent(booking);
  if (booking.may_be_in_table)
    Settle(booking, now);
  else
    ledger_.Forget(booking);
}

void BookingCoordinator::HandleVerdict(Booking& booking,
                                       ClaimVerdict verdict,
                                       base::TimePoint /*now*/) {
  std::visit(
      base::Overloaded{
          [&](const booking::ClaimOwned& it) {
            ledger_.Grant(booking, it.version);
            decisions_.emplace_back(BookingGranted{*booking.holder});
          },
          [&](const booking::ClaimReleased& it) {
            booking.expected = it.version;
            booking.may_be_in_table = false;
            booking.competing_claim = {};
            SubmitClaim(booking);
          },
          [&](booking::ClaimHeldElsewhere& it) {
            HandleCompetingClaim(booking, std::move(it.record));
          },
          [&](booking::ClaimAlreadyDone& it) {
            HandleCompetingClaimDone(booking, std::move(it.record));
          },
          [&](const booking::ClaimConflicts&) {
            RejectAll(booking, DigestConflict());
            ledger_.Forget(booking);
          },
          [&](const booking::ClaimUnreadable&) {
            RejectAll(
                booking,
                Rejection(500, Executed::kUnknown, "booking_unreadable",
                          "the booking's row can't be read", std::nullopt));
            ledger_.Forget(booking);
          },
      },
      verdict);
}

void BookingCoordinator::HandleCompetingClaimDone(
    Booking& booking,
    BookingRecord competing_claim) {
  if (competing_claim.answer_object.empty()) {
    AnswerAll(booking, competing_claim.status, competing_claim.answer);
    ledger_.Forget(booking);
    return;
  }
  booking.phase = BookingPhase::kFetchingAnswer;
  const base::OperationId operation = context_.NextOperation();
  fetches_.emplace(operation, booking.record.claim_token);
  context_.Emit(SendToPlatform{operation,
                               base::FetchObject{competing_claim.answer_object},
                               kFetchTimeout});
  booking.competing_claim = std::move(competing_claim);
}

void BookingCoordinator::HandleFetched(Booking& booking,
                                       const base::ObjectFetched& fetched) {
  if (fetched.content)
    AnswerAll(booking, booking.competing_claim.status, *fetched.content);
  else
    RejectAll(booking,
              Rejection(503, Executed::kYes, "booking_answer_unread",
                        "the booking ran; its answer can't be read now",
                        kRetryAfterTableFailure));
  ledger_.Forget(booking);
}

void BookingCoordinator::HandleCompetingClaim(Booking& booking,
                                              BookingRecord competing_claim) {
  const bool is_own_claim =
      competing_claim.claimer_incarnation == context_.incarnation() &&
      competing_claim.claimer == context_.settings().host;
  // Own claims that are no longer in the ledger ended unresolved.
  if (is_own_claim || booking.failed_queries >= kMaxFailedQueries) {
    RejectAll(booking, Unresolved());
    ledger_.Forget(booking);
    return;
  }
  booking.phase = BookingPhase::kQueryingClaimer;
  booking.competing_claim = std::move(competing_claim);
  QueryClaimer(booking);
}

void BookingCoordinator::QueryClaimer(Booking& booking) {
  const base::OperationId operation = context_.NextOperation();
  queries_.emplace(operation, booking.record.claim_token);
  context_.Emit(SendToPeer{operation, booking.competing_claim.claimer_address,
                           BookingQuery{booking.competing_claim.claim_token},
                           kQueryTimeout});
}

bool BookingCoordinator::HandlePeerRequest(const PeerRequest& event,
                                           base::TimePoint now) {
  if (const auto* query = std::get_if<BookingQuery>(&event.message)) {
    context_.Emit(AnswerPeer{event.exchange, ReplyTo(*query)});
    return true;
  }
  if (const auto* copies = std::get_if<BookingCopies>(&event.message)) {
    context_.Emit(AnswerPeer{event.exchange, outbox_.Keep(*copies, now)});
    return true;
  }
  return false;
}

BookingReply BookingCoordinator::ReplyTo(const BookingQuery& query) {
  const Booking* booking = ledger_.FindByToken(query.claim_token);
  if (booking == nullptr)
    return {};
  if (booking->phase == BookingPhase::kNeverSent)
    return {BookingStatus::kNotRun, 0, ""};
  if (booking->is_outcome_durable)
    return {BookingStatus::kDone, booking->record.status,
            booking->record.answer};
  return {BookingStatus::kRunning, 0, ""};
}

bool BookingCoordinator::HandlePeerAnswered(const PeerAnswered& event,
                                            base::TimePoint now) {
  if (outbox_.HandlePeerAnswered(event, now)) {
    HandleOutboxNotifications(now);
    return true;
  }
  const auto node = queries_.extract(event.operation);
  if (node.empty())
    return false;
  Booking* booking = ledger_.FindByToken(node.mapped());
  const auto* reply = std::get_if<BookingReply>(&event.message);
  if (booking != nullptr)
    HandleReply(*booking, reply == nullptr ? BookingReply{} : *reply, now);
  return true;
}

bool BookingCoordinator::HandlePeerFailed(const PeerFailed& event,
                                          base::TimePoint now) {
  if (outbox_.HandlePeerFailed(event, now))
    return true;
  const auto node = queries_.extract(event.operation);
  if (node.empty())
    return false;
  if (Booking* booking = ledger_.FindByToken(node.mapped()))
    HandleFailedQuery(*booking);
  return true;
}

void BookingCoordinator::HandleReply(Booking& booking,
                                     const BookingReply& reply,
                                     base::TimePoint now) {
  switch (reply.booking_status) {
    case BookingStatus::kUnknown:
      HandleFailedQuery(booking);
      return;
    case BookingStatus::kRunning:
      booking.failed_queries = 0;
      queries_due_.emplace(now + kQueryInterval, booking.record.claim_token);
      return;
    case BookingStatus::kNotRun:
      RejectAll(booking, NotRun());
      ledger_.Forget(booking);
      return;
    case BookingStatus::kDone:
      AnswerAll(booking, reply.status, reply.answer);
      ledger_.Forget(booking);
      return;
  }
}

void BookingCoordinator::HandleFailedQuery(Booking& booking) {
  ++booking.failed_queries;
  // The claimer may have recorded the outcome meanwhile, and the insert returns
  // the current row. The insert cannot take effect while the other claim
  // stands.
  booking.phase = BookingPhase::kClaiming;
  booking.was_insert_repeated = false;
  SubmitClaim(booking);
}

void BookingCoordinator::HandleOutboxNotifications(base::TimePoint now) {
  for (const OutboxNotification& notification : outbox_.TakeNotifications()) {
    if (notification.event == OutboxEvent::kWriteFailed)
      NoteTableResult(false, now);
    if (Booking* booking = ledger_.FindByToken(notification.claim_token))
      HandleOutboxNotification(*booking, notification, now);
  }
}

void BookingCoordinator::HandleOutboxNotification(
    Booking& booking,
    const OutboxNotification& notification,
    base::TimePoint now) {
  const bool is_in_table = notification.event == OutboxEvent::kRecorded ||
                           notification.event == OutboxEvent::kSuperseded;
  if (booking.phase == BookingPhase::kNeverSent) {
    // Only the not_run row itself may be claimed again: a row that has
    // superseded it belongs to another claim.
    if (notification.event == OutboxEvent::kRecorded)
      FinishAbandonedClaim(booking, notification.version, now);
    else if (notification.event == OutboxEvent::kSuperseded)
      FinishAbandonedClaim(booking, base::RowVersion::kAbsent, now);
    else if (notification.event == OutboxEvent::kWriteFailed)
      RejectAll(booking, TableUnavailable());
    return;
  }
  if (notification.event == OutboxEvent::kWriteFailed)
    return;
  booking.is_outcome_durable = true;
  AnswerAll(booking, booking.record.status, booking.record.answer);
  if (is_in_table)
    ledger_.Forget(booking);
}

void BookingCoordinator::FinishAbandonedClaim(Booking& booking,
                                              base::RowVersion version,
                                              base::TimePoint /*now*/) {
  if (booking.waiting.empty()) {
    ledger_.Forget(booking);
    return;
  }
  ledger_.Reopen(booking, NewToken(), version);
  SubmitClaim(booking);
}

void BookingCoordinator::AnswerAll(Booking& booking,
                                   int status,
                                   const std::string& body) {
  for (const base::RunId run : ledger_.TakeRuns(booking))
    decisions_.emplace_back(BookingAnswered{run, status, body});
}

void BookingCoordinator::RejectAll(Booking& booking,
                                   const BookingRejected& rejection) {
  for (const base::RunId run : ledger_.TakeRuns(booking))
    RejectOne(run, rejection);
}

void BookingCoordinator::RejectOne(base::RunId run, BookingRejected rejection) {
  rejection.run = run;
  decisions_.emplace_back(std::move(rejection));
}

void BookingCoordinator::HandOver(base::TimePoint now) {
  outbox_.HandOver(now);
}

size_t BookingCoordinator::unsafe_count() const {
  return outbox_.uncopied_count() + claim_tickets_.size();
}

void BookingCoordinator::HandleTimer(base::TimePoint now) {
  while (!queries_due_.empty() && queries_due_.begin()->first <= now) {
    const std::string token = queries_due_.begin()->second;
    queries_due_.erase(queries_due_.begin());
    Booking* booking = ledger_.FindByToken(token);
    if (booking != nullptr && booking->phase == BookingPhase::kQueryingClaimer)
      QueryClaimer(*booking);
  }
}

void BookingCoordinator::Commit(base::TimePoint now) {
  outbox_.HandleTimer(now);
  writer_.Flush(now);
}

std::optional<base::TimePoint> BookingCoordinator::NextWakeup() const {
  std::optional<base::TimePoint> next;
  if (!queries_due_.empty())
    next = queries_due_.begin()->first;
  for (const auto& wakeup : {outbox_.NextWakeup(), writer_.NextWakeup()}) {
    if (wakeup && (!next || *wakeup < *next))
      next = wakeup;
  }
  return next;
}

std::vector<BookingDecision> BookingCoordinator::TakeDecisions() {
  return std::exchange(decisions_, {});
}

}  // namespace bilberry::node
