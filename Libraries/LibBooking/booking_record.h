#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "LibBase/error.h"
#include "LibBase/ids.h"

namespace bilberry::booking {

// What makes two requests the same booking.
struct BookingKey {
  base::TeamName team;
  std::string key;  // The caller's Idempotency-Key.

  friend auto operator<=>(const BookingKey&, const BookingKey&) = default;
};

// All bookings' rows begin so.
inline constexpr std::string_view kRowPrefix = "booking/";

// The key of the table row that holds the booking.
std::string RowKeyOf(const BookingKey& key);

enum class BookingState : uint8_t {
  kClaimed,  // May have run; only the claimer knows.
  kNotRun,   // Surely has not run and won't under this claim.
  kDone,     // Has run; the answer is recorded.
};

// The value of a booking's row.
struct BookingRecord {
  BookingState state = BookingState::kClaimed;
  std::string digest;       // Of what was asked.
  std::string claim_token;  // Drawn anew for each claim.
  base::HostName claimer;
  base::Incarnation claimer_incarnation{};
  base::SocketAddress claimer_address;  // Where peers may ask it.
  // The answer; empty unless kDone.
  int status = 0;
  std::string answer;
  // Names the object that holds the answer when it is too large for a row.
  std::string answer_object;

  friend bool operator==(const BookingRecord&, const BookingRecord&) = default;
};

std::string SerializeRecord(const BookingRecord& record);
base::Result<BookingRecord> ParseRecord(std::string_view text);

}  // namespace bilberry::booking
