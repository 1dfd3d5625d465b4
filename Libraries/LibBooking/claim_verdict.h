#pragma once

#include <variant>

#include "LibBase/platform.h"
#include "LibBooking/booking_record.h"

namespace bilberry::booking {

// The row holds our token: the claim is definite.
struct ClaimOwned {
  base::RowVersion version{};
};

// The row says not_run: it may be claimed anew by compare-and-swap.
struct ClaimReleased {
  base::RowVersion version{};
};

// Another claim holds the row.
struct ClaimHeldElsewhere {
  BookingRecord record;
};

struct ClaimAlreadyDone {
  BookingRecord record;
};

// The key was used for another request.
struct ClaimConflicts {};

struct ClaimUnreadable {};

using ClaimVerdict = std::variant<ClaimOwned,
                                  ClaimReleased,
                                  ClaimHeldElsewhere,
                                  ClaimAlreadyDone,
                                  ClaimConflicts,
                                  ClaimUnreadable>;

// What the conditional insert of `claim` came to. Repeating the insert with the
// same token gives the same verdict, so that a lost answer is settled by it.
ClaimVerdict EvaluateClaim(const BookingRecord& claim,
                           const base::TableWriteResult& result);

}  // namespace bilberry::booking
