#include "LibNode/booking_coordinator.h"

#include <algorithm>
#include <utility>

#include "LibBase/error.h"

namespace bilberry::node {

namespace {

using booking::BookingRecord;
using booking::BookingState;
using pipeline::Executed;

constexpr std::chrono::milliseconds kTableTimeout{500};
constexpr std::chrono::milliseconds kRecordRetryDelay{500};
constexpr std::chrono::milliseconds kRetryAfterTableFailure{1000};
constexpr std::chrono::milliseconds kRetryAfterForeignClaim{500};

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

}  // namespace

void BookingCoordinator::Begin(base::RunId run,
                               booking::BookingKey key,
                               std::string digest,
                               base::TimePoint /*now*/) {
  const auto held = holders_.find(key);
  if (held != holders_.end()) {
    Claim& holder = claims_.at(held->second);
    if (holder.record.digest != digest) {
      auto rejection = DigestConflict();
      rejection.run = run;
      decisions_.emplace_back(std::move(rejection));
      return;
    }
    holder.waiting.push_back(run);
    return;
  }
  Claim claim;
  claim.run = run;
  claim.key = key;
  claim.record.digest = std::move(digest);
  claim.record.claim_token = base::ToText(
      base::AttemptId{context_.incarnation(), context_.random().Next()});
  claim.record.claimer = context_.settings().host;
  claim.record.claimer_incarnation = context_.incarnation();
  claim.record.claimer_address = context_.settings().peers;
  SendClaim(claim);
  holders_.emplace(std::move(key), run);
  claims_.emplace(run, std::move(claim));
}

void BookingCoordinator::SendClaim(const Claim& claim) {
  const base::OperationId operation = context_.NextOperation();
  claim_operations_.emplace(operation, claim.run);
  base::WriteRows request;
  request.writes.push_back({booking::RowKeyOf(claim.key), claim.version,
                            booking::PrintRecord(claim.record)});
  context_.Emit(SendToPlatform{operation, std::move(request), kTableTimeout});
}

bool BookingCoordinator::HandleAnswered(const PlatformAnswered& event,
                                        base::TimePoint /*now*/) {
  const auto* written = std::get_if<base::RowsWritten>(&event.answer);
  if (record_operations_.erase(event.operation) > 0)
    return true;
  const auto node = claim_operations_.extract(event.operation);
  if (node.empty())
    return false;
  const auto it = claims_.find(node.mapped());
  if (it == claims_.end() || written == nullptr || written->results.empty())
    return true;
  HandleClaimResult(it->second, written->results.front());
  return true;
}

void BookingCoordinator::HandleClaimResult(
    Claim& claim,
    const base::TableWriteResult& result) {
  if (!result.was_applied) {
    HandleForeignRecord(claim, result.row);
    return;
  }
  claim.version = result.row.version;
  claim.phase = Phase::kGranted;
  decisions_.emplace_back(BookingGranted{claim.run});
}

void BookingCoordinator::HandleForeignRecord(Claim& claim,
                                             const base::TableRow& row) {
  const auto parsed = booking::ParseRecord(row.value);
  if (!parsed) {
    Reject(claim, Rejection(500, Executed::kUnknown, "booking_unreadable",
                            "the booking's row can't be read", std::nullopt));
    return;
  }
  const BookingRecord& record = parsed.value();
  if (record.digest != claim.record.digest) {
    Reject(claim, DigestConflict());
    return;
  }
  switch (record.state) {
    case BookingState::kNotRun:
      claim.version = row.version;
      SendClaim(claim);
      return;
    case BookingState::kDone: {
      decisions_.emplace_back(
          BookingAnswered{claim.run, record.status, record.answer});
      for (const base::RunId run : claim.waiting)
        decisions_.emplace_back(
            BookingAnswered{run, record.status, record.answer});
      Forget(claim.run);
      return;
    }
    case BookingState::kClaimed:
      Reject(claim, Rejection(409, Executed::kUnknown, "booking_under_way",
                              "another entry host holds this booking",
                              kRetryAfterForeignClaim));
      return;
  }
}

void BookingCoordinator::Reject(const Claim& claim,
                                const BookingRejected& rejection) {
  BookingRejected one = rejection;
  one.run = claim.run;
  decisions_.emplace_back(one);
  for (const base::RunId run : claim.waiting) {
    one.run = run;
    decisions_.emplace_back(one);
  }
  Forget(claim.run);
}

bool BookingCoordinator::HandleFailed(const PlatformFailed& event,
                                      base::TimePoint now) {
  const auto record = record_operations_.extract(event.operation);
  if (!record.empty()) {
    context_.Log(base::LogEventId::kBookingNotRecorded, record.mapped().key);
    unrecorded_.push_back(
        {std::move(record.mapped()), now + kRecordRetryDelay});
    return true;
  }
  const auto node = claim_operations_.extract(event.operation);
  if (node.empty())
    return false;
  const auto it = claims_.find(node.mapped());
  if (it == claims_.end())
    return true;
  // Forgetting the claim is what keeps its token from ever being sent under.
  Reject(it->second, Rejection(503, Executed::kNo, "table_unavailable",
                               "the platform's table did not take the claim",
                               kRetryAfterTableFailure));
  return true;
}

void BookingCoordinator::Conclude(base::RunId run,
                                  BookingOutcome outcome,
                                  base::TimePoint now) {
  const auto it = claims_.find(run);
  if (it == claims_.end())
    return;
  Claim& claim = it->second;
  if (const auto* ran = std::get_if<BookingRan>(&outcome)) {
    claim.record.state = BookingState::kDone;
    claim.record.status = ran->status;
    claim.record.answer = ran->body;
    for (const base::RunId waiter : claim.waiting)
      decisions_.emplace_back(BookingAnswered{waiter, ran->status, ran->body});
    claim.waiting.clear();
    Record(claim, now);
    return;
  }
  if (std::holds_alternative<BookingDidNotRun>(outcome)) {
    claim.record.state = BookingState::kNotRun;
    if (claim.phase == Phase::kGranted)
      SendRecord({booking::RowKeyOf(claim.key), claim.version,
                  booking::PrintRecord(claim.record)});
    Reject(claim, Rejection(503, Executed::kNo, "booking_not_run",
                            "the booking under this key did not run",
                            kRetryAfterForeignClaim));
    return;
  }
  context_.Log(base::LogEventId::kBookingUnresolved,
               booking::RowKeyOf(claim.key));
  Reject(claim,
         Rejection(504, Executed::kUnknown, "booking_unresolved",
                   "whether the booking ran is not known", std::nullopt));
}

void BookingCoordinator::Record(Claim& claim, base::TimePoint /*now*/) {
  SendRecord({booking::RowKeyOf(claim.key), claim.version,
              booking::PrintRecord(claim.record)});
  Forget(claim.run);
}

void BookingCoordinator::SendRecord(base::TableWrite write) {
  const base::OperationId operation = context_.NextOperation();
  base::WriteRows request;
  request.writes.push_back(write);
  record_operations_.emplace(operation, std::move(write));
  context_.Emit(SendToPlatform{operation, std::move(request), kTableTimeout});
}

void BookingCoordinator::Forget(base::RunId run) {
  const auto it = claims_.find(run);
  holders_.erase(it->second.key);
  claims_.erase(it);
}

void BookingCoordinator::HandleTimer(base::TimePoint now) {
  std::vector<Unrecorded> later;
  std::vector<Unrecorded> due;
  for (Unrecorded& it : unrecorded_)
    (it.due <= now ? due : later).push_back(std::move(it));
  unrecorded_ = std::move(later);
  for (Unrecorded& it : due)
    SendRecord(std::move(it.write));
}

std::optional<base::TimePoint> BookingCoordinator::NextWakeup() const {
  const auto it = std::ranges::min_element(unrecorded_, {}, &Unrecorded::due);
  if (it == unrecorded_.end())
    return std::nullopt;
  return it->due;
}

std::vector<BookingDecision> BookingCoordinator::TakeDecisions() {
  return std::exchange(decisions_, {});
}

}  // namespace bilberry::node
