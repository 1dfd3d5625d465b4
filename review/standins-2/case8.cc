// A model worker sends streams of empty lines without end, and the host's
// memory grows beyond that of its machine.

#include <atomic>
#include <csignal>
#include <mutex>
#include <set>

#include "bookings.h"

namespace {

using review::Bench;
using review::Connection;
using review::Request;

constexpr int kMemoryMegabytes = 260;
constexpr int kChats = 60;
constexpr int kChatDeadlineMs = 15000;
// One retry, as the site's sheet has it.
constexpr int kRounds = 2;
constexpr double kPauseSeconds = 1;
constexpr int kCallers = 12;
constexpr int kBookingDeadlineMs = 15000;
constexpr double kBookingWorkSeconds = 8;
constexpr double kSeconds = 25;
constexpr double kSampleSeconds = 0.002;
constexpr size_t kMostBytes = size_t{64} * 1024 * 1024;
constexpr int kAllowedCuts = 3;
// The first chunk begins with an extension of this size, which no client sees.
constexpr size_t kExtensionBytes = size_t{8} * 1024 * 1024;

int Play(Bench& bench) {
  review::WorkerModel model{"llm-1", "llm"};
  model.events = 3;
  model.slots = 64;
  review::Worker& engine = bench.AddWorker(model);
  bench.AddWorker({"desk-1", "desk"});
  // Orders take long.
  review::WorkerModel orders{"orders-1", "orders"};
  orders.work_seconds = kBookingWorkSeconds;
  review::Worker& sound = bench.AddWorker(orders);
  review::Host& host = bench.AddHost("host-1", "z1", bench.store->address());
  host.WaitUntilReady();

  const double end = review::Now() + kSeconds;
  std::atomic<bool> is_over = false;
  std::mutex mutex;
  std::set<std::string> cut;  // Ids of bookings whose channel was closed.
  std::vector<std::thread> clients;
  clients.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i)
    clients.emplace_back([&] {
      Connection connection(review::Connect(host.callers()));
      bool is_kept = false;
      while (!is_over && review::Now() < end) {
        const review::Call call = bench.MakeCall(
            "POST", is_kept ? "/order/x" : "/book/x", kBookingDeadlineMs);
        const std::string& id = call.headers[1].second;
        const review::Answer answer = Ask(connection, call);
        bench.record.Add("client: booking " + id + " ended with " +
                         (answer.is_whole ? std::to_string(answer.status)
                                          : std::string("no answer")));
        if (answer.is_whole) {
          is_kept = true;
          continue;
        }
        const std::lock_guard lock(mutex);
        if (is_kept && answer.seconds < call.patience)
          cut.insert(id);
        return;
      }
    });
  const auto chat = [&] {
    review::Call call = bench.MakeCall("POST", "/chat/x", kChatDeadlineMs);
    call.headers.emplace_back("Prompt-Prefix",
                              "aa:100," + call.headers[1].second + ":20");
    call.headers.emplace_back("Token-Counts", "120,20");
    const review::Answer answer = review::AskOnce(host.callers(), call);
    bench.record.Add("client: chat " + call.headers[1].second + " ended with " +
                     std::to_string(answer.status) +
                     (answer.is_whole ? ", whole" : ", broken off"));
  };
  chat();
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
              "\r\nServer-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n" +
              "1;" + std::string(kExtensionBytes, 'a') +
              "\r\n:\r\n2\r\n\n\n\r\n",
          "3\r\n:\n\n\r\n", kMostBytes);
      return true;
    });
  review::SleepSeconds(2);
  std::vector<std::thread> chats;
  chats.reserve(kChats);
  for (int i = 0; i < kChats; ++i)
    chats.emplace_back([&] {
      for (int round = 0; round < kRounds && !is_over; ++round) {
        chat();
        review::SleepSeconds(kPauseSeconds);
      }
    });

  // The platform ends a process that exceeds the memory of its machine.
  int peak = 0;
  bool was_killed = false;
  while (!was_killed && review::Now() < end && !host.HasEnded()) {
    peak = host.PeakMegabytes();
    if (peak > kMemoryMegabytes) {
      was_killed = true;
      bench.record.Add("platform: host-1 has " + std::to_string(peak) +
                       " MB, its machine " + std::to_string(kMemoryMegabytes));
      host.Signal(SIGKILL);
    }
    review::SleepSeconds(kSampleSeconds);
  }
  is_over = true;
  for (std::thread& it : clients)
    it.join();
  for (std::thread& it : chats)
    it.join();
  const std::set<std::string> run = sound.Run();
  int lost = 0;
  for (const std::string& id : cut)
    lost += run.count(id) > 0 ? 1 : 0;
  return bench.Finish(
      was_killed && lost > kAllowedCuts,
      "at most " + std::to_string(peak) + " MB of " +
          std::to_string(kMemoryMegabytes) + "; " + std::to_string(lost) +
          " bookings passed on to a sound worker, and their kept channels "
          "closed without an answer");
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2)
    return 2;
  Bench bench(argv[1]);
  return Play(bench);
}
