#include <algorithm>
#include <map>
#include <thread>
#include <vector>

#include "cases.h"

namespace bilberry::review {

namespace {

using std::chrono::milliseconds;

constexpr int kStageWorkers = 5;
constexpr int kRequestsBefore = 36;
constexpr milliseconds kCallTime{150};
constexpr milliseconds kPieceTime{16};
constexpr milliseconds kResultLife{4000};
constexpr milliseconds kDeadline{8000};
constexpr milliseconds kPatience{8000};
constexpr milliseconds kFirstToken{100};
// The platform: a worker writes its entry this often; three intervals of
// silence remove the entry.
constexpr milliseconds kPing{1200};
constexpr milliseconds kSilence = kPing * 3;
// How long the one worker's link to the store is cut.
constexpr milliseconds kCut{4500};
// From the beginning of the cut.
constexpr milliseconds kEarlierSent{3100};
constexpr milliseconds kEarlierBegins{4650};
constexpr milliseconds kLaterSent{5900};

// The results of all stage workers.
class Results {
 public:
  std::string Make(const std::string& worker, const std::string& request) {
    const std::lock_guard lock(mutex_);
    std::string handle = worker + "/r" + std::to_string(++last_);
    made_[handle] = {request, Clock::now() + kResultLife};
    return handle;
  }
  void Free(const std::string& handle) {
    const std::lock_guard lock(mutex_);
    made_.erase(handle);
  }
  // The request whose piece it is; empty if it is gone.
  std::string RequestOf(const std::string& handle) {
    const std::lock_guard lock(mutex_);
    const auto it = made_.find(handle);
    if (it == made_.end() || it->second.second < Clock::now())
      return {};
    return it->second.first;
  }

 private:
  std::mutex mutex_;
  uint64_t last_ = 0;
  std::map<std::string, std::pair<std::string, Clock::time_point>> made_;
};

// A worker of the stage: one call at a time. Sends a second copy of its answer
// to `repeated` where the next answer on that channel is expected.
class StageWorker {
 public:
  StageWorker(Run& run, Results& results, const std::string& id)
      : run_(run),
        results_(results),
        worker_(id, [this](Channel& channel, const Message& request) {
          return Serve(channel, request);
        }) {}

  const Worker& worker() const { return worker_; }
  void Repeat(const std::string& request) {
    const std::lock_guard lock(mutex_);
    repeated_ = request;
  }

 private:
  bool Serve(Channel& channel, const Message& request) {
    const std::string copy = TakeCopy(channel);
    if (!copy.empty()) {
      run_.record.Add(worker_.id() + " sent the late second answer");
      if (!channel.Write(copy))
        return false;
    }
    if (request.target() == "/v1/stage-free") {
      FreeAll(request.body);
      return channel.Write(Answer("200 OK", {}, "{}"));
    }
    return channel.Write(Produce(channel, request.body));
  }

  std::string Produce(const Channel& channel, const std::string& body) {
    const std::lock_guard slot(slot_);
    std::string items;
    std::string first;
    milliseconds time = kCallTime;
    for (size_t at = body.find("{\"id\""); at != std::string::npos;
         at = body.find("{\"id\"", at + 1)) {
      const std::string id = MemberOf(body, "id", at);
      const std::string handle = results_.Make(worker_.address(), id);
      run_.record.Add(
          Join({worker_.id(), " makes a piece of ", id, ": ", handle}));
      items += (items.empty() ? "{\"handle\":\"" : ",{\"handle\":\"") + handle +
               "\"}";
      first = first.empty() ? id : first;
      time += kPieceTime;
    }
    std::this_thread::sleep_for(time);
    std::string answer =
        Answer("200 OK", {{"Content-Type", "application/json"}},
               "{\"items\":[" + items + "]}");
    const std::lock_guard lock(mutex_);
    if (!first.empty() && first == repeated_)
      copies_[&channel] = answer;
    return answer;
  }

  std::string TakeCopy(const Channel& channel) {
    const std::lock_guard lock(mutex_);
    const auto node = copies_.extract(&channel);
    return node.empty() ? std::string() : node.mapped();
  }

  void FreeAll(const std::string& body) {
    for (size_t at = body.find('['); at != std::string::npos;) {
      const size_t begin = body.find('"', at);
      if (begin == std::string::npos)
        return;
      const size_t end = body.find('"', begin + 1);
      const std::string handle = body.substr(begin + 1, end - begin - 1);
      run_.record.Add(worker_.id() + " frees " + handle);
      results_.Free(handle);
      at = end + 1;
    }
  }

