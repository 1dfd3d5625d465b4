#include <thread>
#include <vector>

#include "cases.h"

namespace bilberry::review {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{2000};
constexpr milliseconds kDeadline{4000};
// CONFIG: no answer half a second after the route's timeout.
constexpr milliseconds kGrace{500};
constexpr int kRequests = 12;
// CONFIG: eight or more, and over a quarter.
constexpr int kMostUnanswered = 7;

}  // namespace

int RunTrailingSpace(Run& run) {
  Worker desk("hire-desk-1", [&](Channel& channel, const Message& request) {
    const std::string id = request.Find("Attempt-Id");
    run.record.Add("worker ran id=" + id);
    return channel.Write(Answer(
        "200 OK", {{"Attempt-Id", id}, {"Server-Seal", "s." + id}}, "booked"));
  });
  Store store;
  store.Put(
      "op", "config",
      DesiredState(
          RouteOf("booking-commit", "non_idempotent", "hire-desk",
                  R"(,"maxAttempts":1,"timeoutMs":2000,"targetLatencyMs":300)"),
          R"({"name":"hire-desk","healthPath":"/health"})"));
  store.Put("servers", desk.id(), desk.Entry("hire-desk"));
  Host host(run, store, "entry-1");
  host.Start();
  if (!host.WaitUntilReady()) {
    host.Kill();
    return End(run, kNotRun);
  }
  std::atomic<int> unanswered = 0;
  std::vector<std::thread> requesters;
  for (int i = 1; i <= kRequests; ++i) {
    requesters.emplace_back([&run, &host, &unanswered, i] {
      const std::string id = "booking-" + std::to_string(i);
      auto channel = Channel::Connect(host.port(), kTimeout);
      if (!channel)
        return;
      const std::string space = run.has_trouble ? " " : "";
      channel->Write(HeadOf("POST", "booking-commit", id, kDeadline) +
                     "Transfer-Encoding: chunked" + space +
                     "\r\n\r\n5\r\nclamp\r\n0\r\n\r\n");
      run.record.Add("requester sent id=" + id);
      const auto answer = channel->Read(kTimeout + kGrace);
      run.record.Add("requester of " + id + " got " +
                     (answer ? std::to_string(answer->status())
                             : std::string("no answer")));
      if (!answer)
        ++unanswered;
    });
  }
  for (std::thread& it : requesters)
    it.join();
  host.Kill();
  if (unanswered <= kMostUnanswered)
    return End(run, kHeld);
  run.record.Add("CONFIG: " + std::to_string(unanswered) + " of " +
                 std::to_string(kRequests) +
                 " requests have no answer 500 ms after the route's timeout");
  return End(run, kBroken);
}

}  // namespace bilberry::review
