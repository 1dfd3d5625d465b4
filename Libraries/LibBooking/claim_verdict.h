#pragma once

#include <variant>

#include "LibBase/platform.h"
#include "LibBooking/booking_record.h"

namespace bilberry::booking {

// The row holds this claim's token: the claim is definite.
struct ClaimOwned {
  base::RowVersion version{};
};

// The row says not_run, or the table has lost it: the booking may be claimed
// again by compare-and-swap on this version.
struct ClaimReleased {
  base::RowVersion version{};
};

// Another claim holds the row and may still execute.
struct ClaimHeldElsewhere {
  BookingRecord record;
};

struct ClaimAlreadyDone {
  BookingRecord record;
};

// The key was used with another request.
struct ClaimConflicts {};

struct ClaimUnreadable {};

using ClaimVerdict = std::variant<ClaimOwned,
                                  ClaimReleased,
                                  ClaimHeldElsewhere,
                                  ClaimAlreadyDone,
                                  ClaimConflicts,
                                  ClaimUnreadable>;

// Evaluates the result of the conditional insert of `claim`. Repeating the
// insert with the same token gives the same verdict, so a repeat replaces a
// lost answer.
ClaimVerdict EvaluateClaim(const BookingRecord& claim,
                           const base::TableWriteResult& result);

}  // namespace bilberry::booking
