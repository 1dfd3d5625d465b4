#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "LibBase/platform.h"
#include "LibReport/text_table.h"

namespace bilberry::operators {

inline constexpr std::string_view kBookingPrefix = "booking/";

// Bookings without an outcome, and the keys of rows that can't be parsed.
struct OpenBookings {
  report::TextTable table;
  std::vector<std::string> malformed_keys;
};

// Lists the claimed bookings and whether their claimer is still alive. If it
// is, the booking may be in progress; otherwise no host will record its
// outcome.
OpenBookings FindOpenBookings(const std::vector<base::TableRow>& rows,
                              const std::vector<base::HostEntry>& hosts);

}  // namespace bilberry::operators
