#include <algorithm>
#include <thread>
#include <vector>

#include "cases.h"

namespace bilberry::review {

namespace {

using std::chrono::milliseconds;

// Requesters that keep their channel, one request each about every ten seconds.
constexpr int kManyRequesters = 1100;
constexpr int kFewRequesters = 500;
constexpr milliseconds kBetween{10000};
constexpr milliseconds kPlayed{24000};
constexpr milliseconds kDeadline{1500};
// Requesters allow a new channel and its first answer this long.
constexpr milliseconds kPatience{1500};
// Requesters that try to open a channel after the others.
constexpr int kNewRequesters = 10;
// bounds.stableWindowMs.
constexpr milliseconds kStableWindow{3000};

}  // namespace

int RunKeptChannels(Run& run) {
  Worker desk("hire-desk-1", [](Channel& channel, const Message& request) {
    const std::string id = request.Find("Attempt-Id");
    return channel.Write(Answer(
        "200 OK", {{"Attempt-Id", id}, {"Server-Seal", "s." + id}}, "stock"));
  });
  Store store;
  store.Put("op", "config",
            DesiredState(RouteOf("stock-read", "idempotent", "hire-desk",
                                 R"(,"timeoutMs":1500,"targetLatencyMs":300)"),
                         R"({"name":"hire-desk","healthPath":"/health"})"));
  store.Put("servers", desk.id(), desk.Entry("hire-desk"));
  Host host(run, store, "entry-1");
  host.Start();
  if (!host.WaitUntilReady()) {
    host.Kill();
    return End(run, kNotRun);
  }
  const int count = run.has_trouble ? kManyRequesters : kFewRequesters;
  const Clock::time_point begins = Clock::now();
  const Clock::time_point ends = begins + kPlayed;
  std::atomic<uint64_t> last_id = 0;
  std::atomic<int> served = 0;
  const auto ask = [&](Channel& channel) {
    const std::string id = "read-" + std::to_string(++last_id);
    channel.Write(HeadOf("GET", "stock-read", id, kDeadline) + "\r\n");
    const auto answer = channel.Read(kPatience);
    return answer && answer->status() == 200;
  };
  std::vector<std::thread> requesters;
  requesters.reserve(count);
  for (int i = 0; i < count; ++i) {
    requesters.emplace_back([&, i] {
      // All of them have come by the time of the first one's second request.
      std::this_thread::sleep_until(begins + kBetween * i / count);
      auto channel = Channel::Connect(host.port(), kPatience);
      while (channel && ask(*channel) && Clock::now() + kBetween < ends) {
        ++served;
        std::this_thread::sleep_for(kBetween);
      }
      std::this_thread::sleep_until(ends);
    });
  }
  std::this_thread::sleep_until(begins + kBetween + milliseconds(500));
  // New requesters, each trying again on a new channel.
  std::mutex mutex;
  std::vector<Clock::time_point> taken{Clock::now()};
  const Clock::time_point first_try = Clock::now();
  std::vector<std::thread> new_requesters;
  new_requesters.reserve(kNewRequesters);
  for (int i = 0; i < kNewRequesters; ++i) {
    new_requesters.emplace_back([&] {
      while (Clock::now() + kPatience < ends) {
        auto channel = Channel::Connect(host.port(), kPatience);
        if (channel && ask(*channel)) {
          const std::lock_guard lock(mutex);
          taken.push_back(Clock::now());
        }
        std::this_thread::sleep_for(milliseconds(100));
      }
    });
  }
  int ready_answers = 0;
  int ready_questions = 0;
  while (Clock::now() + kPatience < ends) {
    ready_answers += host.IsReady() ? 1 : 0;
    ++ready_questions;
    std::this_thread::sleep_for(milliseconds(1000));
  }
  const Clock::time_point last_try = Clock::now();
  for (std::thread& it : new_requesters)
    it.join();
  for (std::thread& it : requesters)
    it.join();
  host.Kill();
  taken.push_back(last_try);
  std::ranges::sort(taken);
  Clock::duration longest{};
  for (size_t i = 1; i < taken.size(); ++i)
    longest = std::max(longest, taken[i] - taken[i - 1]);
  const auto longest_ms = std::chrono::duration_cast<milliseconds>(longest);
  run.record.Add(std::to_string(count) + " requesters keep channels, " +
                 std::to_string(served) + " of their requests were served");
  run.record.Add(std::to_string(kNewRequesters) + " new requesters try for " +
                 std::to_string(std::chrono::duration_cast<milliseconds>(
                                    last_try - first_try)
                                    .count()) +
                 " ms; channels taken: " + std::to_string(taken.size() - 2) +
                 ", longest time without one: " +
                 std::to_string(longest_ms.count()) + " ms");
  run.record.Add("ready: " + std::to_string(ready_answers) + " of " +
                 std::to_string(ready_questions) + " questions got 200");
  if (longest_ms <= kStableWindow || ready_answers < ready_questions)
    return End(run, kHeld);
  run.record.Add(
      "RECOVER: a ready host takes no new channel for longer than "
      "stableWindowMs while ten requesters try");
  return End(run, kBroken);
}

}  // namespace bilberry::review
