#include <doctest/doctest.h>

#include "Fakes/booking_simulation.h"

namespace bilberry::node {
namespace {

using fakes::BookingSimulation;
using fakes::PlatformBehavior;

enum class FaultPoint {
  kBeforeClaim,
  kClaimOnItsWay,
  kSent,
  kExecuted,
  kAnswerOnItsWayToTable,
  kRecorded,
};

enum class Fault {
  kHostKilled,
  kHostFrozen,
  kTableDown,
  kTableSilent,
  kTableAnswerLost,
  kTableEffectLate,
  kEndpointDead,
  kCallerLeft,
};

void InjectFault(BookingSimulation& simulation, Fault fault) {
  switch (fault) {
    case Fault::kHostKilled:
      simulation.Kill(0);
      return;
    case Fault::kHostFrozen:
      simulation.Freeze(0);
      return;
    case Fault::kTableDown:
      simulation.SetBehaviorOfAll(PlatformBehavior::kUnreachable);
      return;
    case Fault::kTableSilent:
      simulation.SetBehaviorOfAll(PlatformBehavior::kHeld);
      return;
    case Fault::kTableAnswerLost:
      simulation.SetBehaviorOfAll(PlatformBehavior::kAnswerLost);
      return;
    case Fault::kTableEffectLate:
      simulation.SetBehaviorOfAll(PlatformBehavior::kEffectLate);
      return;
    case Fault::kEndpointDead:
      simulation.BreakAll();
      return;
    case Fault::kCallerLeft:
      simulation.group().at(0).Feed(
          CallerDisconnected{simulation.requests().at(0).caller});
      return;
  }
}

// Brings a booking at host 0 to `fault_point` and injects the fault there.
void RunCase(BookingSimulation& simulation,
             FaultPoint fault_point,
             Fault fault) {
  if (fault_point == FaultPoint::kBeforeClaim && fault != Fault::kCallerLeft)
    InjectFault(simulation, fault);
  if (simulation.group().condition(0) != fakes::HostCondition::kRunning)
    return;
  if (fault_point == FaultPoint::kClaimOnItsWay)
    simulation.SetBehavior(0, PlatformBehavior::kHeld);
  simulation.Ask(0, "k");
  if (fault_point >= FaultPoint::kExecuted)
    simulation.Run(0);
  if (fault_point == FaultPoint::kAnswerOnItsWayToTable)
    simulation.SetBehavior(0, PlatformBehavior::kHeld);
  if (fault_point >= FaultPoint::kAnswerOnItsWayToTable)
    simulation.Answer(0);
  if (fault_point != FaultPoint::kBeforeClaim || fault == Fault::kCallerLeft)
    InjectFault(simulation, fault);
}

TEST_SUITE_BEGIN("promise-4");

TEST_CASE("a booking runs at most once under every fault at every point") {
  for (int fault_point = 0;
       fault_point <= static_cast<int>(FaultPoint::kRecorded); ++fault_point) {
    for (int fault = 0; fault <= static_cast<int>(Fault::kCallerLeft);
         ++fault) {
      CAPTURE(fault_point);
      CAPTURE(fault);
      BookingSimulation simulation;
      RunCase(simulation, FaultPoint{fault_point}, Fault{fault});
      for (const size_t host : {1, 2})
        simulation.Ask(host, "k");
      simulation.Advance(std::chrono::seconds(5));
      for (const size_t host : {1, 2})
        simulation.Ask(host, "k");
      simulation.Heal();
      for (const size_t host : {0, 1, 2})
        simulation.Ask(host, "k");
      simulation.AnswerAll();
      simulation.Advance(std::chrono::seconds(5));
      for (const std::string& violation : simulation.Violations())
        FAIL_CHECK(violation);
    }
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::node
