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
  kClaiming,         // The conditional insert of the claim is in flight.
  kQueryingClaimer,  // Another host holds the claim and is being queried.
  kFetchingAnswer,   // Executed under another claim; the answer is being
                     // fetched.
  kGranted,          // The claim is in the table; its holder may send, once.
  kNeverSent,  // Nothing may be sent under the claim; not_run is being written.
  kRecordingOutcome,  // The answer is known and is being recorded.
};

// One booking that runs of this host claim or wait for.
struct Booking {
  BookingKey key;
  BookingRecord record;
  // The row version that the next conditional write expects.
  base::RowVersion expected = base::RowVersion::kAbsent;
  BookingPhase phase = BookingPhase::kClaiming;
  // The run that may send under the claim, until the outcome is known.
  std::optional<base::RunId> holder;
  // Runs that repeat the key and wait for its answer.
  std::vector<base::RunId> waiting;
  // An insert without an answer may have taken effect, or may still do so.
  bool may_be_in_table = false;
  bool was_insert_repeated = false;
  // The outcome is stored outside of this process.
  bool is_outcome_durable = false;
  // The other claim on the key, while kQueryingClaimer or kFetchingAnswer.
  BookingRecord competing_claim;
  uint32_t failed_queries = 0;
};

// The bookings of one host, with at most one per key. A claim token that was
// marked never-sent is never granted.
class BookingLedger {
 public:
  static constexpr size_t kMaxBookings = 8192;
  static constexpr size_t kMaxWaitingRuns = 64;  // Per booking.

  bool is_full() const { return bookings_.size() >= kMaxBookings; }
  size_t size() const { return bookings_.size(); }

  Booking* Find(const BookingKey& key);
  Booking* FindByRun(base::RunId run);
  Booking* FindByToken(const std::string& claim_token);

  // Adds a booking in kClaiming. Requires that the key has no booking here and
  // that the ledger is not full.
  Booking& Open(BookingKey key, BookingRecord claim, base::RunId holder);

  // Adds a run that repeats the key; false when too many runs wait already.
  bool Join(Booking& booking, base::RunId run);

  // The claim is in the table with this row version. Requires kClaiming.
  void Grant(Booking& booking, base::RowVersion version);
  // Forbids sending under the claim. Requires kClaiming or kGranted.
  void MarkNeverSent(Booking& booking);
  // Takes the outcome. Requires kGranted; the holder then waits for the answer
  // like the repeats.
  void Complete(Booking& booking, int status, std::string answer);
  // Starts a new claim with another token for the first waiting run.
  void Reopen(Booking& booking,
              std::string claim_token,
              base::RowVersion version);

  // Removes one run. The first waiting run replaces a holder that is removed.
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
