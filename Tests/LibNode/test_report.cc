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

struct ReportFixture {
  ReportFixture() {
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

TEST_CASE("a run answered in time counts as met, with its stage time") {
  ReportFixture fixture;
  fixture.harness.Call("stock");
  const auto sent = fixture.harness.TakeSent();
  REQUIRE(sent.size() == 1);
  fixture.harness.Advance(20ms);
  fixture.harness.AnswerAttempt(sent[0], "{}");
  CHECK(fixture.Count(RunOutcome::kMet) == 1);
  const auto report = fixture.Report();
  REQUIRE(report.stages.size() == 1);
  CHECK(report.stages.begin()->second.spent == 20ms);
  CHECK(report.stages.begin()->second.wasted == 0ms);
  CHECK(report.teams.begin()->first.name == "t");
  CHECK(report.revision > 0);
  CHECK(report.TargetOf(Rank::kUrgent) > 0);
}

TEST_CASE("a run without an answer counts as expired and its time as wasted") {
  ReportFixture fixture;
  fixture.harness.Call("stock");
  REQUIRE(fixture.harness.TakeSent().size() == 1);
  fixture.harness.Advance(1min);
  CHECK(fixture.Count(RunOutcome::kDeadlineExpired) == 1);
  const auto report = fixture.Report();
  CHECK(report.stages.begin()->second.wasted > 0ms);
  CHECK(report.stages.begin()->second.level.total.missed == 1);
}

TEST_CASE("a run whose caller leaves counts as neither met nor missed") {
  ReportFixture fixture;
  const auto caller = fixture.harness.Call("stock");
  fixture.harness.Feed(CallerDisconnected{caller});
  CHECK(fixture.Count(RunOutcome::kAbandoned) == 1);
  CHECK(fixture.Report().ranks.begin()->second.level.total.total() == 0);
}

TEST_CASE("invalid input is not a miss, a refusal during a stop is") {
  ReportFixture fixture;
  fixture.harness.Call("no-such-pipeline");
  CHECK(fixture.Report().ranks.empty());
  fixture.harness.Call("stock");  // Keeps the host from exiting.
  fixture.harness.Feed(StopRequested{});
  fixture.harness.Call("no-such-pipeline");
  fixture.harness.Call("stock");
  CHECK(fixture.Count(RunOutcome::kRefused) == 1);
}

TEST_CASE("an unresolved booking is a miss, a reused key is not") {
  ReportFixture fixture;
  booking::BookingRecord record;
  record.claimer = {"entry-2"};
  record.digest = "of another request";
  auto put = [&](const char* row) {
    fixture.store.Apply(base::WriteRows{
        {{row, base::RowVersion::kAbsent, booking::SerializeRecord(record)}}});
  };
  put("booking/t/reused");
  fixture.harness.Call("booking", "reused");
  CHECK(fixture.Count(RunOutcome::kCallerFault) == 1);
  fixture.harness.Call("booking", "first");
  const auto first = fixture.store.rows().at("booking/t/first");
  record = Unwrap(booking::ParseRecord(first.value));
  record.claimer = {"entry-2"};
  put("booking/t/held");
  fixture.harness.Call("booking", "held");
  // The claimer is queried, but never answers.
  fixture.harness.Advance(1min);
  CHECK(fixture.Count(RunOutcome::kCallerFault) == 1);
  CHECK(fixture.Report().ranks.at(Rank::kUrgent).level.total.missed == 2);
}

TEST_CASE("a request before the first configuration counts as refused") {
  fakes::PlatformStore store;
  fakes::NodeHarness harness(store, fakes::MakeOptions("entry-1", 1));
  harness.Advance(2s);
  harness.Call("stock");
  CHECK(harness.node().Report(harness.now()).refused_unready == 1);
}

}  // namespace
}  // namespace bilberry::node
