#include <doctest/doctest.h>

#include "LibBooking/booking_record.h"

namespace bilberry::booking {
namespace {

TEST_CASE("a record survives serializing and parsing") {
  BookingRecord record;
  record.state = BookingState::kDone;
  record.digest = "d";
  record.claim_token = "token";
  record.claimer = {"entry-1"};
  record.claimer_incarnation = base::Incarnation{0xffffffffffffffff};
  record.claimer_address = {"127.0.0.1", 8081};
  record.status = 200;
  record.answer = R"({"text": "a \"quoted\" line\n"})";
  const auto read = ParseRecord(SerializeRecord(record));
  REQUIRE(read);
  CHECK(read.value() == record);
}

TEST_CASE("malformed rows are rejected") {
  for (const char* text : {"", "{}", "[]", "null", R"({"state": "done"})"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseRecord(text));
  }
}

TEST_SUITE_BEGIN("promise-4");

TEST_CASE("equal keys of two teams are different bookings") {
  CHECK(RowKeyOf({{"a"}, "k"}) != RowKeyOf({{"b"}, "k"}));
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::booking
