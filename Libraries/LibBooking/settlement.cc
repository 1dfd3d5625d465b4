#include "LibBooking/settlement.h"

namespace bilberry::booking {

bool NeedsObject(const BookingRecord& record) {
  return record.answer.size() > kMaxInlineAnswerBytes;
}

std::string AnswerObjectOf(const BookingRecord& record) {
  return "booking-answers/" + record.claim_token;
}

base::TableWrite WriteOf(const Settlement& settlement) {
  BookingRecord row = settlement.record;
  if (NeedsObject(row)) {
    row.answer_object = AnswerObjectOf(row);
    row.answer.clear();
  }
  return {settlement.row_key, settlement.expected, SerializeRecord(row)};
}

SettlementStep ApplyResult(Settlement& settlement,
                           const base::TableWriteResult& result) {
  const bool was_expected_absent =
      settlement.expected == base::RowVersion::kAbsent;
  settlement.expected = result.row.version;
  if (result.was_applied)
    return SettlementStep::kSettled;
  // A table restored from a backup may have lost the claim's row.
  if (result.row.version == base::RowVersion::kAbsent)
    return was_expected_absent ? SettlementStep::kSuperseded
                               : SettlementStep::kRetryWrite;
  const auto held = ParseRecord(result.row.value);
  if (!held || held.value().claim_token != settlement.record.claim_token)
    return SettlementStep::kSuperseded;
  return held.value().state == BookingState::kClaimed
             ? SettlementStep::kRetryWrite
             : SettlementStep::kSettled;
}

}  // namespace bilberry::booking
