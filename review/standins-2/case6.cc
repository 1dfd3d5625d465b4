// A worker of a stage answers one call with bytes that never end.

#include "bookings.h"

namespace {

using review::Bench;
using review::Connection;
using review::Request;

constexpr double kBookingsSeconds = 10;
constexpr double kBookingInterval = 0.1;
constexpr int kDraftDeadlineMs = 6000;
constexpr size_t kMostBytes = size_t{256} * 1024 * 1024;

int Play(Bench& bench) {
  review::Worker& maker = bench.AddWorker({"maker-1", "maker"});
  review::WorkerModel engine{"llm-1", "llm"};
  engine.events = 3;
  bench.AddWorker(engine);
  bench.AddWorker({"desk-1", "desk"});
  bench.AddWorker({"desk-2", "desk"});
  review::Host& host = bench.AddHost("host-1", "z1", bench.store->address());
  host.WaitUntilReady();

  review::Call draft = bench.MakeCall("POST", "/draft/x", kDraftDeadlineMs);
  for (const auto& [name, value] :
       review::Headers{{"Pieces", "1"},
                       {"Piece-Key", "key"},
                       {"Prompt-Prefix", "aa:100,bb:20"},
                       {"Token-Counts", "120,20"}})
    draft.headers.emplace_back(name, value);
  const review::Answer before = review::AskOnce(host.callers(), draft);
  bench.record.Add("client: first draft answered " +
                   std::to_string(before.status));
  if (before.status != 200)
    return 2;

  if (bench.has_trouble())
    maker.SetTrouble([&bench](Connection& it, const Request& request) {
      if (request.target != "/v1/stage-run")
        return false;
      bench.record.Add("worker maker-1 sends bytes without end");
      review::SendWithoutEnd(
          it, "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n",
          "1\r\n\"\r\n", kMostBytes);
      return true;
    });
  draft.headers[1].second = "00000000000000d2";
  std::thread client([&] {
    const review::Answer answer = review::AskOnce(host.callers(), draft);
    bench.record.Add("client: second draft ended with " +
                     std::to_string(answer.status) + " after " +
                     std::to_string(answer.seconds) + " s");
  });
  const auto bookings = review::SendBookings(
      bench, host.callers(), kBookingsSeconds, kBookingInterval);
  client.join();
  const bool is_ready = host.IsReady();
  bench.record.Add(std::string("host-1, 4 s after the last booking: ") +
                   (is_ready ? "ready" : "doesn't say that it is ready"));
  const review::Lateness late = review::LatenessOf(bookings);
  return bench.Finish(late.BreaksRule(),
                      late.Text() + (is_ready ? "" : "; still not ready"));
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2)
    return 2;
  Bench bench(argv[1]);
  return Play(bench);
}
