#include "bookings.h"

#include <algorithm>
#include <mutex>
#include <thread>

namespace review {

namespace {

// The route's timeoutMs, and the time that the rule allows beyond it.
constexpr double kTimeoutSeconds = 2.0;
constexpr double kSlackSeconds = 0.5;
constexpr int kDeadlineMs = 4000;
constexpr int kLeastCount = 8;
constexpr size_t kBlockBytes = size_t{64} * 1024;

}  // namespace

std::vector<Booking> SendBookings(Bench& bench,
                                  const Address& host,
                                  double seconds,
                                  double every) {
  std::mutex mutex;
  std::vector<Booking> bookings;
  std::vector<std::thread> clients;
  const double end = Now() + seconds;
  while (Now() < end) {
    clients.emplace_back([&] {
      const Call call = bench.MakeCall("POST", "/book/x", kDeadlineMs);
      Connection connection(Connect(host));
      if (connection.descriptor() < 0)
        return;
      Booking booking;
      booking.sent_at = Now();
      booking.answer = Ask(connection, call);
      const std::string& id = call.headers[1].second;
      bench.record.Add("client: booking " + id + " sent at " +
                       std::to_string(booking.sent_at) + ", after " +
                       std::to_string(booking.answer.seconds) + " s: " +
                       (booking.answer.is_whole
                            ? std::to_string(booking.answer.status)
                            : std::string("no answer")));
      const std::lock_guard lock(mutex);
      bookings.push_back(std::move(booking));
    });
    SleepSeconds(every);
  }
  for (std::thread& it : clients)
    it.join();
  return bookings;
}

bool Lateness::BreaksRule() const {
  return unanswered_half_a_second_later >= kLeastCount &&
         2 * unanswered_half_a_second_later > unanswered_at_timeout;
}

std::string Lateness::Text() const {
  return std::to_string(sent) + " bookings, " +
         std::to_string(unanswered_at_timeout) +
         " unanswered at timeoutMs, of these " +
         std::to_string(unanswered_half_a_second_later) +
         " half a second later; longest " + std::to_string(longest_seconds) +
         " s";
}

Lateness LatenessOf(const std::vector<Booking>& bookings) {
  Lateness late;
  for (const Booking& it : bookings) {
    const auto is_unanswered_at = [&it](double seconds) {
      return !it.answer.is_whole || it.answer.seconds > seconds;
    };
    ++late.sent;
    late.unanswered_at_timeout += is_unanswered_at(kTimeoutSeconds) ? 1 : 0;
    late.unanswered_half_a_second_later +=
        is_unanswered_at(kTimeoutSeconds + kSlackSeconds) ? 1 : 0;
    late.longest_seconds = std::max(late.longest_seconds, it.answer.seconds);
  }
  return late;
}

void SendWithoutEnd(const Connection& connection,
                    const std::string& head,
                    const std::string& unit,
                    size_t most) {
  std::string block;
  while (block.size() < kBlockBytes)
    block += unit;
  bool is_open = connection.Send(head);
  for (size_t sent = 0; is_open && sent < most; sent += block.size())
    is_open = connection.Send(block);
}

}  // namespace review
