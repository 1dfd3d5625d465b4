#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "Fakes/node_harness.h"
#include "LibBase/random.h"
#include "LibMembership/configuration_change.h"

namespace bilberry::node {
namespace {

using fakes::PlatformBehavior;
using fakes::PlatformStore;
using membership::ChangeAccepted;
using membership::ChangeConflicted;
using membership::ChangeNotApplied;
using membership::ChangeOutdated;
using membership::ChangeUndecided;
using membership::ConfigurationChange;
using membership::PlatformReply;

// Sends the change's next request to the store with this behavior.
void Step(ConfigurationChange& change,
          PlatformStore& store,
          PlatformBehavior behavior = PlatformBehavior::kHealthy) {
  const auto request = change.NextRequest();
  REQUIRE(request);
  if (behavior == PlatformBehavior::kUnreachable) {
    change.HandleReply(base::PlatformFailure::kNotSent);
    return;
  }
  if (behavior == PlatformBehavior::kRequestLost) {
    change.HandleReply(base::PlatformFailure::kUnknown);
    return;
  }
  PlatformReply reply = store.Apply(*request);
  if (behavior == PlatformBehavior::kAnswerLost)
    reply = base::PlatformFailure::kUnknown;
  change.HandleReply(reply);
}

ConfigurationChange MakeChange(
    const std::string& id,
    std::optional<base::Revision> expected = std::nullopt) {
  return {fakes::SmallConfiguration(), id, expected};
}

base::Revision RevisionIn(const PlatformStore& store) {
  const auto head = membership::ParseHead(
      store.rows().at(std::string(membership::kConfigurationHeadKey)).value);
  return head.value().revision;
}

TEST_SUITE_BEGIN("promise-7");

// Advances both changes in a random order, with some answers lost.
void Race(std::vector<ConfigurationChange>& changes,
          PlatformStore& store,
          uint64_t seed) {
  base::Random random(seed);
  while (changes[0].NextRequest() || changes[1].NextRequest()) {
    ConfigurationChange& next = changes[random.Below(2)];
    const bool is_lost = random.Below(5) == 0;
    if (next.NextRequest())
      Step(
          next, store,
          is_lost ? PlatformBehavior::kAnswerLost : PlatformBehavior::kHealthy);
  }
}

template <typename Outcome>
uint64_t CountOf(const std::vector<ConfigurationChange>& changes) {
  return static_cast<uint64_t>(std::count_if(
      changes.begin(), changes.end(), [](const ConfigurationChange& it) {
        return std::holds_alternative<Outcome>(*it.outcome());
      }));
}

TEST_CASE("concurrent changes never report a wrong outcome") {
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    PlatformStore store;
    fakes::PutSmallDeployment(store);
    std::vector<ConfigurationChange> changes{MakeChange("a"), MakeChange("b")};
    Race(changes, store, seed);
    const uint64_t moves = static_cast<uint64_t>(RevisionIn(store)) - 1;
    const auto accepted = CountOf<ChangeAccepted>(changes);
    CHECK(accepted <= moves);
    CHECK(accepted + CountOf<ChangeUndecided>(changes) >= moves);
    CHECK(CountOf<ChangeNotApplied>(changes) == 0);
  }
}

TEST_CASE("of two operators who saw the same revision, exactly one wins") {
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    PlatformStore store;
    fakes::PutSmallDeployment(store);
    std::vector<ConfigurationChange> changes{
        MakeChange("a", base::Revision{1}), MakeChange("b", base::Revision{1})};
    Race(changes, store, seed);
    CHECK(RevisionIn(store) == base::Revision{2});
    CHECK(CountOf<ChangeAccepted>(changes) == 1);
    CHECK(CountOf<ChangeConflicted>(changes) +
              CountOf<ChangeOutdated>(changes) ==
          1);
  }
}

enum class Expected { kAccepted, kNotTried, kUndecided };

struct ChangeFault {
  const char* what;
  // One per step; the last one applies to all later steps.
  std::vector<PlatformBehavior> behaviors;
  Expected expected;
  uint64_t revision;
};

TEST_CASE("a change reports the right outcome under platform faults") {
  const PlatformBehavior sound = PlatformBehavior::kHealthy;
  const PlatformBehavior answer_lost = PlatformBehavior::kAnswerLost;
  const PlatformBehavior request_lost = PlatformBehavior::kRequestLost;
  const PlatformBehavior gone = PlatformBehavior::kUnreachable;
  for (const ChangeFault& it : {
           ChangeFault{"none", {sound}, Expected::kAccepted, 2},
           ChangeFault{"the head's answer is lost once",
                       {answer_lost, sound},
                       Expected::kAccepted,
                       2},
           ChangeFault{"the store's answer is lost once",
                       {sound, answer_lost, sound},
                       Expected::kAccepted,
                       2},
           ChangeFault{"the write's answer is lost once",
                       {sound, sound, answer_lost, sound},
                       Expected::kAccepted,
                       2},
           ChangeFault{"the write's request is lost once",
                       {sound, sound, request_lost, sound},
                       Expected::kAccepted,
                       2},
           ChangeFault{"the platform is away", {gone}, Expected::kNotTried, 1},
           ChangeFault{"the platform goes before the write",
                       {sound, sound, gone},
                       Expected::kNotTried,
                       1},
           ChangeFault{"the write is never answered",
                       {sound, sound, answer_lost},
                       Expected::kUndecided,
                       2},
           ChangeFault{"the write never comes through",
                       {sound, sound, request_lost},
                       Expected::kUndecided,
                       1},
       }) {
    CAPTURE(it.what);
    PlatformStore store;
    fakes::PutSmallDeployment(store);
    ConfigurationChange change = MakeChange("a");
    for (size_t i = 0; change.NextRequest(); ++i)
      Step(change, store, it.behaviors[std::min(i, it.behaviors.size() - 1)]);
    const auto& outcome = *change.outcome();
    CHECK(std::holds_alternative<ChangeAccepted>(outcome) ==
          (it.expected == Expected::kAccepted));
    CHECK(std::holds_alternative<ChangeNotApplied>(outcome) ==
          (it.expected == Expected::kNotTried));
    CHECK(std::holds_alternative<ChangeUndecided>(outcome) ==
          (it.expected == Expected::kUndecided));
    CHECK(RevisionIn(store) == base::Revision{it.revision});
  }
}

TEST_CASE("a change based on another revision changes nothing") {
  PlatformStore store;
  fakes::PutSmallDeployment(store);
  ConfigurationChange change = MakeChange("a", base::Revision{7});
  Step(change, store);
  REQUIRE(std::holds_alternative<ChangeOutdated>(*change.outcome()));
  CHECK(std::get<ChangeOutdated>(*change.outcome()).in_force ==
        base::Revision{1});
  CHECK(RevisionIn(store) == base::Revision{1});
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::node
