#include <algorithm>
#include <memory>
#include <thread>
#include <vector>

#include "cases.h"

namespace bilberry::review {

namespace {

using std::chrono::milliseconds;

constexpr int kHosts = 2;
constexpr int kModelWorkers = 2;
constexpr int kWaves = 3;
constexpr int kRequestsPerWave = 40;
// How many of them a host has at once: all in a burst, few without.
constexpr int kUsualAtOnce = 8;
// The desired state's maxBodyBytes.
constexpr size_t kBodyBytes = 4194304;
// limits.memoryMb of the settings.
constexpr size_t kMemoryBytes = size_t{260} * 1024 * 1024;
constexpr milliseconds kDeadline{15000};
constexpr milliseconds kPatience{15000};
constexpr int kEvents = 91;
constexpr milliseconds kPause{33};
constexpr milliseconds kCheck{2};
constexpr milliseconds kRestartDelay{300};
// Fault: processes end by themselves three times, on two machines at least.
constexpr int kEndsToBreak = 3;

// The requesters' bodies arrive over the host's own link.
class Link {
 public:
  // Returns false if the channel is closed.
  bool Send(const Channel& channel, std::string_view body) {
    for (size_t at = 0; at < body.size(); at += kBlockBytes) {
      std::this_thread::sleep_until(Reserve());
      if (!channel.Write(body.substr(at, kBlockBytes)))
        return false;
    }
    return true;
  }

 private:
  // 2,097 us for a block: limits.linkMbps is 1000.
  static constexpr size_t kBlockBytes = size_t{256} * 1024;
  static constexpr std::chrono::microseconds kBlockTime{2097};

  Clock::time_point Reserve() {
    const std::lock_guard lock(mutex_);
    free_at_ = std::max(free_at_, Clock::now()) + kBlockTime;
    return free_at_;
  }

  std::mutex mutex_;
  Clock::time_point free_at_;
};

// The platform's supervision of one host: kills a process over its memory, and
// starts the host again.
class Supervisor {
 public:
  Supervisor(Run& run, Host& host, const std::string& name)
      : run_(run), host_(host), name_(name), thread_([this] { Watch(); }) {}
  ~Supervisor() {
    is_over_ = true;
    thread_.join();
  }
  Supervisor(const Supervisor&) = delete;
  Supervisor& operator=(const Supervisor&) = delete;

  int ends() const { return ends_; }
  size_t peak() const { return peak_; }

 private:
  void Watch() {
    while (!is_over_) {
      std::this_thread::sleep_for(kCheck);
      const size_t memory = host_.MemoryBytes();
      peak_ = std::max<size_t>(peak_, memory);
      if (memory <= kMemoryBytes && !host_.HasEnded())
        continue;
      run_.record.Add(name_ + " ended with " + std::to_string(memory) +
                      " bytes of memory");
      ++ends_;
      host_.Kill();
      std::this_thread::sleep_for(kRestartDelay);
      host_.Start();
    }
  }

