#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "Fakes/node_group.h"

namespace bilberry::node {
namespace {

using fakes::NodeGroup;
using fakes::PlatformBehavior;
using fakes::PlatformStore;

// Time within which all hosts must stop sending to a leaving endpoint, from the
// moment that any host could know.
constexpr std::chrono::seconds kLeavingTarget{5};
constexpr uint16_t kLeavingPort = 9001;
constexpr uint16_t kStayingPort = 9002;

base::HostEntry DeskEndpoint(const std::string& name, uint16_t port) {
  base::HostEntry entry = fakes::MakeEndpoint(name, "desk");
  entry.address.port = port;
  return entry;
}

// Two endpoints of the pool "desk": "desk-1", which will leave, and "desk-2".
struct LeavingCase {
  explicit LeavingCase(size_t size) : group(store, size, 3) {
    fakes::PutSmallDeployment(store);
    store.PutHost(DeskEndpoint("desk-1", kLeavingPort));
    store.PutHost(DeskEndpoint("desk-2", kStayingPort));
    group.List();
    group.Advance(std::chrono::seconds(3));
  }

  // Number of requests out of several that a host sends to the leaving
  // endpoint.
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

  // Has the endpoint report to one host that it is leaving, with its answer to
  // one of several calls.
  void ReportLeavingTo(size_t host) {
    constexpr int kCalls = 6;
    for (int i = 0; i < kCalls; ++i)
      group.at(host).Call("stock");
    bool has_reported = false;
    for (const SendToEndpoint& sent : group.at(host).TakeSent()) {
      EndpointAnswer answer;
      answer.attempt = sent.attempt;
      answer.echoed_attempt = base::ToText(sent.attempt);
      answer.status = 200;
      answer.reported_leaving = sent.address.port == kLeavingPort;
      has_reported = has_reported || answer.reported_leaving;
      group.at(host).Feed(answer);
    }
    REQUIRE(has_reported);
  }

  PlatformStore store;
  NodeGroup group;
};

TEST_SUITE_BEGIN("promise-5");

TEST_CASE("a leaving mark known to one host spreads to all in time") {
  for (const size_t size : {size_t{3}, size_t{9}, size_t{28}}) {
    CAPTURE(size);
    LeavingCase it(size);
    CHECK(it.CountSentByAll() > 0);
    for (size_t i = 0; i < size; ++i)
      it.group.at(i).set_behavior(PlatformBehavior::kRequestLost);
    it.ReportLeavingTo(1);
    it.group.Advance(kLeavingTarget);
    CHECK(it.CountSentByAll() == 0);
  }
}

TEST_CASE("a zone without the platform learns a leaving mark from peers") {
  LeavingCase it(9);
  for (size_t i = 0; i < it.group.size(); ++i) {
    if (it.group.IsInZone(i, 2))
      it.group.at(i).set_behavior(PlatformBehavior::kRequestLost);
  }
  base::HostEntry leaving = DeskEndpoint("desk-1", kLeavingPort);
  leaving.state = base::HostState::kLeaving;
  it.store.PutHost(leaving);
  it.group.Advance(kLeavingTarget);
  CHECK(it.CountSentByAll() == 0);
}

TEST_CASE("a zone learns of a leaving endpoint after a long partition") {
  LeavingCase it(9);
  it.group.CutZone(2);
  for (size_t i = 2; i < it.group.size(); i += 3)
    it.group.at(i).set_behavior(PlatformBehavior::kRequestLost);
  it.ReportLeavingTo(0);
  it.group.Advance(std::chrono::seconds(300));
  CHECK(it.CountSentToLeaving(2) > 0);
  it.group.HealAll();
  it.group.Advance(kLeavingTarget);
  CHECK(it.CountSentByAll() == 0);
}

TEST_CASE("a stale list revives no endpoint, but a new incarnation is live") {
  LeavingCase it(3);
  it.ReportLeavingTo(0);
  it.group.Advance(kLeavingTarget);
  it.store.PutHost(DeskEndpoint("desk-1", kLeavingPort));
  it.group.Advance(kLeavingTarget);
  CHECK(it.CountSentByAll() == 0);
  base::HostEntry next = DeskEndpoint("desk-1", kLeavingPort);
  next.incarnation = base::Incarnation{2};
  it.store.PutHost(next);
  it.group.Advance(kLeavingTarget);
  CHECK(it.CountSentByAll() > 0);
}

TEST_CASE("peers no longer call an entry host that stops") {
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
