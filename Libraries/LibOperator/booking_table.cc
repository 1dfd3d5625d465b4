#include "LibOperator/booking_table.h"

#include <algorithm>

#include "LibBooking/booking_record.h"

namespace bilberry::operators {

namespace {

std::string ClaimerStateOf(const booking::BookingRecord& record,
                           const std::vector<base::HostEntry>& hosts) {
  const auto it =
      std::ranges::find(hosts, record.claimer.value, &base::HostEntry::name);
  if (it == hosts.end())
    return "not listed";
  const bool is_same = it->incarnation == record.claimer_incarnation &&
                       it->state != base::HostState::kGone;
  return is_same ? "live" : "gone";
}

}  // namespace

OpenBookings FindOpenBookings(const std::vector<base::TableRow>& rows,
                              const std::vector<base::HostEntry>& hosts) {
  OpenBookings open;
  open.table = {"Bookings without an outcome",
                {"row", "claimer", "address", "claimer is"},
                {}};
  for (const base::TableRow& row : rows) {
    const auto record = booking::ParseRecord(row.value);
    if (!record) {
      open.malformed_keys.push_back(row.key);
      continue;
    }
    if (record.value().state != booking::BookingState::kClaimed)
      continue;
    open.table.rows.push_back({row.key, record.value().claimer.value,
                               base::ToText(record.value().claimer_address),
                               ClaimerStateOf(record.value(), hosts)});
  }
  return open;
}

}  // namespace bilberry::operators
