#include <doctest/doctest.h>

#include "LibBooking/booking_ledger.h"
#include "LibBooking/byte_text.h"
#include "LibBooking/claim_verdict.h"
#include "LibBooking/settlement.h"

namespace bilberry::booking {
namespace {

using base::RowVersion;

BookingRecord RecordOf(BookingState state,
                       const std::string& token,
                       const std::string& digest) {
  BookingRecord record;
  record.state = state;
  record.claim_token = token;
  record.digest = digest;
  return record;
}

base::TableWriteResult Held(const BookingRecord& record) {
  return {false, {"row", RowVersion{7}, SerializeRecord(record)}};
}

TEST_SUITE_BEGIN("promise-4");

TEST_CASE("each possible row gives its claim verdict") {
  const BookingRecord own = RecordOf(BookingState::kClaimed, "own", "d");
  struct Case {
    base::TableWriteResult result;
    size_t verdict;  // Index in ClaimVerdict.
  };
  const Case cases[] = {
      {{true, {"row", RowVersion{1}, SerializeRecord(own)}}, 0},
      {Held(own), 0},
      {Held(RecordOf(BookingState::kNotRun, "other", "d")), 1},
      {{false, {"row", RowVersion::kAbsent, ""}}, 1},
      {Held(RecordOf(BookingState::kClaimed, "other", "d")), 2},
      {Held(RecordOf(BookingState::kDone, "other", "d")), 3},
      {Held(RecordOf(BookingState::kClaimed, "other", "e")), 4},
      {Held(RecordOf(BookingState::kNotRun, "other", "e")), 4},
      {Held(RecordOf(BookingState::kDone, "other", "e")), 4},
      {{false, {"row", RowVersion{7}, "{}"}}, 5},
  };
  for (const Case& it : cases) {
    CAPTURE(it.result.row.value);
    CHECK(EvaluateClaim(own, it.result).index() == it.verdict);
  }
}

TEST_CASE("each possible row gives its settlement step") {
  struct Case {
    base::TableWriteResult result;
    SettlementStep step;
  };
  const BookingRecord done = RecordOf(BookingState::kDone, "own", "d");
  const Case cases[] = {
      {{true, {"row", RowVersion{2}, ""}}, SettlementStep::kSettled},
      {Held(done), SettlementStep::kSettled},
      {Held(RecordOf(BookingState::kClaimed, "own", "d")),
       SettlementStep::kRetryWrite},
      {Held(RecordOf(BookingState::kClaimed, "other", "d")),
       SettlementStep::kSuperseded},
      {Held(RecordOf(BookingState::kNotRun, "other", "d")),
       SettlementStep::kSuperseded},
      {{false, {"row", RowVersion::kAbsent, ""}}, SettlementStep::kRetryWrite},
  };
  for (const Case& it : cases) {
    CAPTURE(it.result.row.value);
    Settlement settlement{"row", done, RowVersion{1}};
    CHECK(ApplyResult(settlement, it.result) == it.step);
    CHECK(settlement.expected == it.result.row.version);
  }
}

TEST_CASE("the first waiting run replaces a holder that is removed") {
  BookingLedger ledger;
  Booking& booking =
      ledger.Open({{"t"}, "k"}, RecordOf(BookingState::kClaimed, "own", "d"),
                  base::RunId{1});
  CHECK(ledger.Join(booking, base::RunId{2}));
  ledger.RemoveRun(booking, base::RunId{1});
  CHECK(booking.holder == base::RunId{2});
  CHECK(ledger.FindByRun(base::RunId{1}) == nullptr);
  ledger.MarkNeverSent(booking);
  CHECK(ledger.TakeRuns(booking).size() == 1);
  CHECK(ledger.Join(booking, base::RunId{3}));
  ledger.Reopen(booking, "anew", RowVersion{4});
  CHECK(booking.holder == base::RunId{3});
  CHECK(ledger.FindByToken("own") == nullptr);
  CHECK(ledger.FindByToken("anew") == &booking);
  ledger.Forget(booking);
  CHECK(ledger.size() == 0);
}

TEST_SUITE_END();

TEST_CASE("text that encodes no bytes is rejected") {
  for (const char* text : {"\xc4\x80", "\xc3", "\xc3(", "\xff"})
    CHECK_FALSE(TextToBytes(text));
  CHECK(TextToBytes(BytesToText("\x80\xff z")) == "\x80\xff z");
}

}  // namespace
}  // namespace bilberry::booking
