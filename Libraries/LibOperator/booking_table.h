#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "LibBase/platform.h"
#include "LibReport/text_table.h"

namespace bilberry::operators {

inline constexpr std::string_view kBookingPrefix = "booking/";

// The bookings without an outcome, and the rows that can't be read.
struct OpenBookings {
  report::TextTable table;
  std::vector<std::string> malformed_keys;
};

// Tells of each claimed row whether its claimer still lives: it may then be
// under way; else nobody will record its outcome.
OpenBookings FindOpenBookings(const std::vector<base::TableRow>& rows,
                              const std::vector<base::HostEntry>& hosts);

}  // namespace bilberry::operators
