#pragma once

#include <string>

#include "LibBase/platform.h"
#include "LibBooking/booking_record.h"

namespace bilberry::booking {

// Final record of a claim, to be written to the table. Any host may write it
// any number of times: the conditional write takes effect once.
struct Settlement {
  std::string row_key;
  BookingRecord record;  // kDone with the complete answer, or kNotRun.
  // The row version that the record replaces, as last known.
  base::RowVersion expected = base::RowVersion::kAbsent;

  friend bool operator==(const Settlement&, const Settlement&) = default;
};

enum class SettlementStep {
  kSettled,  // The row holds the record.
  // The row does not hold this claim; the record is not written.
  kSuperseded,
  kRetryWrite,  // The row version differed; `expected` has been corrected.
};

// Answers larger than this are kept in the object store.
inline constexpr size_t kMaxInlineAnswerBytes = size_t{16} * 1024;

// True when the answer must be kept in the object store.
bool NeedsObject(const BookingRecord& record);

// Name of the object that holds the answer.
std::string AnswerObjectOf(const BookingRecord& record);

// The conditional write of the row.
base::TableWrite WriteOf(const Settlement& settlement);

// Applies the result of the write, and updates `expected`.
SettlementStep ApplyResult(Settlement& settlement,
                           const base::TableWriteResult& result);

}  // namespace bilberry::booking
