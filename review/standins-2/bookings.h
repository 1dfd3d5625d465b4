// Ordinary clients, and the rule that each of their requests ends in time.

#pragma once

#include <string>
#include <thread>
#include <vector>

#include "platform.h"

namespace review {

struct Booking {
  double sent_at = 0;
  Answer answer;
};

// Sends a booking each `every` seconds, for `seconds`, each on a channel of its
// own, and waits until all have ended. A client waits up to 4 s for its answer.
std::vector<Booking> SendBookings(Bench& bench,
                                  const Address& host,
                                  double seconds,
                                  double every);

struct Lateness {
  int sent = 0;
  int unanswered_at_timeout = 0;
  int unanswered_half_a_second_later = 0;
  double longest_seconds = 0;

  // "Of the requests that are still unanswered at their route's `timeoutMs`,
  // more than half have no answer half a second later"; eight at least.
  bool BreaksRule() const;
  std::string Text() const;
};

Lateness LatenessOf(const std::vector<Booking>& bookings);

// Answers a connection with the head, and then with the unit again and again,
// until the caller closes or `most` bytes have been sent.
void SendWithoutEnd(const Connection& connection,
                    const std::string& head,
                    const std::string& unit,
                    size_t most);

}  // namespace review