  Run& run_;
  Host& host_;
  std::string name_;
  std::atomic<bool> is_over_ = false;
  std::atomic<int> ends_ = 0;
  std::atomic<size_t> peak_ = 0;
  std::thread thread_;
};

bool Stream(Channel& channel, const Message& request) {
  const std::string id = request.Find("Attempt-Id");
  if (!channel.Write("HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                     "\r\nServer-Seal: s." + id +
                     "\r\nContent-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n"))
    return false;
  for (int i = 1; i <= kEvents; ++i) {
    std::this_thread::sleep_for(kPause);
    // Events of equal size: 16 bytes.
    std::string event = "id: " + std::to_string(i) + "\ndata: t";
    event.resize(14, '.');
    if (!channel.Write("10\r\n" + event + "\n\n\r\n"))
      return false;
  }
  return channel.Write("0\r\n\r\n");
}

}  // namespace

int RunLongBodies(Run& run) {
  std::vector<std::unique_ptr<Worker>> models;
  Store store;
  for (int i = 1; i <= kModelWorkers; ++i) {
    models.push_back(
        std::make_unique<Worker>("model-" + std::to_string(i), Stream));
    store.Put("servers", models.back()->id(),
              models.back()->Entry("lever-pool"));
  }
  store.Put(
      "op", "config",
      DesiredState(
          RouteOf("stock-chat", "streaming", "lever-pool",
                  R"(,"maxAttempts":1,"timeoutMs":15000,"targetLatencyMs":600,)"
                  R"("sticky":true,"resumable":false,"gapAimMs":200)"),
          R"({"name":"lever-pool","healthPath":"/health",)"
          R"("engine":{"slots":64}})"));
  std::vector<std::unique_ptr<Host>> hosts;
  for (int i = 1; i <= kHosts; ++i) {
    hosts.push_back(
        std::make_unique<Host>(run, store, "entry-" + std::to_string(i)));
    hosts.back()->Start();
  }
  const auto are_ready = [&hosts] {
    return std::ranges::all_of(
        hosts, [](const auto& it) { return it->WaitUntilReady(); });
  };
  if (!are_ready()) {
    for (const auto& it : hosts)
      it->Kill();
    return End(run, kNotRun);
  }
  const std::string body(kBodyBytes, 'p');
  std::atomic<int> answered = 0;
  std::atomic<int> lost = 0;
  std::vector<Link> links(kHosts);
  const auto ask = [&](const Host& host, Link& link, const std::string& id) {
    auto channel = Channel::Connect(host.port(), kPatience);
    const bool is_sent =
        channel &&
        channel->Write(HeadOf("POST", "stock-chat", id, kDeadline) +
                       "Model: m\r\nToken-Counts: 900,90\r\n"
                       "Prompt-Prefix: aa:800,bb:100\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n") &&
        link.Send(*channel, body);
    const auto answer = is_sent ? channel->Read(kPatience) : std::nullopt;
    run.record.Add(
        id + (is_sent ? " sent whole, got " : " not sent whole, got ") +
        (answer ? std::to_string(answer->status()) : std::string("no answer")));
    ++(answer ? answered : lost);
  };
  int machines_broken = 0;
  {
    std::vector<std::unique_ptr<Supervisor>> supervisors;
    supervisors.reserve(kHosts);
    for (int i = 0; i < kHosts; ++i)
      supervisors.push_back(std::make_unique<Supervisor>(
          run, *hosts[i], "entry-" + std::to_string(i + 1)));
    for (int wave = 1; wave <= kWaves; ++wave) {
      if (!are_ready())
        break;
      const int at_once = run.has_trouble ? kRequestsPerWave : kUsualAtOnce;
      std::vector<std::thread> requesters;
      for (int i = 0; i < kHosts; ++i) {
        for (int slot = 0; slot < at_once; ++slot) {
          requesters.emplace_back([&, i, slot, wave] {
            for (int n = slot; n < kRequestsPerWave; n += at_once)
              ask(*hosts[i], links[i],
                  "chat-" + std::to_string(i + 1) + "-" + std::to_string(wave) +
                      "-" + std::to_string(n));
          });
        }
      }
      for (std::thread& it : requesters)
        it.join();
    }
    for (const auto& it : supervisors) {
      run.record.Add("ended by themselves: " + std::to_string(it->ends()) +
                     ", peak memory " + std::to_string(it->peak()));
      machines_broken += it->ends() >= kEndsToBreak ? 1 : 0;
    }
  }
  for (const auto& it : hosts)
    it->Kill();
  run.record.Add("answered " + std::to_string(answered) + ", not answered " +
                 std::to_string(lost));
  if (machines_broken < kHosts)
    return End(run, kHeld);
  run.record.Add("Fault: processes ended by themselves three times on " +
                 std::to_string(machines_broken) + " machines");
  return End(run, kBroken);
}

}  // namespace bilberry::review
