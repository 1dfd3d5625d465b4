// A host's removal of its own row is applied late, after the host has started
// again and has written the row anew. Afterwards two hosts give out the permits
// of one worker.

#include <algorithm>
#include <csignal>
#include <thread>

#include "platform.h"

namespace {

using review::Bench;

constexpr double kLateSeconds = 5;
constexpr double kRestartPause = 0.3;
constexpr double kStopSeconds = 9;
constexpr double kSettleSeconds = 8;
constexpr double kPerSecond = 10;
constexpr double kStableSeconds = 3;
constexpr double kWindowSeconds = 4;
constexpr double kLoadSeconds = 14;
constexpr int kCallersPerHost = 6;
constexpr double kCallerPause = 0.02;
constexpr int kDeadlineMs = 4000;

int Play(Bench& bench) {
  review::Worker& worker = bench.AddWorker({"desk-1", "desk"});
  std::vector<review::Host*> hosts;
  for (const char* name : {"1", "2", "3"})
    hosts.push_back(&bench.AddHost(std::string("host-") + name,
                                   std::string("z") + name,
                                   bench.store->address()));
  for (const review::Host* it : hosts)
    it->WaitUntilReady();
  review::SleepSeconds(2);

  if (bench.has_trouble())
    bench.store->SetLateness([](const Json::Value& transaction) {
      for (const Json::Value& it : transaction["remove"]) {
        if (it["key"].asString() == "host-1")
          return kLateSeconds;
      }
      return 0.0;
    });
  // Planned work: one host is stopped and starts again.
  review::Host& restarted = *hosts.front();
  restarted.Signal(SIGTERM);
  if (!restarted.WaitForEnd(kStopSeconds))
    return 2;
  review::SleepSeconds(kRestartPause);
  restarted.Start();
  restarted.WaitUntilReady();
  review::SleepSeconds(kSettleSeconds);
  std::string rows;
  for (const std::string& it : bench.store->Keys("bilberry-hosts"))
    rows += " " + it;
  bench.record.Add("store: rows of hosts:" + rows);

  worker.SetNotices({{"Server-Limit", "10"}});
  bench.record.Add("worker desk-1 names Server-Limit 10");
  const double named = review::Now();
  const double end = named + kLoadSeconds;
  std::vector<std::thread> clients;
  for (const review::Host* host : hosts) {
    for (int i = 0; i < kCallersPerHost; ++i)
      clients.emplace_back([&bench, host, end] {
        while (review::Now() < end) {
          const review::Call call =
              bench.MakeCall("GET", "/read/x", kDeadlineMs, "");
          const review::Answer answer = review::AskOnce(host->callers(), call);
          bench.record.Add("client: " + call.headers[1].second + " at " +
                           host->name() + ": " + std::to_string(answer.status));
          review::SleepSeconds(kCallerPause);
        }
      });
  }
  for (std::thread& it : clients)
    it.join();

  const double allowed = 1.5 * kPerSecond * kWindowSeconds + 5;
  const std::vector<double> arrivals = worker.Arrivals();
  int most = 0;
  for (const double from : arrivals) {
    if (from < named + kStableSeconds)
      continue;
    most = std::max(most, static_cast<int>(std::count_if(
                              arrivals.begin(), arrivals.end(), [&](double it) {
                                return it >= from && it < from + kWindowSeconds;
                              })));
  }
  return bench.Finish(most > allowed,
                      "at most " + std::to_string(most) +
                          " requests in 4 s at a worker with Server-Limit 10, "
                          "allowed are " +
                          std::to_string(static_cast<int>(allowed)));
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2)
    return 2;
  Bench bench(argv[1]);
  return Play(bench);
}
