#include <doctest/doctest.h>

#include "Fakes/booking_simulation.h"

namespace bilberry::node {
namespace {

using fakes::BookingSimulation;
using fakes::PlatformBehavior;
using pipeline::Executed;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kInterval{5};  // 200 bookings a second.
constexpr int kBookingsPerSecond = seconds(1) / kInterval;

// New bookings at host 0 at the rate; each is answered an interval later.
void Load(BookingSimulation& world,
          const std::string& prefix,
          seconds duration) {
  for (int i = 0; i < duration / kInterval; ++i) {
    world.Ask(0, prefix + std::to_string(i));
    world.Advance(kInterval);
    world.AnswerAll();
  }
}

TEST_SUITE_BEGIN("promise-4");

TEST_CASE("a lone booking takes two transactions and waits for none") {
  BookingSimulation world;
  world.Advance(seconds(1));
  const auto before = world.store().counts().transactions;
  world.Ask(0, "k");
  REQUIRE(world.calls().size() == 1);
  world.Answer(0);
  CHECK(world.asked()[0].answers.size() == 1);
  CHECK(world.store().counts().transactions - before == 2);
}

TEST_CASE("at 200 bookings a second four share a transaction") {
  BookingSimulation world;
  const auto before = world.store().counts().transactions;
  Load(world, "k", seconds(10));
  const auto taken = world.store().counts().transactions - before;
  MESSAGE("transactions for " << 10 * kBookingsPerSecond
                              << " bookings: " << taken);
  CHECK(taken * 4 <= 10 * kBookingsPerSecond);
  world.Heal();
  CHECK(world.Violations().empty());
}

struct Tally {
  int done = 0;
  int refused = 0;
  int unknown = 0;
};

Tally Count(const BookingSimulation& world, const std::string& prefix) {
  Tally tally;
  for (const fakes::BookingRequest& asked : world.asked()) {
    if (!asked.key.starts_with(prefix))
      continue;
    REQUIRE(asked.answers.size() == 1);
    const Executed executed = asked.answers[0].executed;
    tally.done += executed == Executed::kYes ? 1 : 0;
    tally.refused += executed == Executed::kNo ? 1 : 0;
    tally.unknown += executed == Executed::kUnknown ? 1 : 0;
  }
  return tally;
}

TEST_CASE("an outage of the table of 30 s doubles nothing") {
  for (const PlatformBehavior mood :
       {PlatformBehavior::kUnreachable, PlatformBehavior::kRequestLost,
        PlatformBehavior::kAnswerLost}) {
    BookingSimulation world;
    Load(world, "before-", seconds(2));
    for (int i = 0; i < 4; ++i)
      world.Ask(0, "sent-" + std::to_string(i));
    world.Advance(milliseconds(50));
    world.SetBehaviorOfAll(mood);
    Load(world, "during-", seconds(30));
    world.SetBehaviorOfAll(PlatformBehavior::kHealthy);
    world.Advance(seconds(1));
    Load(world, "after-", seconds(2));
    world.Heal();
    for (const std::string& violation : world.Violations())
      FAIL_CHECK(violation);
    const Tally before = Count(world, "before-");
    CHECK(Count(world, "sent-").done == 4);
    const Tally during = Count(world, "during-");
    const Tally after = Count(world, "after-");
    MESSAGE("mood " << static_cast<int>(mood) << ": before " << before.done
                    << " done, " << before.unknown << " unknown; during "
                    << during.refused << " refused, " << during.unknown
                    << " unknown, " << during.done << " done; after "
                    << after.done << " done, " << after.refused << " refused");
    CHECK(before.unknown == 0);
    CHECK(during.unknown == 0);
    CHECK(after.done == 2 * kBookingsPerSecond);
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::node
