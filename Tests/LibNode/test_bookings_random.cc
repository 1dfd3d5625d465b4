#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

#include "Fakes/booking_world.h"
#include "LibBase/random.h"

namespace bilberry::node {
namespace {

using fakes::BookingWorld;
using fakes::HostCondition;
using fakes::PlatformMood;

constexpr uint64_t kSeeds = 20'000;
constexpr int kSteps = 24;
constexpr uint64_t kKeys = 3;

// One run of random faults in a random order. At most one host is killed: an
// outcome outlives its host, but not its host and the copy's together.
class RandomRun {
 public:
  explicit RandomRun(uint64_t seed) : random_(seed) {}

  std::vector<std::string> Play() {
    for (int i = 0; i < kSteps; ++i)
      Step();
    world_.Heal();
    return world_.Violations();
  }

 private:
  size_t RandomHost() { return random_.Below(BookingWorld::kHosts); }

  void AskSome() {
    const size_t host = RandomHost();
    if (world_.group().condition(host) == HostCondition::kRunning)
      world_.Ask(host, "k" + std::to_string(random_.Below(kKeys)));
  }

  void TreatSomeCall() {
    if (world_.calls().empty())
      return;
    const size_t call = random_.Below(world_.calls().size());
    switch (random_.Below(5)) {
      case 0:
        world_.Run(call);
        return;
      case 1:
        world_.RefuseNotRun(call);
        return;
      case 2:
        world_.Break(call);
        return;
      default:
        world_.Answer(call);
        return;
    }
  }

  void ChangeMood() {
    const PlatformMood mood{static_cast<int>(random_.Below(6))};
    if (random_.Below(3) == 0)
      world_.SetMoodOfAll(mood);
    else
      world_.SetMood(RandomHost(), mood);
  }

  void HarmHost() {
    const size_t host = RandomHost();
    const bool is_running =
        world_.group().condition(host) == HostCondition::kRunning;
    switch (random_.Below(5)) {
      case 0:
        if (is_running && !was_killed_)
          world_.Kill(host);
        was_killed_ = was_killed_ || is_running;
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
      world_.group().at(asked.host).Feed(CallerLeft{asked.caller});
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
  BookingWorld world_;
  bool was_killed_ = false;
};

void CheckSeed(uint64_t seed) {
  const auto violations = RandomRun(seed).Play();
  for (const std::string& violation : violations)
    FAIL_CHECK("BILBERRY_BOOKING_SEED=" << seed << ": " << violation);
}

TEST_SUITE_BEGIN("promise-4");

TEST_CASE("bookings keep their promises under random faults") {
  if (const char* seed = std::getenv("BILBERRY_BOOKING_SEED")) {
    CheckSeed(std::strtoull(seed, nullptr, 10));
    return;
  }
  for (uint64_t seed = 1; seed <= kSeeds; ++seed)
    CheckSeed(seed);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::node
