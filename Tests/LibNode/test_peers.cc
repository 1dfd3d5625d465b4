#include <doctest/doctest.h>

#include "Fakes/node_group.h"

namespace bilberry::node {
namespace {

using fakes::NodeGroup;
using fakes::PlatformMood;
using fakes::PlatformStore;

TEST_SUITE_BEGIN("promise-7");

TEST_CASE("a host cut from the platform learns the configuration of a peer") {
  PlatformStore store;
  fakes::PutSmallDeployment(store);
  NodeGroup group(store, 2);
  group.at(1).set_mood(PlatformMood::kUnreachable);
  group.Advance(std::chrono::seconds(3));
  CHECK(group.at(1).node().Status().revision == base::Revision{1});
  CHECK(group.at(1).node().readiness() == Readiness::kReady);
}

TEST_CASE("a host with no source stays not ready") {
  PlatformStore store;
  fakes::PutSmallDeployment(store);
  NodeGroup group(store, 2);
  group.at(1).set_mood(PlatformMood::kUnreachable);
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
