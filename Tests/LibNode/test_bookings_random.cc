#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

#include "Fakes/booking_simulation.h"
#include "LibBase/random.h"

namespace bilberry::node {
namespace {

using fakes::BookingSimulation;
using fakes::HostCondition;
using fakes::PlatformBehavior;

constexpr uint64_t kSeeds = 20'000;
constexpr int kSteps = 24;
constexpr uint64_t kKeys = 3;

// A random sequence of requests and faults. At most one host is killed or
// stopped, since an outcome survives the loss of its host, but not of both the
// host and the holder of the copy.
class RandomRun {
 public:
  explicit RandomRun(uint64_t seed) : random_(seed) {}

  std::vector<std::string> Run() {
    for (int i = 0; i < kSteps; ++i)
      Step();
    simulation_.Heal();
    return simulation_.Violations();
  }

  const BookingSimulation& simulation() const { return simulation_; }

 private:
  size_t RandomHost() { return random_.Below(BookingSimulation::kHosts); }

  void SendRandomRequest() {
    const size_t host = RandomHost();
    if (simulation_.group().condition(host) == HostCondition::kRunning)
      simulation_.Ask(host, "k" + std::to_string(random_.Below(kKeys)));
  }

  void EndRandomCall() {
    if (simulation_.calls().empty())
      return;
    const size_t call = random_.Below(simulation_.calls().size());
    switch (random_.Below(6)) {
      case 0:
        simulation_.Run(call);
        return;
      case 1:
        simulation_.RefuseNotRun(call);
        return;
      case 2:
        simulation_.Break(call);
        return;
      case 3:
        simulation_.FailToConnect(call);
        return;
      default:
        simulation_.Answer(call);
        return;
    }
  }

  void ChangeBehavior() {
    const PlatformBehavior behavior{static_cast<int>(random_.Below(6))};
    if (random_.Below(3) == 0)
      simulation_.SetBehaviorOfAll(behavior);
    else
      simulation_.SetBehavior(RandomHost(), behavior);
  }

  void DisturbRandomHost() {
    const size_t host = RandomHost();
    const bool is_running =
        simulation_.group().condition(host) == HostCondition::kRunning;
    switch (random_.Below(7)) {
      case 0:
        if (is_running && !has_ended_host_)
          simulation_.Kill(host);
        has_ended_host_ = has_ended_host_ || is_running;
        return;
      case 3:
        if (is_running && !has_ended_host_)
          simulation_.RequestStop(host);
        has_ended_host_ = has_ended_host_ || is_running;
        return;
      case 4:
        simulation_.Revive(host);
        return;
      case 1:
        if (is_running)
          simulation_.Freeze(host);
        return;
      case 2:
        simulation_.group().Cut(host, RandomHost());
        return;
      default:
        simulation_.Thaw(host);
        return;
    }
  }

  void CloseRandomCaller() {
    if (simulation_.requests().empty())
      return;
    const auto& request =
        simulation_.requests()[random_.Below(simulation_.requests().size())];
    if (simulation_.group().condition(request.host) == HostCondition::kRunning)
      simulation_.group()
          .at(request.host)
          .Feed(CallerDisconnected{request.caller});
  }

  void Step() {
    switch (random_.Below(8)) {
      case 0:
      case 1:
        SendRandomRequest();
        return;
      case 2:
      case 3:
        EndRandomCall();
        return;
      case 4:
        ChangeBehavior();
        return;
      case 5:
        DisturbRandomHost();
        return;
      case 6:
        if (random_.Below(4) == 0)
          CloseRandomCaller();
        simulation_.group().at(RandomHost()).ApplyLate();
        return;
      default:
        simulation_.Advance(std::chrono::milliseconds(random_.Below(2000)));
        return;
    }
  }

  base::Random random_;
  BookingSimulation simulation_;
  bool has_ended_host_ = false;
};

// Counts of each kind of answer, to check that all kinds occur.
struct Tally {
  uint64_t no = 0;
  uint64_t unknown = 0;
  uint64_t done = 0;
  uint64_t executions = 0;
};

void CheckSeed(uint64_t seed, Tally& tally) {
  RandomRun run(seed);
  const auto violations = run.Run();
  for (const std::string& violation : violations)
    FAIL_CHECK("BILBERRY_BOOKING_SEED=" << seed << ": " << violation);
  CHECK(violations.empty());
  tally.executions += run.simulation().execution_count();
  for (const fakes::BookingRequest& request : run.simulation().requests()) {
    if (request.answers.empty())
      continue;
    const pipeline::Executed executed = request.answers.front().executed;
    tally.no += executed == pipeline::Executed::kNo ? 1 : 0;
    tally.unknown += executed == pipeline::Executed::kUnknown ? 1 : 0;
    tally.done += executed == pipeline::Executed::kYes ? 1 : 0;
  }
}

TEST_SUITE_BEGIN("promise-4");

TEST_CASE("booking invariants hold under random faults") {
  if (const char* seed = std::getenv("BILBERRY_BOOKING_SEED")) {
    Tally tally;
    CheckSeed(std::strtoull(seed, nullptr, 10), tally);
    return;
  }
  Tally tally;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed)
    CheckSeed(seed, tally);
  MESSAGE("executions " << tally.executions << ", answered done " << tally.done
                        << ", not run " << tally.no << ", unknown "
                        << tally.unknown);
  for (const uint64_t count :
       {tally.executions, tally.done, tally.no, tally.unknown})
    CHECK(count >= kSeeds / 4);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::node
