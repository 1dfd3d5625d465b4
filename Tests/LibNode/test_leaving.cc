#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "Fakes/node_group.h"

namespace bilberry::node {
namespace {

using fakes::NodeGroup;
using fakes::PlatformBehavior;
using fakes::PlatformStore;

// How soon a leaving endpoint gets nothing new, from when any host could know.
constexpr std::chrono::seconds kLeavingTarget{5};
constexpr uint16_t kLeavingPort = 9001;
constexpr uint16_t kStayingPort = 9002;

base::HostEntry Desk(const std::string& name, uint16_t port) {
  base::HostEntry entry = fakes::MakeEndpoint(name, "desk");
  entry.address.port = port;
  return entry;
}

// Two endpoints of the desk: "desk-1", which is to leave, and "desk-2".
struct LeavingCase {
  explicit LeavingCase(size_t size) : group(store, size, 3) {
    fakes::PutSmallDeployment(store);
    store.PutHost(Desk("desk-1", kLeavingPort));
    store.PutHost(Desk("desk-2", kStayingPort));
    group.List();
    group.Advance(std::chrono::seconds(3));
  }

  // What a host sends to the endpoint that leaves, out of many calls.
  size_t CountSentToLeaving(size_t host) {
    constexpr int kCalls = 4;
    for (int i = 0; i < kCalls; ++i)
      group.at(host).Call("stock");
    const auto sent = group.at(host).TakeSent();
    REQUIRE(sent.size() == kCalls);
    for (const SendToEndpoint& it : sent)
      group.at(host).AnswerAttempt(it, "{}");
    return static_cast<size_t>(
        std::count_if(sent.begin(), sent.end(), [](const SendToEndpoint& it) {
          return it.address.port == kLeavingPort;
        }));
  }

  size_t CountSentByAll() {
    size_t count = 0;
    for (size_t i = 0; i < group.size(); ++i)
      count += CountSentToLeaving(i);
    return count;
  }

  // Has the endpoint tell one host that it leaves, with its answer to one of
  // several calls.
  void TellOne(size_t host) {
    constexpr int kCalls = 6;
    for (int i = 0; i < kCalls; ++i)
      group.at(host).Call("stock");
    bool has_told = false;
    for (const SendToEndpoint& sent : group.at(host).TakeSent()) {
      EndpointAnswer answer;
      answer.attempt = sent.attempt;
      answer.echoed_attempt = base::ToText(sent.attempt);
      answer.status = 200;
      answer.reported_leaving = sent.address.port == kLeavingPort;
      has_told = has_told || answer.reported_leaving;
      group.at(host).Feed(answer);
    }
    REQUIRE(has_told);
  }

  PlatformStore store;
  NodeGroup group;
};

TEST_SUITE_BEGIN("promise-5");

TEST_CASE("what one host hears of a leaving endpoint, all know in time") {
  for (const size_t size : {size_t{3}, size_t{9}, size_t{28}}) {
    CAPTURE(size);
    LeavingCase it(size);
    CHECK(it.CountSentByAll() > 0);
    for (size_t i = 0; i < size; ++i)
      it.group.at(i).set_behavior(PlatformBehavior::kRequestLost);
    it.TellOne(1);
    it.group.Advance(kLeavingTarget);
    CHECK(it.CountSentByAll() == 0);
  }
}

TEST_CASE("a zone cut from the platform hears of the platform's mark") {
  LeavingCase it(9);
  for (size_t i = 0; i < it.group.size(); ++i) {
    if (it.group.IsInZone(i, 2))
      it.group.at(i).set_behavior(PlatformBehavior::kRequestLost);
  }
  base::HostEntry leaving = Desk("desk-1", kLeavingPort);
  leaving.state = base::HostState::kLeaving;
  it.store.PutHost(leaving);
  it.group.Advance(kLeavingTarget);
  CHECK(it.CountSentByAll() == 0);
}

TEST_CASE("a zone that was cut off for long hears of it when it is back") {
  LeavingCase it(9);
  it.group.CutZone(2);
  for (size_t i = 2; i < it.group.size(); i += 3)
    it.group.at(i).set_behavior(PlatformBehavior::kRequestLost);
  it.TellOne(0);
  it.group.Advance(std::chrono::seconds(300));
  CHECK(it.CountSentToLeaving(2) > 0);
  it.group.HealAll();
  it.group.Advance(kLeavingTarget);
  CHECK(it.CountSentByAll() == 0);
}

TEST_CASE("a stale list revives nobody, a new incarnation is live") {
  LeavingCase it(3);
  it.TellOne(0);
  it.group.Advance(kLeavingTarget);
  it.store.PutHost(Desk("desk-1", kLeavingPort));
  it.group.Advance(kLeavingTarget);
  CHECK(it.CountSentByAll() == 0);
  base::HostEntry next = Desk("desk-1", kLeavingPort);
  next.incarnation = base::Incarnation{2};
  it.store.PutHost(next);
  it.group.Advance(kLeavingTarget);
  CHECK(it.CountSentByAll() > 0);
}

TEST_CASE("an entry host that stops is called by no peer any more") {
  LeavingCase it(8);
  it.group.at(0).Call("stock");
  it.group.at(0).Feed(StopRequested{});
  it.group.Advance(kLeavingTarget);
  size_t calls = 0;
  it.group.set_observer(
      [&](size_t /*from*/, size_t to, const PeerMessage& /*message*/) {
        calls += to == 0 ? 1 : 0;
      });
  it.group.Kill(0);
  it.group.Advance(std::chrono::seconds(30));
  CHECK(calls == 0);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::node
