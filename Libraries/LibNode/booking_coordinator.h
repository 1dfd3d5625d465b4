#pragma once

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/platform.h"
#include "LibBase/time.h"
#include "LibBooking/booking_record.h"
#include "LibNode/booking_decision.h"
#include "LibNode/event.h"
#include "LibNode/node_context.h"

namespace bilberry::node {

// Obtains and settles the claims that let a non-idempotent run send at most
// once. A claim is a conditional insert at the platform's table.
class BookingCoordinator {
 public:
  explicit BookingCoordinator(NodeContext& context) : context_(context) {}

  // Asks for the right to run; ends in one decision.
  void Begin(base::RunId run,
             booking::BookingKey key,
             std::string digest,
             base::TimePoint now);

  // Ends a granted run, or one whose caller no longer waits for a decision.
  void Conclude(base::RunId run, BookingOutcome outcome, base::TimePoint now);

  // True when the operation was one of this coordinator's.
  bool HandleAnswered(const PlatformAnswered& event, base::TimePoint now);
  bool HandleFailed(const PlatformFailed& event, base::TimePoint now);
  void HandleTimer(base::TimePoint now);
  std::optional<base::TimePoint> NextWakeup() const;

  std::vector<BookingDecision> TakeDecisions();

  // Outcomes that the table has not yet taken.
  size_t unrecorded_count() const { return unrecorded_.size(); }

 private:
  enum class Phase { kClaiming, kGranted, kRecording };

  struct Claim {
    base::RunId run{};
    booking::BookingKey key;
    booking::BookingRecord record;
    base::RowVersion version = base::RowVersion::kAbsent;
    Phase phase = Phase::kClaiming;
    std::vector<base::RunId> waiting;  // Repeats of the key at this host.
  };

  struct Unrecorded {
    base::TableWrite write;
    base::TimePoint due;
  };

  void SendClaim(const Claim& claim);
  void HandleClaimResult(Claim& claim, const base::TableWriteResult& result);
  void HandleForeignRecord(Claim& claim, const base::TableRow& row);
  void Reject(const Claim& claim, const BookingRejected& rejection);
  void Record(Claim& claim, base::TimePoint now);
  void SendRecord(base::TableWrite write);
  void Forget(base::RunId run);

  NodeContext& context_;
  std::unordered_map<base::RunId, Claim> claims_;
  std::map<booking::BookingKey, base::RunId> holders_;
  std::unordered_map<base::OperationId, base::RunId> claim_operations_;
  std::unordered_map<base::OperationId, base::TableWrite> record_operations_;
  std::vector<Unrecorded> unrecorded_;
  std::vector<BookingDecision> decisions_;
};

}  // namespace bilberry::node
