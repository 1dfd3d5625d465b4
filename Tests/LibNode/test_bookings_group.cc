#include <doctest/doctest.h>

#include "Fakes/booking_simulation.h"

namespace bilberry::node {
namespace {

using fakes::BookingSimulation;
using fakes::PlatformBehavior;

enum class Moment {
  kBeforeClaim,
  kClaimOnItsWay,
  kSent,
  kExecuted,
  kAnswerOnItsWayToTable,
  kRecorded,
};

enum class Trouble {
  kHostKilled,
  kHostFrozen,
  kTableDown,
  kTableSilent,
  kTableAnswerLost,
  kTableEffectLate,
  kEndpointDead,
  kCallerLeft,
};

void Strike(BookingSimulation& world, Trouble trouble) {
  switch (trouble) {
    case Trouble::kHostKilled:
      world.Kill(0);
      return;
    case Trouble::kHostFrozen:
      world.Freeze(0);
      return;
    case Trouble::kTableDown:
      world.SetBehaviorOfAll(PlatformBehavior::kUnreachable);
      return;
    case Trouble::kTableSilent:
      world.SetBehaviorOfAll(PlatformBehavior::kHeld);
      return;
    case Trouble::kTableAnswerLost:
      world.SetBehaviorOfAll(PlatformBehavior::kAnswerLost);
      return;
    case Trouble::kTableEffectLate:
      world.SetBehaviorOfAll(PlatformBehavior::kEffectLate);
      return;
    case Trouble::kEndpointDead:
      world.BreakAll();
      return;
    case Trouble::kCallerLeft:
      world.group().at(0).Feed(CallerDisconnected{world.asked().at(0).caller});
      return;
  }
}

// Brings a booking at host 0 to the moment and has the trouble strike there.
void Play(BookingSimulation& world, Moment moment, Trouble trouble) {
  if (moment == Moment::kBeforeClaim && trouble != Trouble::kCallerLeft)
    Strike(world, trouble);
  if (world.group().condition(0) != fakes::HostCondition::kRunning)
    return;
  if (moment == Moment::kClaimOnItsWay)
    world.SetBehavior(0, PlatformBehavior::kHeld);
  world.Ask(0, "k");
  if (moment >= Moment::kExecuted)
    world.Run(0);
  if (moment == Moment::kAnswerOnItsWayToTable)
    world.SetBehavior(0, PlatformBehavior::kHeld);
  if (moment >= Moment::kAnswerOnItsWayToTable)
    world.Answer(0);
  if (moment != Moment::kBeforeClaim || trouble == Trouble::kCallerLeft)
    Strike(world, trouble);
}

TEST_SUITE_BEGIN("promise-4");

TEST_CASE("a booking runs at most once, whatever fails at whichever moment") {
  for (int moment = 0; moment <= static_cast<int>(Moment::kRecorded);
       ++moment) {
    for (int trouble = 0; trouble <= static_cast<int>(Trouble::kCallerLeft);
         ++trouble) {
      CAPTURE(moment);
      CAPTURE(trouble);
      BookingSimulation world;
      Play(world, Moment{moment}, Trouble{trouble});
      for (const size_t host : {1, 2})
        world.Ask(host, "k");
      world.Advance(std::chrono::seconds(5));
      for (const size_t host : {1, 2})
        world.Ask(host, "k");
      world.Heal();
      for (const size_t host : {0, 1, 2})
        world.Ask(host, "k");
      world.AnswerAll();
      world.Advance(std::chrono::seconds(5));
      for (const std::string& violation : world.Violations())
        FAIL_CHECK(violation);
    }
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::node
