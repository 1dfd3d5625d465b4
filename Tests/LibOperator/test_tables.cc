#include <doctest/doctest.h>

#include "LibBooking/booking_record.h"
#include "LibOperator/booking_table.h"
#include "LibOperator/status_table.h"

namespace bilberry::operators {
namespace {

base::TableRow RowOf(const char* key,
                     booking::BookingState state,
                     const char* claimer,
                     uint64_t incarnation) {
  booking::BookingRecord record;
  record.state = state;
  record.claimer = {claimer};
  record.claimer_incarnation = base::Incarnation{incarnation};
  record.claimer_address = {"127.0.0.1", 8081};
  return {key, base::RowVersion{1}, booking::SerializeRecord(record)};
}

base::HostEntry HostOf(const char* name,
                       uint64_t incarnation,
                       base::HostState state) {
  return {name,  base::HostKind::kEntryHost, {},
          {"a"}, {"127.0.0.1", 8081},        base::Incarnation{incarnation},
          state};
}

TEST_CASE("claimed bookings are listed with the state of their claimer") {
  using booking::BookingState;
  const std::vector<base::HostEntry> hosts{
      HostOf("here", 1, base::HostState::kLive),
      HostOf("leaving", 1, base::HostState::kLeaving),
      HostOf("away", 1, base::HostState::kGone)};
  struct Row {
    BookingState state;
    const char* claimer;
    uint64_t incarnation;
    const char* claimer_state;  // Null when the row isn't listed.
  };
  for (const Row& row : {Row{BookingState::kClaimed, "here", 1, "live"},
                         Row{BookingState::kClaimed, "leaving", 1, "live"},
                         Row{BookingState::kClaimed, "here", 2, "gone"},
                         Row{BookingState::kClaimed, "away", 1, "gone"},
                         Row{BookingState::kClaimed, "who", 1, "not listed"},
                         Row{BookingState::kDone, "here", 1, nullptr},
                         Row{BookingState::kNotRun, "here", 1, nullptr}}) {
    CAPTURE(row.claimer);
    const auto open = FindOpenBookings(
        {RowOf("booking/t/k", row.state, row.claimer, row.incarnation)}, hosts);
    CHECK(open.malformed_keys.empty());
    REQUIRE(open.table.rows.size() == (row.claimer_state == nullptr ? 0 : 1));
    if (row.claimer_state != nullptr)
      CHECK(open.table.rows[0].back() == row.claimer_state);
  }
}

TEST_CASE("a malformed row is reported and hides no other row") {
  const auto open = FindOpenBookings(
      {{"booking/t/x", base::RowVersion{1}, "{"},
       RowOf("booking/t/k", booking::BookingState::kClaimed, "h", 1)},
      {});
  CHECK(open.malformed_keys == std::vector<std::string>{"booking/t/x"});
  CHECK(open.table.rows.size() == 1);
}

TEST_CASE("a host without an answer has a row in the table but no load") {
  node::NodeStatus status;
  status.host = {"entry-1"};
  status.zone = {"zona-a"};
  status.is_platform_reachable = false;
  status.pools = {{{"banco"}, 3, 2, 1}};
  const auto tables =
      TablesOf({{{"127.0.0.1", 1}, status},
                {{"127.0.0.1", 2},
                 base::Error{base::ErrorCode::kUnavailable,
                             base::Step::kPeerCall, "", "refused"}}});
  REQUIRE(tables.size() == 2);
  REQUIRE(tables[0].rows.size() == 2);
  CHECK(tables[0].rows[0][0] == "entry-1");
  CHECK(tables[0].rows[0].back() == "platform");
  CHECK(tables[0].rows[1][2] == "127.0.0.1:2");
  CHECK(tables[0].rows[1][4] == "no answer");
  CHECK(tables[1].rows == std::vector<std::vector<std::string>>{
                              {"entry-1", "banco", "3", "2", "1"}});
}

}  // namespace
}  // namespace bilberry::operators
