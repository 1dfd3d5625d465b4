#include <set>

#include "cases.h"

namespace bilberry::review {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDeadline{1500};
constexpr milliseconds kPatience{3000};
constexpr int kBookings = 10;

}  // namespace

int RunSmuggledRequest(Run& run) {
  std::mutex mutex;
  std::set<std::string> ran;
  Worker desk("hire-desk-1", [&](Channel& channel, const Message& request) {
    const std::string id = request.Find("Attempt-Id");
    run.record.Add("worker ran id=" + id + " line=\"" + request.first_line +
                   "\" body_bytes=" + std::to_string(request.body.size()));
    {
      const std::lock_guard lock(mutex);
      ran.insert(id);
    }
    return channel.Write(Answer(
        "200 OK", {{"Attempt-Id", id}, {"Server-Seal", "s." + id}}, "booked"));
  });
  Store store;
  store.Put(
      "op", "config",
      DesiredState(
          RouteOf("booking-commit", "non_idempotent", "hire-desk",
                  R"(,"maxAttempts":1,"timeoutMs":1500,"targetLatencyMs":300)"),
          R"({"name":"hire-desk","healthPath":"/health"})"));
  store.Put("servers", desk.id(), desk.Entry("hire-desk"));
  Host host(run, store, "entry-1");
  host.Start();
  if (!host.WaitUntilReady()) {
    host.Kill();
    return End(run, kNotRun);
  }
  std::set<std::string> sent;
  // The last booking's body is a request's text, as a requester that is not
  // allowed to book may write it into a field of its own.
  const std::string inner =
      HeadOf("POST", "booking-commit", "inner", kDeadline) +
      "Content-Length: 0\r\n\r\n";
  for (int i = 1; i <= kBookings; ++i) {
    const bool is_last = i == kBookings;
    const std::string id = "booking-" + std::to_string(i);
    const std::string body = is_last ? inner : "clamp";
    const std::string length =
        run.has_trouble && is_last ? "Content-Length : " : "Content-Length: ";
    auto channel = Channel::Connect(host.port(), kPatience);
    if (!channel)
      continue;
    sent.insert(id);
    run.record.Add("requester sent id=" + id);
    channel->Write(
        Join({HeadOf("POST", "booking-commit", id, kDeadline), length,
              std::to_string(body.size()), "\r\n\r\n", body}));
    // A second answer belongs to no request of this requester.
    for (int answers = 0; answers < (is_last ? 2 : 1); ++answers) {
      const auto answer = channel->Read(kPatience);
      if (!answer)
        break;
      run.record.Add("requester of " + id + " got " +
                     std::to_string(answer->status()) +
                     " id=" + answer->Find("Attempt-Id"));
    }
  }
  host.Kill();
  int result = kHeld;
  const std::lock_guard lock(mutex);
  for (const std::string& id : ran) {
    if (sent.contains(id))
      continue;
    run.record.Add("UNASKED: a worker ran id=" + id +
                   ", which no requester sent");
    result = kBroken;
  }
  return End(run, result);
}

}  // namespace bilberry::review
