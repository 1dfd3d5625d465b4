#include <doctest/doctest.h>

#include "Fakes/booking_simulation.h"

namespace bilberry::node {
namespace {

using fakes::BookingSimulation;
using fakes::PlatformBehavior;
using pipeline::Executed;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kInterval{5};  // 200 bookings per second.
constexpr int kBookingsPerSecond = seconds(1) / kInterval;

// Sends new bookings to host 0 at this rate and answers each an interval later.
void GenerateLoad(BookingSimulation& simulation,
                  const std::string& prefix,
                  seconds duration) {
  for (int i = 0; i < duration / kInterval; ++i) {
    simulation.Ask(0, prefix + std::to_string(i));
    simulation.Advance(kInterval);
    simulation.AnswerAll();
  }
}

TEST_SUITE_BEGIN("promise-4");

TEST_CASE("a single booking takes two transactions without a batching delay") {
  BookingSimulation simulation;
  simulation.Advance(seconds(1));
  const auto before = simulation.store().counts().transactions;
  simulation.Ask(0, "k");
  REQUIRE(simulation.calls().size() == 1);
  simulation.Answer(0);
  CHECK(simulation.requests()[0].answers.size() == 1);
  CHECK(simulation.store().counts().transactions - before == 2);
}

TEST_CASE("at 200 bookings per second four bookings share a transaction") {
  BookingSimulation simulation;
  const auto before = simulation.store().counts().transactions;
  GenerateLoad(simulation, "k", seconds(10));
  const auto taken = simulation.store().counts().transactions - before;
  MESSAGE("transactions for " << 10 * kBookingsPerSecond
                              << " bookings: " << taken);
  CHECK(taken * 4 <= 10 * kBookingsPerSecond);
  simulation.Heal();
  CHECK(simulation.Violations().empty());
}

struct Tally {
  int done = 0;
  int refused = 0;
  int unknown = 0;
};

Tally Count(const BookingSimulation& simulation, const std::string& prefix) {
  Tally tally;
  for (const fakes::BookingRequest& request : simulation.requests()) {
    if (!request.key.starts_with(prefix))
      continue;
    REQUIRE(request.answers.size() == 1);
    const Executed executed = request.answers[0].executed;
    tally.done += executed == Executed::kYes ? 1 : 0;
    tally.refused += executed == Executed::kNo ? 1 : 0;
    tally.unknown += executed == Executed::kUnknown ? 1 : 0;
  }
  return tally;
}

TEST_CASE("a table outage of 30 s causes no double execution") {
  for (const PlatformBehavior behavior :
       {PlatformBehavior::kUnreachable, PlatformBehavior::kRequestLost,
        PlatformBehavior::kAnswerLost}) {
    BookingSimulation simulation;
    GenerateLoad(simulation, "before-", seconds(2));
    for (int i = 0; i < 4; ++i)
      simulation.Ask(0, "sent-" + std::to_string(i));
    simulation.Advance(milliseconds(50));
    simulation.SetBehaviorOfAll(behavior);
    GenerateLoad(simulation, "during-", seconds(30));
    simulation.SetBehaviorOfAll(PlatformBehavior::kHealthy);
    simulation.Advance(seconds(1));
    GenerateLoad(simulation, "after-", seconds(2));
    simulation.Heal();
    for (const std::string& violation : simulation.Violations())
      FAIL_CHECK(violation);
    const Tally before = Count(simulation, "before-");
    CHECK(Count(simulation, "sent-").done == 4);
    const Tally during = Count(simulation, "during-");
    const Tally after = Count(simulation, "after-");
    MESSAGE("behavior " << static_cast<int>(behavior) << ": before "
                        << before.done << " done, " << before.unknown
                        << " unknown; during " << during.refused << " refused, "
                        << during.unknown << " unknown, " << during.done
                        << " done; after " << after.done << " done, "
                        << after.refused << " refused");
    CHECK(before.unknown == 0);
    CHECK(during.unknown == 0);
    CHECK(after.done == 2 * kBookingsPerSecond);
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::node
