#include "LibBooking/claim_verdict.h"

#include <utility>

namespace bilberry::booking {

ClaimVerdict EvaluateClaim(const BookingRecord& claim,
                           const base::TableWriteResult& result) {
  if (result.was_applied)
    return ClaimOwned{result.row.version};
  // A table restored from a backup may have lost the row that the write
  // expected.
  if (result.row.version == base::RowVersion::kAbsent)
    return ClaimReleased{base::RowVersion::kAbsent};
  auto parsed = ParseRecord(result.row.value);
  if (!parsed)
    return ClaimUnreadable{};
  BookingRecord& held = parsed.value();
  if (held.claim_token == claim.claim_token &&
      held.state == BookingState::kClaimed)
    return ClaimOwned{result.row.version};
  if (held.digest != claim.digest)
    return ClaimConflicts{};
  switch (held.state) {
    case BookingState::kNotRun:
      return ClaimReleased{result.row.version};
    case BookingState::kDone:
      return ClaimAlreadyDone{std::move(held)};
    case BookingState::kClaimed:
      break;
  }
  return ClaimHeldElsewhere{std::move(held)};
}

}  // namespace bilberry::booking