  Run& run_;
  Results& results_;
  std::mutex slot_;
  std::mutex mutex_;
  std::string repeated_;
  std::map<const Channel*, std::string> copies_;
  Worker worker_;
};

std::vector<std::string> SplitList(const std::string& list) {
  std::vector<std::string> parts;
  for (size_t at = 0; at < list.size();) {
    const size_t end = std::min(list.find(',', at), list.size());
    parts.push_back(list.substr(at, end - at));
    at = end + 1;
  }
  return parts;
}

}  // namespace

int RunForeignPieces(Run& run) {
  Results results;
  std::vector<std::unique_ptr<StageWorker>> stage_workers;
  for (int i = 1; i <= kStageWorkers; ++i)
    stage_workers.push_back(std::make_unique<StageWorker>(
        run, results, "billing-" + std::to_string(i)));

  std::atomic<bool> is_broken = false;
  std::mutex mutex;
  Clock::time_point earlier_begins;  // The first event of the earlier request.
  Worker model("model-1", [&](Channel& channel, const Message& request) {
    const std::string id = request.Find("Attempt-Id");
    const std::vector<std::string> inputs = SplitList(request.Find("Inputs"));
    for (const std::string& handle : inputs) {
      const std::string owner = results.RequestOf(handle);
      run.record.Add(Join({"model worker fetches ", handle, " for ", id,
                           ", a piece of ", owner.empty() ? "none" : owner}));
      if (owner.empty())
        return channel.Write(Answer(
            "409 Conflict", {{"Attempt-Id", id}, {"Not-Executed", "1"}}, ""));
      if (owner == id)
        continue;
      run.record.Add(Join({"MIXED: ", id, " is given a piece of ", owner}));
      is_broken = true;
    }
    Clock::time_point begins = Clock::now() + kFirstToken;
    if (id == "earlier") {
      const std::lock_guard lock(mutex);
      begins = earlier_begins;
    }
    std::this_thread::sleep_until(begins);
    run.record.Add("model worker answers " + id);
    const std::string event = "id: 1\ndata: of " + id + "\n\n";
    return channel.Write(Answer("200 OK",
                                {{"Attempt-Id", id},
                                 {"Server-Seal", "s." + id},
                                 {"Content-Type", "text/event-stream"}},
                                event));
  });

  Store store;
  store.Put(
      "op", "config",
      DesiredState(
          RouteOf(
              "hire-quote", "streaming", "lever-pool",
              R"(,"maxAttempts":1,"timeoutMs":8000,"targetLatencyMs":3000,"sticky":true,)"
              R"("resumable":false,"gapAimMs":200,"stages":[{"service":)"
              R"("billing","after":[],"bytes":3000000}])"),
          R"({"name":"lever-pool","healthPath":"/health",)"
          R"("engine":{"slots":64}},{"name":"billing","healthPath":"/health",)"
          R"("pieces":{"slots":1,"queue":2,"batch":8,"callMs":150.0,)"
          R"("itemMs":16.0,"roomMb":36.0,"handleS":4.0}})"));
  store.Put("servers", model.id(), model.Entry("lever-pool"));
  for (const auto& it : stage_workers)
    store.Put("servers", it->worker().id(), it->worker().Entry("billing"));

  Host host(run, store, "entry-1");
  host.Start();
  if (!host.WaitUntilReady()) {
    host.Kill();
    return End(run, kNotRun);
  }
  const auto ask = [&](const std::string& id) {
    auto channel = Channel::Connect(host.port(), kPatience);
    if (!channel)
      return;
    run.record.Add("requester sent " + id);
    channel->Write(HeadOf("POST", "hire-quote", id, kDeadline) +
                   "Model: m\r\nToken-Counts: 900,50\r\n"
                   "Prompt-Prefix: aa:800,bb:100\r\nPieces: 1\r\n"
                   "Piece-Key: key-of-" +
                   id + "\r\nContent-Length: 6\r\n\r\nprompt");
    const auto answer = channel->Read(kPatience);
    run.record.Add("requester of " + id + " got " +
                   (answer ? std::to_string(answer->status()) + " " +
                                 std::to_string(answer->body.size()) + " bytes"
                           : std::string("no answer")));
  };
  for (int i = 1; i <= kRequestsBefore; ++i)
    ask("before-" + std::to_string(i));

  // The worker's last ping before its link to the store is cut.
  const Worker& cut = stage_workers.front()->worker();
  const Clock::time_point begins = Clock::now();
  {
    const std::lock_guard lock(mutex);
    earlier_begins = begins + kEarlierBegins;
  }
  std::vector<std::thread> threads;
  if (run.has_trouble) {
    stage_workers.front()->Repeat("earlier");
    threads.emplace_back([&] {
      run.record.Add(cut.id() + " loses the store");
      std::this_thread::sleep_until(begins + kSilence);
      store.Remove("servers", cut.id());
      run.record.Add("the store removes the entry of " + cut.id());
      // Its first ping after the cut.
      static_assert(kSilence + kPing > kCut);
      std::this_thread::sleep_until(begins + kSilence + kPing);
      store.Put("servers", cut.id(), cut.Entry("billing"));
      run.record.Add(cut.id() + " is back in the store");
    });
  }
  threads.emplace_back([&] {
    std::this_thread::sleep_until(begins + kEarlierSent);
    ask("earlier");
  });
  threads.emplace_back([&] {
    std::this_thread::sleep_until(begins + kLaterSent);
    ask("later");
  });
  for (std::thread& it : threads)
    it.join();
  host.Kill();
  return End(run, is_broken ? kBroken : kHeld);
}

}  // namespace bilberry::review
