// A model worker begins streams and then sends lines that never end an event.

#include "bookings.h"

namespace {

using review::Bench;
using review::Connection;
using review::Request;

constexpr double kBookingsSeconds = 10;
constexpr double kBookingInterval = 0.1;
constexpr int kChatDeadlineMs = 15000;
constexpr int kChats = 4;
constexpr size_t kMostBytes = size_t{64} * 1024 * 1024;

int Play(Bench& bench) {
  review::WorkerModel model{"llm-1", "llm"};
  model.events = 3;
  review::Worker& engine = bench.AddWorker(model);
  bench.AddWorker({"desk-1", "desk"});
  bench.AddWorker({"desk-2", "desk"});
  review::Host& host = bench.AddHost("host-1", "z1", bench.store->address());
  host.WaitUntilReady();

  const auto chat = [&bench, &host] {
    review::Call call = bench.MakeCall("POST", "/chat/x", kChatDeadlineMs);
    call.headers.emplace_back("Prompt-Prefix",
                              "aa:100," + call.headers[1].second + ":20");
    call.headers.emplace_back("Token-Counts", "120,20");
    const review::Answer answer = review::AskOnce(host.callers(), call);
    bench.record.Add("client: chat " + call.headers[1].second + " ended with " +
                     std::to_string(answer.status) +
                     (answer.is_whole ? ", whole" : ", broken off") +
                     " after " + std::to_string(answer.seconds) + " s");
    return answer.status;
  };
  if (chat() != 200)
    return 2;
  if (bench.has_trouble())
    engine.SetTrouble([&bench](Connection& it, const Request& request) {
      const std::string id = request.Header("attempt-id");
      if (id.empty())
        return false;
      bench.record.Add("worker llm-1 sends bytes without end to " + id);
      review::SendWithoutEnd(
          it,
          "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\nAttempt-Id: " +
              id +
              "\r\nServer-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n",
          "2\r\nx\n\r\n", kMostBytes);
      return true;
    });
  std::vector<std::thread> clients;
  clients.reserve(kChats);
  for (int i = 0; i < kChats; ++i)
    clients.emplace_back(chat);
  const auto bookings = review::SendBookings(
      bench, host.callers(), kBookingsSeconds, kBookingInterval);
  for (std::thread& it : clients)
    it.join();
  const review::Lateness late = review::LatenessOf(bookings);
  return bench.Finish(late.BreaksRule(), late.Text());
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2)
    return 2;
  Bench bench(argv[1]);
  return Play(bench);
}
