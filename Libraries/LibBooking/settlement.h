#pragma once

#include <string>

#include "LibBase/platform.h"
#include "LibBooking/booking_record.h"

namespace bilberry::booking {

// The final record of a claim, on its way to the table. Any host may write it,
// any number of times: it takes effect once.
struct Settlement {
  std::string row_key;
  BookingRecord record;  // kDone with its whole answer, or kNotRun.
  // The row's version that the record replaces, as last known.
  base::RowVersion expected = base::RowVersion::kAbsent;

  friend bool operator==(const Settlement&, const Settlement&) = default;
};

enum class SettlementStep {
  kSettled,     // The row holds the record.
  kSuperseded,  // The row is another claim's; this one never took effect.
  kRetryWrite,  // The row's version was another; `expected` is put right.
};

// An answer larger than this is kept in the object store.
inline constexpr size_t kMaxInlineAnswerBytes = size_t{16} * 1024;

// True when the answer belongs into the object store.
bool NeedsObject(const BookingRecord& record);

// The name of that object.
std::string AnswerObjectOf(const BookingRecord& record);

// The conditional write of the row.
base::TableWrite WriteOf(const Settlement& settlement);

// Takes the result of that write.
SettlementStep ApplyResult(Settlement& settlement,
                           const base::TableWriteResult& result);

}  // namespace bilberry::booking
