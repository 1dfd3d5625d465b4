#include <doctest/doctest.h>

#include <string>
#include <utility>

#include "LibPolicy/quarantine.h"

namespace bilberry::policy {
namespace {

using base::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

const base::EndpointName kFirst{"e1"};
const base::EndpointName kSecond{"e2"};
const base::EndpointName kThird{"e3"};

TimePoint At(base::Duration time) {
  return TimePoint(time);
}

TEST_SUITE_BEGIN("policy");

TEST_CASE("a single suspect of two crashes is quarantined until it expires") {
  Quarantine quarantine;
  quarantine.NoteDisconnect("bad", kFirst, At(seconds(1)));
  CHECK_FALSE(quarantine.IsQuarantined("bad", At(seconds(1))));
  quarantine.NoteDisconnect("bad", kSecond, At(seconds(2)));
  CHECK(quarantine.IsQuarantined("bad", At(seconds(2))));
  CHECK_FALSE(quarantine.IsQuarantined("good", At(seconds(2))));
  const TimePoint end = At(seconds(2)) + kQuarantinePeriod;
  CHECK(quarantine.IsQuarantined("bad", end - seconds(1)));
  // The request came again, which renews its quarantine.
  CHECK(quarantine.IsQuarantined("bad", end + seconds(1)));
  const TimePoint later = end + seconds(1) + kQuarantinePeriod;
  quarantine.Advance(later);
  CHECK_FALSE(quarantine.IsQuarantined("bad", later));
  CHECK(quarantine.quarantined_count() == 0);
  CHECK(quarantine.crash_count() == 0);
}

TEST_CASE("several disconnects of one crash count once") {
  Quarantine quarantine;
  quarantine.NoteDisconnect("twice", kFirst, At(seconds(1)));
  quarantine.NoteDisconnect("twice", kFirst,
                            At(seconds(1)) + milliseconds(300));
  CHECK_FALSE(quarantine.IsQuarantined("twice", At(seconds(2))));
  CHECK(quarantine.crash_count() == 1);
  quarantine.NoteDisconnect("twice", kFirst, At(seconds(20)));
  CHECK(quarantine.IsQuarantined("twice", At(seconds(20))));
}

TEST_CASE("an innocent second suspect is refused only for a short time") {
  Quarantine quarantine;
  for (const auto& [endpoint, time] : {std::pair{kFirst, At(seconds(1))},
                                       std::pair{kSecond, At(seconds(2))}}) {
    quarantine.NoteDisconnect("bad", endpoint, time);
    quarantine.NoteDisconnect("good", endpoint, time);
  }
  CHECK(quarantine.IsQuarantined("bad", At(seconds(3))));
  CHECK(quarantine.IsQuarantined("good", At(seconds(3))));
  const TimePoint cleared = At(seconds(2)) + kAmbiguousQuarantinePeriod;
  CHECK_FALSE(quarantine.IsQuarantined("good", cleared));
  SUBCASE("its answer identifies the other suspect") {
    quarantine.Clear("good");
    CHECK(quarantine.IsQuarantined("bad", cleared));
    CHECK_FALSE(quarantine.IsQuarantined("good", cleared));
  }
  SUBCASE("a third crash identifies the cause") {
    quarantine.NoteDisconnect("bad", kThird, cleared);
    CHECK(quarantine.IsQuarantined("bad", cleared + seconds(100)));
    CHECK_FALSE(quarantine.IsQuarantined("good", cleared + seconds(100)));
  }
}

struct AnswerCase {
  const char* name;
  base::Duration began;
  base::Duration answered;
  bool was_death;
};

TEST_CASE("an answer disproves a crash of its endpoint") {
  // The disconnect is at 10 s.
  const AnswerCase cases[] = {
      {"begun before, answered after", seconds(9), milliseconds(10'100), false},
      {"begun before, answered long after", seconds(9), seconds(13), false},
      {"too soon for a restart", milliseconds(10'050), milliseconds(10'400),
       false},
      {"may have been sent before the death", seconds(9), milliseconds(10'010),
       true},
      {"after a restart", seconds(14), seconds(15), true},
  };
  for (const AnswerCase& each : cases) {
    CAPTURE(each.name);
    Quarantine quarantine;
    quarantine.NoteDisconnect("r", kFirst, At(seconds(5)));
    quarantine.NoteDisconnect("r", kSecond, At(seconds(10)));
    REQUIRE(quarantine.IsQuarantined("r", At(seconds(10))));
    quarantine.NoteAnswer(kSecond, At(each.began), At(each.answered));
    CHECK(quarantine.IsQuarantined("r", At(each.answered)) == each.was_death);
  }
}

TEST_CASE("repeated suspicions from a peer count as one crash") {
  Quarantine quarantine;
  for (int i = 0; i < 10; ++i)
    quarantine.NotePeerSuspicion({"r", kFirst}, At(seconds(i)));
  CHECK_FALSE(quarantine.IsQuarantined("r", At(seconds(10))));
  // Suspicions that only a peer observed are not passed on.
  quarantine.Advance(At(seconds(10)));
  CHECK(quarantine.SuspicionsToGossip().empty());
  quarantine.NoteDisconnect("r", kSecond, At(seconds(11)));
  CHECK(quarantine.IsQuarantined("r", At(seconds(11))));
  quarantine.Advance(At(seconds(11)));
  CHECK(quarantine.SuspicionsToGossip().size() == 1);
  CHECK(quarantine.QuarantinedToGossip().size() == 1);
}

TEST_CASE("two hosts do not renew each other's quarantines") {
  Quarantine one;
  Quarantine other;
  one.NoteDisconnect("r", kFirst, At(seconds(1)));
  one.NoteDisconnect("r", kSecond, At(seconds(2)));
  TimePoint now = At(seconds(2));
  for (; now < At(seconds(10)) + kQuarantinePeriod; now += seconds(1)) {
    one.Advance(now);
    other.Advance(now);
    for (const std::string& request : one.QuarantinedToGossip())
      other.NotePeerQuarantine(request, now);
    for (const std::string& request : other.QuarantinedToGossip())
      one.NotePeerQuarantine(request, now);
    if (now == At(seconds(3)))
      CHECK(other.IsQuarantined("r", now));
  }
  now += seconds(1);
  one.Advance(now);
  other.Advance(now);
  CHECK_FALSE(one.IsQuarantined("r", now));
  CHECK_FALSE(other.IsQuarantined("r", now));
}

constexpr QuarantineOptions kWithAges{kCrashesToConfirm, true};

TEST_CASE("a late report of a known crash is no second crash") {
  for (const CrashedName kind :
       {CrashedName::kEndpoint, CrashedName::kProcess}) {
    CAPTURE(static_cast<int>(kind));
    Quarantine quarantine(kWithAges);
    quarantine.NoteDisconnect("r", kFirst, At(seconds(1)), kind);
    quarantine.NoteDisconnect("r", kSecond, At(seconds(2)), kind);
    for (int i = 1; i < 10; ++i) {
      const TimePoint now = At(seconds(60 * i));
      quarantine.NotePeerSuspicion(
          {"r", kFirst, seconds(60 * i - 1) - milliseconds(700), kind}, now);
      quarantine.NotePeerSuspicion({"r", kSecond, seconds(60 * i - 2), kind},
                                   now);
    }
    CHECK(quarantine.CrashCountOf("r") == 2);
    CHECK_FALSE(quarantine.IsQuarantined("r", At(seconds(600))));
    quarantine.NotePeerSuspicion({"r", kThird}, At(seconds(600)));
    CHECK(quarantine.IsQuarantined("r", At(seconds(600))));
  }
}

TEST_CASE("a name crashes again unless it stands for one process") {
  for (const CrashedName kind :
       {CrashedName::kEndpoint, CrashedName::kProcess}) {
    CAPTURE(static_cast<int>(kind));
    Quarantine quarantine(kWithAges);
    quarantine.NoteDisconnect("r", kFirst, At(seconds(1)), kind);
    quarantine.NotePeerSuspicion({"r", kFirst, seconds(1), kind},
                                 At(seconds(6)));
    CHECK(quarantine.CrashCountOf("r") ==
          (kind == CrashedName::kEndpoint ? 2 : 1));
  }
}

TEST_CASE("an answer ends the quarantine of a request") {
  Quarantine quarantine(kWithAges);
  for (const base::EndpointName& it : {kFirst, kSecond, kThird})
    quarantine.NoteDisconnect("r", it, At(seconds(1)));
  REQUIRE(quarantine.IsQuarantined("r", At(seconds(1))));
  CHECK(quarantine.Clear("r"));
  CHECK_FALSE(quarantine.IsQuarantined("r", At(seconds(1))));
  CHECK(quarantine.CrashCountOf("r") == 0);
  CHECK_FALSE(quarantine.Clear("r"));
}

TEST_CASE("peers are told recent crashes and requests with several crashes") {
  Quarantine quarantine(kWithAges);
  quarantine.NoteDisconnect("twice", kFirst, At(seconds(1)));
  quarantine.NoteDisconnect("once", kFirst, At(seconds(1)));
  quarantine.NotePeerSuspicion({"twice", kSecond, seconds(3)}, At(seconds(4)));
  quarantine.NoteDisconnect("recent", kThird, At(seconds(9)));
  const auto told =
      quarantine.SuspicionsToRepeat(2, At(seconds(8)), At(seconds(10)));
  CHECK(told == std::vector<CrashSuspicion>{{"recent", kThird, seconds(1)},
                                            {"twice", kSecond, seconds(9)},
                                            {"twice", kFirst, seconds(9)}});
}

TEST_CASE("a flood of disconnects stays within the memory bounds") {
  Quarantine quarantine;
  for (int i = 0; i < 5000; ++i) {
    const std::string text = std::to_string(i);
    const TimePoint now = At(milliseconds(i));
    quarantine.NoteDisconnect("r" + text, {"e" + text}, now);
    quarantine.NoteDisconnect("r" + text, {"f" + text}, now);
    quarantine.NoteDisconnect("s" + text, kFirst, now);
    quarantine.NotePeerQuarantine("h" + text, now);
  }
  quarantine.Advance(At(seconds(5)));
  CHECK(quarantine.crash_count() == kMaxCrashes);
  CHECK(quarantine.quarantined_count() == kMaxQuarantinedRequests);
  CHECK(quarantine.SuspicionsToGossip().size() == kMaxGossipedItems);
  CHECK(quarantine.QuarantinedToGossip().size() == kMaxGossipedItems);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::policy
