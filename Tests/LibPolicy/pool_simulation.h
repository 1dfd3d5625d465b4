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

// Requests of one kind, arriving at random as a Poisson process.
struct Traffic {
  std::string name;
  declare::Rank rank = declare::Rank::kOrdinary;
  double per_second = 0;
  std::chrono::milliseconds deadline{1000};
  std::chrono::milliseconds from{0};
  std::chrono::milliseconds until{0};  // 0: to the end.
};

// What an endpoint does with requests.
enum class EndpointFate {
  kServing,
  kRefusing,  // No connection can be made.
  kSilent,    // Nothing comes back.
};

// What happens to one endpoint from a moment on.
struct EndpointChange {
  std::chrono::milliseconds at{0};
  size_t endpoint = 0;
  double slowness = 1;  // Multiplies service times.
  EndpointFate fate = EndpointFate::kServing;
};

// A pool, its entry hosts and what comes to them. Times are those of the
// declared pool: each stage takes half to one and a half of `service`.
struct Scenario {
  PolicyKind policy = PolicyKind::kAdaptive;
  uint64_t seed = 1;
  size_t hosts = 3;
  size_t endpoints = 9;
  uint32_t slots = 4;  // Served at once by an endpoint; the rest waits there.
  uint32_t declared_slots = 4;
  size_t stages = 1;
  std::chrono::milliseconds service{50};
  std::chrono::milliseconds length{20'000};
  // Results count from here on.
  std::chrono::milliseconds warm_up{2'000};
  // Runs that come so soon after a change don't count.
  std::chrono::milliseconds after_change{0};
  RankShares shares{{50, 20, 5}};
  std::vector<Traffic> traffic;
  std::vector<EndpointChange> changes;

  // Runs a second that the pool can serve.
  double Capacity() const;
};

// How the runs of one Traffic fared.
struct TrafficResult {
  uint64_t runs = 0;
  uint64_t in_time = 0;
  uint64_t refused = 0;     // At the door.
  base::Duration served{};  // Stage time of answers in time.
  base::Duration wasted{};  // Stage time spent on runs that then missed.

  double InTimePercent() const;
};

struct SimulationResult {
  std::map<std::string, TrafficResult> traffic;
  uint64_t first_tries = 0;
  uint64_t retries = 0;

  TrafficResult Sum() const;
};

// Runs a scenario in virtual time: endpoints that serve some requests at once
// and queue the rest, entry hosts with a PoolScheduler each, which share what
// they have in flight every half a second.
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
    uint64_t subject = 0;  // Traffic, run, host or change, by its index.
    uint64_t attempt = 0;

    friend auto operator<=>(const Event&, const Event&) = default;
  };

  struct RunState {
    size_t traffic = 0;
    size_t host = 0;
    base::TimePoint arrived;
    base::TimePoint deadline;
    size_t stage = 0;
    size_t tries = 0;      // Of the present stage.
    uint64_t attempt = 0;  // 0 when none is under way.
    size_t endpoint = 0;
    base::TimePoint sent;
    base::Duration spent{};
    std::vector<base::EndpointName> avoided;
  };

  struct EndpointState {
    double slowness = 1;
    EndpointFate fate = EndpointFate::kServing;
    uint32_t serving = 0;
    std::deque<uint64_t> waiting;  // Attempts.
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
  void Lapse(uint64_t run);
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
