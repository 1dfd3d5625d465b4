// A machine that is cut off takes up streams which began at a software version
// that it hasn't heard of.

#include <algorithm>
#include <cstdlib>
#include <mutex>
#include <set>
#include <thread>

#include "platform.h"

namespace {

using review::Bench;

constexpr int kStreams = 80;
constexpr int kEvents = 20;
constexpr double kGapSeconds = 0.25;
constexpr int kDeadlineMs = 10000;
constexpr double kTakenUpPause = 0.1;
// One retry, as the site's sheet has it.
constexpr int kTries = 2;
// The worker of the new version says that it drains, and ends so much later:
// drainMs and a little longer.
constexpr double kServesBeforeDraining = 1.0;
constexpr double kDrainSeconds = 2.4;
constexpr double kCutSeconds = 8;
constexpr int kAllowedStreams = 2;

struct Stream {
  std::string first_id;
  int events = 0;
  std::set<std::string> versions;
  bool is_in_order = true;
};

// Reads the events of an answer: "id: N\ndata: VERSION WORKER\n\n".
void ReadEvents(const std::string& body, Stream& stream) {
  for (size_t at = body.find("id: "); at != std::string::npos;
       at = body.find("id: ", at + 1)) {
    const size_t data = body.find("data: ", at);
    const size_t end = body.find("\n\n", at);
    if (data == std::string::npos || end == std::string::npos)
      return;
    stream.is_in_order = stream.is_in_order &&
                         std::atoi(body.c_str() + at + 4) == stream.events + 1;
    ++stream.events;
    stream.versions.insert(
        body.substr(data + 6, body.find(' ', data + 6) - data - 6));
  }
}

// A client: asks at the first host, and takes the broken stream up at the other
// one.
Stream RunStream(Bench& bench, const std::vector<review::Host*>& hosts) {
  Stream stream;
  const double end = review::Now() + kDeadlineMs / 1000.0;
  for (int i = 0; i < kTries && review::Now() < end; ++i) {
    const review::Host& host = *hosts[static_cast<size_t>(i) % hosts.size()];
    const int left = static_cast<int>((end - review::Now()) * 1000);
    review::Call call = bench.MakeCall("POST", "/resume/x", left);
    const std::string id = call.headers[1].second;
    if (i == 0)
      stream.first_id = id;
    call.headers.emplace_back(
        "Prompt-Prefix", stream.first_id + ":100," + stream.first_id + "f:20");
    call.headers.emplace_back("Token-Counts", "120,20");
    if (stream.events > 0) {
      call.headers.emplace_back("Last-Event-Id", std::to_string(stream.events));
      call.headers.emplace_back("Resumes", stream.first_id);
    }
    const review::Answer answer = review::AskOnce(host.callers(), call);
    const int before = stream.events;
    if (answer.status == 200)
      ReadEvents(answer.body, stream);
    bench.record.Add("client: stream " + stream.first_id + ", attempt " + id +
                     " at " + host.name() + ": " +
                     std::to_string(answer.status) +
                     (answer.is_whole ? ", whole, " : ", broken off, ") +
                     std::to_string(stream.events - before) + " events");
    if (answer.status == 200 && answer.is_whole)
      break;
    review::SleepSeconds(kTakenUpPause);
  }
  return stream;
}

review::WorkerModel Engine(const std::string& id, const std::string& version) {
  review::WorkerModel model{id, "llm"};
  model.version = version;
  model.events = kEvents;
  model.gap_seconds = kGapSeconds;
  model.slots = 64;
  return model;
}

int Play(Bench& bench) {
  bench.AddWorker(Engine("llm-1", "v1"));
  bench.AddWorker(Engine("llm-2", "v1"));
  bench.AddWorker(Engine("llm-3", "v1"));
  bench.AddWorker(Engine("llm-4", "v1"));
  review::Link link(bench.NextIp(), bench.store->address());
  review::Host& cut = bench.AddHost("host-2", "z3", link.address());
  cut.WaitUntilReady();
  review::SleepSeconds(2);

  const double began = review::Now();
  if (bench.has_trouble()) {
    link.SetCut(true);
    bench.record.Add("host-2 is cut off");
  }
  // Planned work: a worker of the next version is tried out, and machines are
  // added.
  review::Worker& trial = bench.AddWorker(Engine("llm-5", "v2"));
  bench.record.Add("worker llm-5 of version v2 is added");
  review::Host& added = bench.AddHost("host-1", "z1", bench.store->address());
  review::Host& other = bench.AddHost("host-3", "z2", bench.store->address());
  added.WaitUntilReady();
  other.WaitUntilReady();
  review::SleepSeconds(0.3);

  std::mutex mutex;
  std::vector<Stream> streams;
  std::vector<std::thread> clients;
  clients.reserve(kStreams);
  for (int i = 0; i < kStreams; ++i)
    clients.emplace_back([&, i] {
      // Retries reach the other machines alike.
      review::Host* const second = i % 2 == 0 ? &other : &cut;
      Stream stream = RunStream(bench, {&added, second});
      const std::lock_guard lock(mutex);
      streams.push_back(std::move(stream));
    });
  review::SleepSeconds(kServesBeforeDraining);
  trial.SetState("draining");
  review::SleepSeconds(kDrainSeconds);
  trial.End();
  review::SleepSeconds(std::max(0.0, began + kCutSeconds - review::Now()));
  link.SetCut(false);
  bench.record.Add("host-2 is no longer cut off");
  for (std::thread& it : clients)
    it.join();

  int joined = 0;
  int taken_up = 0;
  for (const Stream& it : streams) {
    joined += it.versions.size() > 1 ? 1 : 0;
    taken_up += it.versions.count("v2") > 0 ? 1 : 0;
    if (it.versions.size() > 1)
      bench.record.Add("client: stream " + it.first_id +
                       " holds events of two software versions" +
                       (it.is_in_order ? "" : ", and out of order"));
  }
  return bench.Finish(joined > kAllowedStreams,
                      std::to_string(joined) + " of " +
                          std::to_string(taken_up) +
                          " streams that began at v2 hold events of both "
                          "software versions");
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2)
    return 2;
  Bench bench(argv[1]);
  return Play(bench);
}
