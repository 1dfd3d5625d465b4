#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/platform.h"
#include "LibBooking/booking_record.h"

namespace bilberry::booking {

enum class BookingPhase : uint8_t {
  kClaiming,          // The conditional insert is on its way.
  kQueryingClaimer,   // Another host's claim; that host is being asked.
  kFetchingAnswer,    // Done by another claim; the answer is being fetched.
  kGranted,           // The claim is definite; its holder may send, once.
  kNeverSent,         // Nothing may be sent any more; not_run is being written.
  kRecordingOutcome,  // The answer is known and is being recorded.
};

// One booking that this host has to do with.
struct Booking {
  BookingKey key;
  BookingRecord record;
  // The row's version that the next write of it replaces.
  base::RowVersion expected = base::RowVersion::kAbsent;
  BookingPhase phase = BookingPhase::kClaiming;
  // The run that may send under the claim, until its outcome is known.
  std::optional<base::RunId> holder;
  std::vector<base::RunId> waiting;  // Repeats of the key.
  // An insert whose answer was lost may have taken effect, or may yet.
  bool may_be_in_table = false;
  bool was_insert_repeated = false;
  // The outcome outlives this process.
  bool is_outcome_durable = false;
  // The claim that stands in the way, while kQueryingClaimer or
  // kFetchingAnswer.
  BookingRecord competing_claim;
  uint32_t failed_queries = 0;
};

// The claims of one host. Each key has at most one booking here; a token that
// was marked never-sent is never granted.
class BookingLedger {
 public:
  static constexpr size_t kMaxBookings = 8192;
  static constexpr size_t kMaxWaitingRuns = 64;  // Of one booking.

  bool is_full() const { return bookings_.size() >= kMaxBookings; }
  size_t size() const { return bookings_.size(); }

  Booking* Find(const BookingKey& key);
  Booking* FindByRun(base::RunId run);
  Booking* FindByToken(const std::string& claim_token);

  // Requires that the key has no booking here and the ledger isn't full.
  Booking& Open(BookingKey key, BookingRecord claim, base::RunId holder);

  // Adds a repeat of the key; false when too many wait already.
  bool Join(Booking& booking, base::RunId run);

  // The claim is definite. Requires kClaiming.
  void Grant(Booking& booking, base::RowVersion version);
  // From now on nothing is sent under the claim.
  void MarkNeverSent(Booking& booking);
  // Requires kGranted. The holder waits for its answer like the repeats.
  void Complete(Booking& booking, int status, std::string answer);
  // Claims anew for the first of the waiting runs, under another token.
  void Reopen(Booking& booking,
              std::string claim_token,
              base::RowVersion version);

  // Removes one run; the next waiting run takes a leaving holder's place.
  void RemoveRun(Booking& booking, base::RunId run);
  // Removes and returns all runs of the booking, the holder first.
  std::vector<base::RunId> TakeRuns(Booking& booking);
  void Forget(Booking& booking);

 private:
  std::map<BookingKey, Booking> bookings_;
  std::unordered_map<base::RunId, BookingKey> runs_;
  std::unordered_map<std::string, BookingKey> tokens_;
};

}  // namespace bilberry::booking
