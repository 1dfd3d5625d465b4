#include "LibBooking/booking_ledger.h"

#include <cassert>
#include <utility>

namespace bilberry::booking {

Booking* BookingLedger::Find(const BookingKey& key) {
  const auto it = bookings_.find(key);
  return it == bookings_.end() ? nullptr : &it->second;
}

Booking* BookingLedger::FindByRun(base::RunId run) {
  const auto it = runs_.find(run);
  return it == runs_.end() ? nullptr : Find(it->second);
}

Booking* BookingLedger::FindByToken(const std::string& claim_token) {
  const auto it = tokens_.find(claim_token);
  return it == tokens_.end() ? nullptr : Find(it->second);
}

Booking& BookingLedger::Open(BookingKey key,
                             BookingRecord claim,
                             base::RunId holder) {
  assert(!is_full());
  runs_.emplace(holder, key);
  tokens_.emplace(claim.claim_token, key);
  const auto [it, is_new] = bookings_.try_emplace(key);
  assert(is_new);
  Booking& booking = it->second;
  booking.key = std::move(key);
  booking.record = std::move(claim);
  booking.holder = holder;
  return booking;
}

bool BookingLedger::Join(Booking& booking, base::RunId run) {
  if (booking.waiting.size() >= kMaxWaitingRuns)
    return false;
  booking.waiting.push_back(run);
  runs_.emplace(run, booking.key);
  return true;
}

void BookingLedger::Grant(Booking& booking, base::RowVersion version) {
  assert(booking.phase == BookingPhase::kClaiming);
  booking.phase = BookingPhase::kGranted;
  booking.expected = version;
}

void BookingLedger::MarkNeverSent(Booking& booking) {
  assert(booking.phase == BookingPhase::kClaiming ||
         booking.phase == BookingPhase::kGranted);
  booking.phase = BookingPhase::kNeverSent;
  booking.record.state = BookingState::kNotRun;
}

void BookingLedger::Complete(Booking& booking, int status, std::string answer) {
  assert(booking.phase == BookingPhase::kGranted);
  booking.phase = BookingPhase::kRecordingOutcome;
  booking.record.state = BookingState::kDone;
  booking.record.status = status;
  booking.record.answer = std::move(answer);
  if (booking.holder)
    booking.waiting.insert(booking.waiting.begin(), *booking.holder);
  booking.holder.reset();
}

void BookingLedger::Reopen(Booking& booking,
                           std::string claim_token,
                           base::RowVersion version) {
  assert(!booking.waiting.empty() && !booking.holder);
  tokens_.erase(booking.record.claim_token);
  tokens_.emplace(claim_token, booking.key);
  booking.record.claim_token = std::move(claim_token);
  booking.record.state = BookingState::kClaimed;
  booking.phase = BookingPhase::kClaiming;
  booking.expected = version;
  booking.may_be_in_table = false;
  booking.was_insert_repeated = false;
  booking.failed_queries = 0;
  booking.competing_claim = {};
  booking.holder = booking.waiting.front();
  booking.waiting.erase(booking.waiting.begin());
}

void BookingLedger::RemoveRun(Booking& booking, base::RunId run) {
  runs_.erase(run);
  if (booking.holder != run) {
    std::erase(booking.waiting, run);
    return;
  }
  booking.holder.reset();
  if (booking.waiting.empty())
    return;
  booking.holder = booking.waiting.front();
  booking.waiting.erase(booking.waiting.begin());
}

std::vector<base::RunId> BookingLedger::TakeRuns(Booking& booking) {
  std::vector<base::RunId> runs = std::exchange(booking.waiting, {});
  if (booking.holder)
    runs.insert(runs.begin(), *booking.holder);
  booking.holder.reset();
  for (const base::RunId run : runs)
    runs_.erase(run);
  return runs;
}

void BookingLedger::Forget(Booking& booking) {
  TakeRuns(booking);
  tokens_.erase(booking.record.claim_token);
  const BookingKey key = booking.key;
  bookings_.erase(key);
}

}  // namespace bilberry::booking
