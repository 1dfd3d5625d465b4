#include <doctest/doctest.h>

#include <utility>

#include "Fakes/node_harness.h"
#include "Fakes/platform_store.h"
#include "LibBooking/booking_record.h"

namespace bilberry::node {
namespace {

using namespace std::chrono_literals;
using declare::Rank;
using report::RunOutcome;

booking::BookingRecord Unwrap(base::Result<booking::BookingRecord> result) {
  if (!result)
    FAIL(ToText(result.error()));
  return std::move(result.value());
}

struct World {
  World() {
    fakes::PutSmallDeployment(store);
    harness.Advance(2s);
  }

  report::ServiceReport Report() {
    return harness.node().Report(harness.now());
  }

  uint64_t Count(RunOutcome outcome) {
    uint64_t count = 0;
    for (const auto& [key, counts] : Report().outcomes)
      count += counts[static_cast<size_t>(outcome)];
    return count;
  }

  fakes::PlatformStore store;
  fakes::NodeHarness harness{store, fakes::MakeOptions("entry-1", 1)};
};

TEST_CASE("a run that is answered in time is met, with its stage's time") {
  World world;
  world.harness.Call("stock");
  const auto sent = world.harness.TakeSent();
  REQUIRE(sent.size() == 1);
  world.harness.Advance(20ms);
  world.harness.AnswerAttempt(sent[0], "{}");
  CHECK(world.Count(RunOutcome::kMet) == 1);
  const auto report = world.Report();
  REQUIRE(report.stages.size() == 1);
  CHECK(report.stages.begin()->second.spent == 20ms);
  CHECK(report.stages.begin()->second.wasted == 0ms);
  CHECK(report.teams.begin()->first.name == "t");
  CHECK(report.revision > 0);
  CHECK(report.TargetOf(Rank::kUrgent) > 0);
}

TEST_CASE("a run without an answer lapses, and its time was wasted") {
  World world;
  world.harness.Call("stock");
  REQUIRE(world.harness.TakeSent().size() == 1);
  world.harness.Advance(1min);
  CHECK(world.Count(RunOutcome::kDeadlineExpired) == 1);
  const auto report = world.Report();
  CHECK(report.stages.begin()->second.wasted > 0ms);
  CHECK(report.stages.begin()->second.level.total.missed == 1);
}

TEST_CASE("a caller who leaves is neither met nor missed") {
  World world;
  const auto caller = world.harness.Call("stock");
  world.harness.Feed(CallerDisconnected{caller});
  CHECK(world.Count(RunOutcome::kAbandoned) == 1);
  CHECK(world.Report().ranks.begin()->second.level.total.total() == 0);
}

TEST_CASE("bad input is no miss, and a refusal at a stop is one") {
  World world;
  world.harness.Call("no-such-pipeline");
  CHECK(world.Report().ranks.empty());
  world.harness.Call("stock");  // Keeps the host from ending.
  world.harness.Feed(StopRequested{});
  world.harness.Call("no-such-pipeline");
  world.harness.Call("stock");
  CHECK(world.Count(RunOutcome::kRefused) == 1);
}

TEST_CASE("a booking held elsewhere is a miss, a key used twice is not") {
  World world;
  booking::BookingRecord record;
  record.claimer = {"entry-2"};
  record.digest = "of another request";
  auto put = [&](const char* row) {
    world.store.Apply(base::WriteRows{
        {{row, base::RowVersion::kAbsent, booking::SerializeRecord(record)}}});
  };
  put("booking/t/reused");
  world.harness.Call("booking", "reused");
  CHECK(world.Count(RunOutcome::kCallerFault) == 1);
  world.harness.Call("booking", "first");
  const auto first = world.store.rows().at("booking/t/first");
  record = Unwrap(booking::ParseRecord(first.value));
  record.claimer = {"entry-2"};
  put("booking/t/held");
  world.harness.Call("booking", "held");
  // The claimer is asked, and never answers.
  world.harness.Advance(1min);
  CHECK(world.Count(RunOutcome::kCallerFault) == 1);
  CHECK(world.Report().ranks.at(Rank::kUrgent).level.total.missed == 2);
}

TEST_CASE("a request before there is a configuration is a refusal") {
  fakes::PlatformStore store;
  fakes::NodeHarness harness(store, fakes::MakeOptions("entry-1", 1));
  harness.Advance(2s);
  harness.Call("stock");
  CHECK(harness.node().Report(harness.now()).refused_unready == 1);
}

}  // namespace
}  // namespace bilberry::node
