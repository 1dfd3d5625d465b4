#include <cstdlib>
#include <map>
#include <memory>
#include <set>
#include <thread>
#include <vector>

#include "cases.h"

namespace bilberry::review {

namespace {

using std::chrono::milliseconds;

constexpr int kSummaryWorkers = 6;
constexpr int kQuoteWorkers = 2;
constexpr int kSummaries = 80;
constexpr int kEvents = 60;
constexpr milliseconds kPause{150};
constexpr int kQuotes = 40;
constexpr milliseconds kBetweenQuotes{125};
// TWICE: the worker before still works on the request 400 ms later.
constexpr milliseconds kStillWorks{400};
constexpr milliseconds kDeadline{15000};
constexpr milliseconds kQuoteDeadline{2500};
constexpr milliseconds kPatience{14000};
// Lengths of prompts, within the site's own.
constexpr size_t kPromptBytes[] = {70000, 80000, 90000, 100000, 110000};
// Header lines of a faulty worker's answers.
constexpr int kHeaderLines[] = {8, 12, 20, 40};
constexpr size_t kBlockBytes = 16384;

// Which workers are at work on which request.
class Works {
 public:
  explicit Works(Record& record) : record_(record) {}

  // Returns the workers that are at work on it already.
  std::set<std::string> Begin(const std::string& request,
                              const std::string& worker) {
    const std::lock_guard lock(mutex_);
    std::set<std::string> others = at_work_[request];
    at_work_[request].insert(worker);
    return others;
  }
  void End(const std::string& request, const std::string& worker) {
    const std::lock_guard lock(mutex_);
    at_work_[request].erase(worker);
  }
  void CheckStillAtWork(const std::string& request,
                        const std::string& worker,
                        const std::set<std::string>& others) {
    const std::lock_guard lock(mutex_);
    for (const std::string& it : others) {
      if (!at_work_[request].contains(it))
        continue;
      record_.Add(Join({"TWICE: ", request, " goes on at ", worker, " while ",
                        it, " still works on it 400 ms later"}));
      ++violations_;
    }
  }
  int violations() const { return violations_; }

