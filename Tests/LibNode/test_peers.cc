#include <doctest/doctest.h>

#include "Fakes/node_group.h"

namespace bilberry::node {
namespace {

using fakes::NodeGroup;
using fakes::PlatformBehavior;
using fakes::PlatformStore;

TEST_SUITE_BEGIN("promise-7");

TEST_CASE("a host without the platform learns the configuration from a peer") {
  PlatformStore store;
  fakes::PutSmallDeployment(store);
  NodeGroup group(store, 2);
  group.at(1).set_behavior(PlatformBehavior::kUnreachable);
  group.Advance(std::chrono::seconds(3));
  CHECK(group.at(1).node().Status().revision == base::Revision{1});
  CHECK(group.at(1).node().readiness() == Readiness::kReady);
}

// Regression test: such a host reported itself as ready without knowing an
// endpoint, and held each request until its deadline.
TEST_CASE(
    "a host that starts without the platform learns endpoints from a peer") {
  PlatformStore store;
  fakes::PutSmallDeployment(store);
  NodeGroup group(store, 2);
  group.Cut(0, 1);
  group.at(1).set_behavior(PlatformBehavior::kUnreachable);
  group.Advance(std::chrono::seconds(3));
  CHECK(group.at(1).node().readiness() != Readiness::kReady);
  group.HealAll();
  // Now the other host can't reach the platform either.
  group.at(0).set_behavior(PlatformBehavior::kUnreachable);
  group.Advance(std::chrono::seconds(3));
  REQUIRE(group.at(1).node().readiness() == Readiness::kReady);
  group.at(1).TakeSent();
  group.at(1).Call("stock");
  CHECK(group.at(1).TakeSent().size() == 1);
}

TEST_CASE("a host without endpoints is not ready and refuses at once") {
  PlatformStore store;
  fakes::PutConfiguration(store, 1, fakes::SmallConfiguration());
  NodeGroup group(store, 1);
  group.Advance(std::chrono::seconds(3));
  CHECK(group.at(0).node().readiness() == Readiness::kNoEndpoints);
  group.at(0).TakeAnswers();
  group.at(0).Call("stock");
  const auto answers = group.at(0).TakeAnswers();
  REQUIRE(answers.size() == 1);
  REQUIRE(answers[0].answer.error.has_value());
  CHECK(answers[0].answer.error->code == "no_endpoint");
  CHECK(answers[0].answer.error->retry_after.has_value());
}

TEST_CASE("a host without platform and peers stays not ready") {
  PlatformStore store;
  fakes::PutSmallDeployment(store);
  NodeGroup group(store, 2);
  group.at(1).set_behavior(PlatformBehavior::kUnreachable);
  group.Cut(1, 0);
  group.Advance(std::chrono::seconds(30));
  CHECK(group.at(1).node().readiness() == Readiness::kNoConfiguration);
  group.HealAll();
  group.Advance(std::chrono::seconds(3));
  CHECK(group.at(1).node().readiness() == Readiness::kReady);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::node
