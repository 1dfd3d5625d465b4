#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibBase/random.h"
#include "LibPolicy/pool_scheduler.h"

namespace bilberry::policy {

// Requests of one kind, which arrive as a Poisson process.
struct Traffic {
  std::string name;
  declare::Rank rank = declare::Rank::kOrdinary;
  double per_second = 0;
  std::chrono::milliseconds deadline{1000};
  std::chrono::milliseconds from{0};
  std::chrono::milliseconds until{0};  // 0: until the end.
};

// How an endpoint treats requests.
enum class EndpointMode {
  kServing,
  kRefusing,  // No connection can be made.
  kSilent,    // Nothing comes back.
};

// A change of one endpoint's behavior at a point in time.
struct EndpointChange {
  std::chrono::milliseconds at{0};
  size_t endpoint = 0;
  double slowdown = 1;  // Multiplies service times.
  EndpointMode mode = EndpointMode::kServing;
};

// A pool, its entry hosts and their traffic. Service times are uniformly
// distributed between half and one and a half of `service`.
struct Scenario {
  PolicyKind policy = PolicyKind::kAdaptive;
  uint64_t seed = 1;
  size_t hosts = 3;
  size_t endpoints = 9;
  // Concurrent requests of an endpoint; the others queue there.
  uint32_t slots = 4;
  uint32_t declared_slots = 4;
  size_t stages = 1;
  std::chrono::milliseconds service{50};
  std::chrono::milliseconds length{20'000};
  // Runs before this time are not counted.
  std::chrono::milliseconds warm_up{2'000};
  // Runs that arrive this soon after a change are not counted.
  std::chrono::milliseconds after_change{0};
  RankShares shares{{50, 20, 5}};
  std::vector<Traffic> traffic;
  std::vector<EndpointChange> changes;

  // Runs per second that the pool can serve.
  double Capacity() const;
};

// Results of the runs of one Traffic.
struct TrafficResult {
  uint64_t runs = 0;
  uint64_t in_time = 0;
  uint64_t refused = 0;     // By admission control.
  base::Duration served{};  // Stage time of runs in time.
  base::Duration wasted{};  // Stage time of runs that missed their deadline.

  double InTimePercent() const;
};

struct SimulationResult {
  std::map<std::string, TrafficResult> traffic;
  uint64_t first_tries = 0;
  uint64_t retries = 0;

  TrafficResult Sum() const;
};

// Discrete-event simulation of a scenario: endpoints with bounded concurrency
// and a queue, and entry hosts with one PoolScheduler each, which exchange
// their requests in flight every half second.
class PoolSimulation {
 public:
  explicit PoolSimulation(Scenario scenario);

  SimulationResult Run();

 private:
  enum class EventKind { kArrival, kServed, kDeadline, kShare, kChange };

  struct Event {
    base::TimePoint at;
    uint64_t order = 0;
    EventKind kind = EventKind::kArrival;
    uint64_t subject = 0;  // Index of the traffic, run, host or change.
    uint64_t attempt = 0;

    friend auto operator<=>(const Event&, const Event&) = default;
  };

  struct RunState {
    size_t traffic = 0;
    size_t host = 0;
    base::TimePoint arrived;
    base::TimePoint deadline;
    size_t stage = 0;
    size_t tries = 0;      // Attempts of the current stage.
    uint64_t attempt = 0;  // 0 when no attempt is in flight.
    size_t endpoint = 0;
    base::TimePoint sent;
    base::Duration spent{};
    std::vector<base::EndpointName> avoided;
  };

  struct EndpointState {
    double slowdown = 1;
    EndpointMode mode = EndpointMode::kServing;
    uint32_t serving = 0;
    std::deque<uint64_t> waiting;  // Queued attempts.
  };

  struct AttemptState {
    uint64_t run = 0;
    size_t endpoint = 0;
    base::Duration service{};
    bool is_serving = false;
  };

  void Schedule(base::TimePoint at,
                EventKind kind,
                uint64_t subject,
                uint64_t attempt = 0);
  void Handle(const Event& event);
  void Arrive(size_t traffic);
  void ScheduleArrival(size_t traffic);
  bool IsQuarantined(const RunState& state) const;
  void OfferStage(uint64_t run);
  void DispatchAll(size_t host);
  void Send(size_t host, const Dispatch& dispatch);
  void Serve(uint64_t attempt);
  void EndService(uint64_t attempt);
  void FailLater(uint64_t attempt);
  void EndAttempt(uint64_t run, AttemptVerdict verdict);
  void HandleAnswer(uint64_t run);
  void HandleFailure(uint64_t run);
  void Expire(uint64_t run);
  void EndRun(uint64_t run, bool is_in_time);
  void ShareLoads();
  void Apply(const EndpointChange& change);
  bool IsCounted(const RunState& state) const;
  TrafficResult* ResultOf(const RunState& state);

  Scenario scenario_;
  base::Random random_;
  base::TimePoint now_;
  uint64_t last_order_ = 0;
  uint64_t last_run_ = 0;
  uint64_t last_attempt_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<PoolScheduler> hosts_;
  std::vector<EndpointState> endpoints_;
  std::unordered_map<uint64_t, RunState> runs_;
  std::unordered_map<uint64_t, AttemptState> attempts_;
  SimulationResult result_;
};

}  // namespace bilberry::policy
