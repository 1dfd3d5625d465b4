#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "Fakes/node_group.h"
#include "LibMembership/configuration_head.h"

namespace bilberry::node {
namespace {

using fakes::NodeGroup;
using fakes::NodeHarness;
using fakes::PlatformBehavior;
using fakes::PlatformStore;

// Time within which an accepted configuration must be in force everywhere.
constexpr std::chrono::seconds kSpreadTarget{13};
constexpr std::chrono::seconds kStep{1};

bool IsEverywhere(NodeGroup& group, uint64_t revision) {
  for (size_t i = 0; i < group.size(); ++i) {
    if (group.at(i).node().Status().revision != base::Revision{revision})
      return false;
  }
  return true;
}

bool SpreadsInTime(NodeGroup& group, uint64_t revision) {
  const base::TimePoint end = group.now() + kSpreadTarget;
  while (group.now() < end && !IsEverywhere(group, revision))
    group.Advance(kStep);
  return IsEverywhere(group, revision);
}

size_t CountLogs(NodeHarness& harness, base::LogEventId id) {
  const Actions actions = harness.TakeOthers();
  return static_cast<size_t>(
      std::count_if(actions.begin(), actions.end(), [id](const Action& it) {
        const auto* log = std::get_if<WriteLog>(&it);
        return log != nullptr && log->event.id == id;
      }));
}

void SetBehaviors(NodeGroup& group, PlatformBehavior behavior) {
  for (size_t i = 0; i < group.size(); ++i)
    group.at(i).set_behavior(behavior);
}

TEST_SUITE_BEGIN("promise-7");

TEST_CASE("peers spread a configuration that one host read before an outage") {
  for (const size_t size : {size_t{3}, size_t{8}, size_t{28}}) {
    for (size_t first = 0; first < 3; ++first) {
      for (const bool is_listed : {false, true}) {
        CAPTURE(size);
        CAPTURE(first);
        CAPTURE(is_listed);
        PlatformStore store;
        fakes::PutSmallDeployment(store);
        NodeGroup group(store, size, 3);
        if (is_listed)
          group.List();
        group.Advance(std::chrono::seconds(3));
        REQUIRE(IsEverywhere(group, 1));
        SetBehaviors(group, PlatformBehavior::kUnreachable);
        fakes::PutConfiguration(store, 2, fakes::SmallConfiguration());
        group.at(first).set_behavior(PlatformBehavior::kHealthy);
        group.Advance(std::chrono::seconds(1));
        group.at(first).set_behavior(PlatformBehavior::kUnreachable);
        CHECK(SpreadsInTime(group, 2));
      }
    }
  }
}

TEST_CASE("a host that was suspended adopts the newest revision") {
  PlatformStore store;
  fakes::PutSmallDeployment(store);
  NodeGroup group(store, 3);
  group.Advance(std::chrono::seconds(3));
  group.Freeze(1);
  fakes::PutConfiguration(store, 2, fakes::SmallConfiguration());
  group.Advance(std::chrono::seconds(60));
  CHECK(group.at(1).node().Status().revision == base::Revision{1});
  group.Thaw(1);
  CHECK(SpreadsInTime(group, 2));
}

TEST_CASE("a partitioned zone serves with its old revision and catches up") {
  PlatformStore store;
  fakes::PutSmallDeployment(store);
  NodeGroup group(store, 9, 3);
  group.List();
  group.Advance(std::chrono::seconds(3));
  group.CutZone(2);
  for (size_t i = 2; i < group.size(); i += 3)
    group.at(i).set_behavior(PlatformBehavior::kRequestLost);
  fakes::PutConfiguration(store, 2, fakes::SmallConfiguration());
  group.Advance(std::chrono::seconds(60));
  for (size_t i = 0; i < group.size(); ++i) {
    const uint64_t expected = group.IsInZone(i, 2) ? 1 : 2;
    CHECK(group.at(i).node().Status().revision == base::Revision{expected});
    CHECK(group.at(i).node().readiness() == Readiness::kReady);
  }
  // Only the links to peers recover; the platform stays unreachable.
  group.HealAll();
  CHECK(SpreadsInTime(group, 2));
}

TEST_CASE(
    "hosts replaced one by one without the platform get the newest revision") {
  PlatformStore store;
  fakes::PutSmallDeployment(store);
  NodeGroup group(store, 8, 3);
  group.List();
  group.Advance(std::chrono::seconds(3));
  fakes::PutConfiguration(store, 2, fakes::SmallConfiguration());
  group.Advance(std::chrono::seconds(3));
  SetBehaviors(group, PlatformBehavior::kUnreachable);
  for (size_t i = 0; i < group.size(); ++i) {
    group.Kill(i);
    group.Advance(std::chrono::seconds(5));
    group.Replace(i, 100 + i);
    group.at(i).set_behavior(PlatformBehavior::kUnreachable);
    CHECK(SpreadsInTime(group, 2));
  }
}

TEST_CASE("a lower revision of a restored table is refused and logged once") {
  PlatformStore store;
  fakes::PutSmallDeployment(store);
  const auto backup = store.rows();
  fakes::PutConfiguration(store, 2, fakes::SmallConfiguration());
  for (const bool is_empty : {false, true}) {
    CAPTURE(is_empty);
    NodeHarness harness(store, fakes::MakeOptions("entry-1", 1));
    const auto newest = store.rows();
    harness.Advance(std::chrono::seconds(3));
    REQUIRE(harness.node().Status().revision == base::Revision{2});
    store.RestoreRows(is_empty ? decltype(backup)() : backup);
    harness.Advance(std::chrono::seconds(60));
    CHECK(harness.node().Status().revision == base::Revision{2});
    CHECK(CountLogs(harness, base::LogEventId::kLowerRevisionRefused) == 1);
    store.RestoreRows(newest);
    harness.Advance(std::chrono::seconds(3));
    CHECK(CountLogs(harness, base::LogEventId::kLowerRevisionRefused) == 0);
  }
}

struct MalformedCase {
  const char* what;
  bool is_head;
};

TEST_CASE(
    "a malformed head or document is logged once, and the next is adopted") {
  for (const MalformedCase& it :
       {MalformedCase{"{", true}, MalformedCase{"[]", true},
        MalformedCase{R"({"revision": "2"})", true}, MalformedCase{"{", false},
        MalformedCase{"", false},
        MalformedCase{R"({"deployment": 1})", false}}) {
    CAPTURE(it.what);
    CAPTURE(it.is_head);
    PlatformStore store;
    fakes::PutSmallDeployment(store);
    NodeHarness harness(store, fakes::MakeOptions("entry-1", 1));
    harness.Advance(std::chrono::seconds(3));
    if (it.is_head) {
      const std::string key(membership::kConfigurationHeadKey);
      store.Apply(
          base::WriteRows{{{key, store.rows().at(key).version, it.what}}});
    } else {
      fakes::PutConfiguration(store, 2, it.what);
    }
    harness.Advance(std::chrono::seconds(30));
    CHECK(harness.node().Status().revision == base::Revision{1});
    CHECK(harness.node().readiness() == Readiness::kReady);
    CHECK(CountLogs(harness, base::LogEventId::kConfigurationMalformed) == 1);
    fakes::PutConfiguration(store, 3, fakes::SmallConfiguration());
    harness.Advance(std::chrono::seconds(3));
    CHECK(harness.node().Status().revision == base::Revision{3});
  }
}

TEST_SUITE_END();

// A node whose platform requests the test answers in any order.
class ManualPlatformNode {
 public:
  ManualPlatformNode() { fakes::PutSmallDeployment(store); }

