#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "LibBase/error.h"
#include "LibBase/ids.h"

namespace bilberry::booking {

// Identifies a booking: requests with the same team and key are the same
// booking.
struct BookingKey {
  base::TeamName team;
  std::string key;  // The caller's Idempotency-Key.

  friend auto operator<=>(const BookingKey&, const BookingKey&) = default;
};

// Prefix of the row keys of all bookings.
inline constexpr std::string_view kRowPrefix = "booking/";

// Key of the table row that holds the booking.
std::string RowKeyOf(const BookingKey& key);

enum class BookingState : uint8_t {
  kClaimed,  // May have executed; only the claimer knows.
  kNotRun,   // Has not executed and never will under this claim.
  kDone,     // Has executed; the answer is recorded.
};

// Value of a booking's table row.
struct BookingRecord {
  BookingState state = BookingState::kClaimed;
  std::string digest;       // Digest of the request.
  std::string claim_token;  // Random, unique per claim.
  base::HostName claimer;
  base::Incarnation claimer_incarnation{};
  base::SocketAddress claimer_address;  // Where peers may query the claimer.
  // The answer; empty unless kDone.
  int status = 0;
  std::string answer;
  // Name of the object that holds the answer when it is too large for a row.
  std::string answer_object;

  friend bool operator==(const BookingRecord&, const BookingRecord&) = default;
};

std::string SerializeRecord(const BookingRecord& record);
base::Result<BookingRecord> ParseRecord(std::string_view text);

}  // namespace bilberry::booking