 private:
  Record& record_;
  std::mutex mutex_;
  std::map<std::string, std::set<std::string>> at_work_;
  std::atomic<int> violations_ = 0;
};

std::string StreamHead(const std::string& status, const std::string& id) {
  return Join({"HTTP/1.1 ", status, "\r\nAttempt-Id: ", id,
               "\r\nServer-Seal: s.", id,
               "\r\nContent-Type: text/event-stream\r\n",
               "Transfer-Encoding: chunked\r\n"});
}

bool WriteChunk(const Channel& channel, const std::string& bytes) {
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return channel.Write(Join({size, bytes, "\r\n"}));
}

std::string EventOf(int id) {
  return "id: " + std::to_string(id) + "\ndata: tokens\n\n";
}

// A sound worker's stream, which goes on after Last-Event-Id.
bool Summarize(Works& works,
               Record& record,
               const std::string& worker,
               const Channel& channel,
               const Message& request) {
  const std::string id = request.Find("Attempt-Id");
  const std::string after = request.Find("Last-Event-Id");
  const std::set<std::string> others = works.Begin(id, worker);
  if (!after.empty())
    record.Add(Join({worker, " goes on with ", id, " after event ", after}));
  const Clock::time_point began = Clock::now();
  bool is_open = channel.Write(StreamHead("200 OK", id) + "\r\n");
  bool is_checked = false;
  const int first =
      1 + static_cast<int>(std::strtol(after.c_str(), nullptr, 10));
  for (int i = first; i <= kEvents && is_open; ++i) {
    is_open = WriteChunk(channel, EventOf(i));
    std::this_thread::sleep_for(kPause);
    if (is_checked || Clock::now() < began + kStillWorks)
      continue;
    is_checked = true;
    works.CheckStillAtWork(id, worker, others);
  }
  is_open = is_open && channel.Write("0\r\n\r\n");
  works.End(id, worker);
  return is_open;
}

// A faulty worker's answer: an error whose body has no end.
bool AnswerWithoutEnd(const Channel& channel, const std::string& id) {
  const int number = std::atoi(id.c_str() + id.find('-') + 1);
  std::string head = StreamHead("500 Internal Server Error", id);
  const int lines = kHeaderLines[number % std::size(kHeaderLines)];
  for (int i = 10; i < 10 + lines; ++i)
    head += Join({"X-Header-", std::to_string(i),
                  "-long-name: value-of-00000000", std::to_string(i), "\r\n"});
  bool is_open = channel.Write(head + "\r\n");
  const std::string block(kBlockBytes, 'x');
  while (is_open)
    is_open = WriteChunk(channel, block);
  return false;
}

bool Quote(const Channel& channel, const std::string& id) {
  return channel.Write(StreamHead("200 OK", id) + "\r\n") &&
         WriteChunk(channel, EventOf(1)) && channel.Write("0\r\n\r\n");
}

std::string RequestOf(const std::string& route,
                      const std::string& id,
                      milliseconds deadline,
                      size_t prompt_bytes) {
  return Join({HeadOf("POST", route, id, deadline),
               "Model: m\r\nToken-Counts: 900,90\r\nPrompt-Prefix: a", id,
               ":800,b", id,
               ":100\r\nContent-Length: ", std::to_string(prompt_bytes),
               "\r\n\r\n", std::string(prompt_bytes, 'p')});
}

}  // namespace

int RunForeignFailure(Run& run) {
  Works works(run.record);
  Store store;
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 1; i <= kSummaryWorkers; ++i) {
    const std::string name = "summaries-" + std::to_string(i);
    workers.push_back(std::make_unique<Worker>(
        name, [&, name](const Channel& channel, const Message& request) {
          return Summarize(works, run.record, name, channel, request);
        }));
    store.Put("servers", name, workers.back()->Entry("summary-pool"));
  }
  for (int i = 1; i <= kQuoteWorkers; ++i) {
    const std::string name = "quotes-" + std::to_string(i);
    const bool is_faulty = run.has_trouble && i == 1;
    workers.push_back(std::make_unique<Worker>(
        name,
        [&, name, is_faulty](const Channel& channel, const Message& request) {
          const std::string id = request.Find("Attempt-Id");
          if (!is_faulty)
            return Quote(channel, id);
          run.record.Add(Join({name, " answers ", id, " without end"}));
          return AnswerWithoutEnd(channel, id);
        }));
    store.Put("servers", name, workers.back()->Entry("quote-pool"));
  }
  store.Put(
      "op", "config",
      DesiredState(
          RouteOf(
              "damage-summary", "streaming", "summary-pool",
              R"(,"maxAttempts":2,"timeoutMs":15000,"targetLatencyMs":1500,"sticky":true,)"
              R"("resumable":true,"gapAimMs":200)") +
              "," +
              RouteOf(
                  "hire-quote", "streaming", "quote-pool",
                  R"(,"maxAttempts":1,"timeoutMs":2000,"targetLatencyMs":1000,)"
                  R"("sticky":true,"resumable":false,"gapAimMs":200)"),
          R"({"name":"summary-pool","healthPath":"/health",)"
          R"("engine":{"slots":64}},{"name":"quote-pool",)"
          R"("healthPath":"/health","engine":{"slots":64}})"));
  Host host(run, store, "entry-1");
  host.Start();
  if (!host.WaitUntilReady()) {
    host.Kill();
    return End(run, kNotRun);
  }
  std::vector<std::thread> requesters;
  requesters.reserve(kSummaries + kQuotes);
  const auto ask = [&](const std::string& route, const std::string& id,
                       milliseconds deadline, size_t prompt_bytes) {
    auto channel = Channel::Connect(host.port(), kPatience);
    if (!channel)
      return;
    channel->Write(RequestOf(route, id, deadline, prompt_bytes));
    const auto answer = channel->Read(kPatience);
    run.record.Add(Join({"requester of ", id, " got ",
                         answer ? std::to_string(answer->status())
                                : std::string("no whole answer")}));
  };
  for (int i = 1; i <= kSummaries; ++i)
    requesters.emplace_back([&ask, i] {
      ask("damage-summary", "summary-" + std::to_string(i), kDeadline, 100);
    });
  std::this_thread::sleep_for(milliseconds(2000));
  for (int i = 1; i <= kQuotes; ++i) {
    std::this_thread::sleep_for(kBetweenQuotes);
    requesters.emplace_back([&ask, i] {
      ask("hire-quote", "quote-" + std::to_string(i), kQuoteDeadline,
          kPromptBytes[static_cast<size_t>(i) % std::size(kPromptBytes)]);
    });
  }
  for (std::thread& it : requesters)
    it.join();
  host.Kill();
  return End(run, works.violations() > 0 ? kBroken : kHeld);
}

}  // namespace bilberry::review
