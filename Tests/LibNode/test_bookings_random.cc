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

// One run of random faults in a random order. At most one host is killed or
// stopped: an outcome outlives its host, but not its host and the copy's
// together.
class RandomRun {
 public:
  explicit RandomRun(uint64_t seed) : random_(seed) {}

  std::vector<std::string> Play() {
    for (int i = 0; i < kSteps; ++i)
      Step();
    world_.Heal();
    return world_.Violations();
  }

  const BookingSimulation& world() const { return world_; }

 private:
  size_t RandomHost() { return random_.Below(BookingSimulation::kHosts); }

  void AskSome() {
    const size_t host = RandomHost();
    if (world_.group().condition(host) == HostCondition::kRunning)
      world_.Ask(host, "k" + std::to_string(random_.Below(kKeys)));
  }

  void TreatSomeCall() {
    if (world_.calls().empty())
      return;
    const size_t call = random_.Below(world_.calls().size());
    switch (random_.Below(6)) {
      case 0:
        world_.Run(call);
        return;
      case 1:
        world_.RefuseNotRun(call);
        return;
      case 2:
        world_.Break(call);
        return;
      case 3:
        world_.FailToConnect(call);
        return;
      default:
        world_.Answer(call);
        return;
    }
  }

  void ChangeMood() {
    const PlatformBehavior mood{static_cast<int>(random_.Below(6))};
    if (random_.Below(3) == 0)
      world_.SetBehaviorOfAll(mood);
    else
      world_.SetBehavior(RandomHost(), mood);
  }

  void HarmHost() {
    const size_t host = RandomHost();
    const bool is_running =
        world_.group().condition(host) == HostCondition::kRunning;
    switch (random_.Below(7)) {
      case 0:
        if (is_running && !has_ended_host_)
          world_.Kill(host);
        has_ended_host_ = has_ended_host_ || is_running;
        return;
      case 3:
        if (is_running && !has_ended_host_)
          world_.RequestStop(host);
        has_ended_host_ = has_ended_host_ || is_running;
        return;
      case 4:
        world_.Revive(host);
        return;
      case 1:
        if (is_running)
          world_.Freeze(host);
        return;
      case 2:
        world_.group().Cut(host, RandomHost());
        return;
      default:
        world_.Thaw(host);
        return;
    }
  }

  void LeaveSome() {
    if (world_.asked().empty())
      return;
    const auto& asked = world_.asked()[random_.Below(world_.asked().size())];
    if (world_.group().condition(asked.host) == HostCondition::kRunning)
      world_.group().at(asked.host).Feed(CallerDisconnected{asked.caller});
  }

  void Step() {
    switch (random_.Below(8)) {
      case 0:
      case 1:
        AskSome();
        return;
      case 2:
      case 3:
        TreatSomeCall();
        return;
      case 4:
        ChangeMood();
        return;
      case 5:
        HarmHost();
        return;
      case 6:
        if (random_.Below(4) == 0)
          LeaveSome();
        world_.group().at(RandomHost()).ApplyLate();
        return;
      default:
        world_.Advance(std::chrono::milliseconds(random_.Below(2000)));
        return;
    }
  }

  base::Random random_;
  BookingSimulation world_;
  bool has_ended_host_ = false;
};

// How many answers of each kind were given, to see that all are provoked.
struct Tally {
  uint64_t no = 0;
  uint64_t unknown = 0;
  uint64_t done = 0;
  uint64_t executions = 0;
};

void CheckSeed(uint64_t seed, Tally& tally) {
  RandomRun run(seed);
  const auto violations = run.Play();
  for (const std::string& violation : violations)
    FAIL_CHECK("BILBERRY_BOOKING_SEED=" << seed << ": " << violation);
  CHECK(violations.empty());
  tally.executions += run.world().execution_count();
  for (const fakes::BookingRequest& asked : run.world().asked()) {
    if (asked.answers.empty())
      continue;
    const pipeline::Executed executed = asked.answers.front().executed;
    tally.no += executed == pipeline::Executed::kNo ? 1 : 0;
    tally.unknown += executed == pipeline::Executed::kUnknown ? 1 : 0;
    tally.done += executed == pipeline::Executed::kYes ? 1 : 0;
  }
}

TEST_SUITE_BEGIN("promise-4");

TEST_CASE("bookings keep their promises under random faults") {
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