  void Advance(base::Duration duration) {
    now_ += duration;
    Take(node_.Handle(TimerDue{}, now_));
  }

  // The open requests of one kind, oldest first.
  template <typename Request>
  std::vector<SendToPlatform> Open() const {
    std::vector<SendToPlatform> found;
    std::copy_if(open_.begin(), open_.end(), std::back_inserter(found),
                 [](const SendToPlatform& it) {
                   return std::holds_alternative<Request>(it.request);
                 });
    return found;
  }

  void Answer(const SendToPlatform& asked) {
    std::erase_if(open_, [&asked](const SendToPlatform& it) {
      return it.operation == asked.operation;
    });
    Take(node_.Handle(
        PlatformAnswered{asked.operation, store.Apply(asked.request)}, now_));
  }

  base::Revision revision() const { return node_.Status().revision; }

  PlatformStore store;

 private:
  void Take(Actions actions) {
    for (Action& action : actions) {
      if (auto* asked = std::get_if<SendToPlatform>(&action))
        open_.push_back(std::move(*asked));
    }
  }

  EntryNode node_{fakes::MakeOptions("entry-1", 1)};
  base::TimePoint now_;
  std::vector<SendToPlatform> open_;
};

TEST_SUITE_BEGIN("promise-7");

TEST_CASE("an unanswered request blocks no other request and is abandoned") {
  ManualPlatformNode node;
  node.Advance({});
  // The poll of the host list is never answered; the read of the head is.
  node.Answer(node.Open<base::ReadRow>().front());
  node.Answer(node.Open<base::FetchObject>().front());
  CHECK(node.revision() == base::Revision{1});
  fakes::PutConfiguration(node.store, 2, fakes::SmallConfiguration());
  node.Advance(std::chrono::milliseconds(1000));
  REQUIRE(node.Open<base::ReadRow>().size() == 1);
  node.Answer(node.Open<base::ReadRow>().front());
  node.Answer(node.Open<base::FetchObject>().front());
  CHECK(node.revision() == base::Revision{2});
  node.Advance(std::chrono::seconds(2));
  CHECK(node.Open<base::PollHosts>().size() == 2);
}

TEST_CASE("a late document is not taken for another revision") {
  ManualPlatformNode node;
  node.Advance({});
  node.Answer(node.Open<base::ReadRow>().front());
  const auto first = node.Open<base::FetchObject>().front();
  fakes::PutConfiguration(node.store, 2, "{");
  // The request for the second document is sent before the first one is
  // answered.
  for (int i = 0; i < 5; ++i) {
    node.Advance(std::chrono::milliseconds(1000));
    if (!node.Open<base::ReadRow>().empty())
      node.Answer(node.Open<base::ReadRow>().back());
  }
  REQUIRE(node.Open<base::FetchObject>().size() == 2);
  node.Answer(first);
  node.Answer(node.Open<base::FetchObject>().front());
  // Neither document was taken for the other. The first one came after its
  // request was abandoned.
  CHECK(node.revision() != base::Revision{2});
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::node
