#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "Fakes/node_group.h"

namespace bilberry::node {
namespace {

using fakes::NodeGroup;
using fakes::PlatformStore;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint16_t kFirstPort = 9000;
constexpr uint16_t kEndpoints = 6;
constexpr size_t kHosts = 3;
constexpr milliseconds kStep{10};
constexpr milliseconds kServiceTime{20};
constexpr seconds kRestartTime{10};
// The users' own bound.
constexpr int kMaxEndpointsLost = 3;
constexpr const char* kCrashing = R"({"crash": true})";

// Three entry hosts before a pool whose endpoints die of one request and are
// restarted after a while.
class CrashWorld {
 public:
  CrashWorld() {
    fakes::PutSmallDeployment(store_);
    for (uint16_t i = 0; i < kEndpoints; ++i) {
      base::HostEntry entry =
          fakes::MakeEndpoint("desk-" + std::to_string(i + 1), "desk");
      entry.address.port = kFirstPort + i;
      store_.PutHost(entry);
    }
    group_.Advance(seconds(3));
  }

  void Call(size_t host, const std::string& body) {
    group_.at(host).Call("stock", std::nullopt, body);
  }

  // Lets time pass and the endpoints work.
  void Advance(base::Duration duration) {
    const base::TimePoint end = group_.now() + duration;
    while (group_.now() < end) {
      group_.Advance(kStep);
      TakeSent();
      AnswerDue();
      CountAnswers();
    }
  }

  int deaths() const { return deaths_; }
  int innocents_answered() const { return innocents_answered_; }
  int refused_as_quarantined() const { return refused_as_quarantined_; }

 private:
  struct SentCall {
    size_t host = 0;
    SendToEndpoint sent;
    base::TimePoint due;
  };

  void TakeSent() {
    for (size_t i = 0; i < group_.size(); ++i) {
      for (const SendToEndpoint& sent : group_.at(i).TakeSent())
        Receive(i, sent);
    }
  }

  void Receive(size_t host, const SendToEndpoint& sent) {
    const uint16_t port = sent.address.port;
    if (group_.now() < dead_until_[port]) {
      group_.at(host).Feed(EndpointFailure{sent.attempt,
                                           EndpointFailureKind::kUnreachable,
                                           ConnectionAge::kFresh, ""});
      return;
    }
    calls_.push_back({host, sent, group_.now() + kServiceTime});
    if (sent.body == kCrashing)
      Die(port);
  }

  void Die(uint16_t port) {
    ++deaths_;
    dead_until_[port] = group_.now() + kRestartTime;
    std::vector<SentCall> broken;
    std::erase_if(calls_, [&](const SentCall& call) {
      const bool is_here = call.sent.address.port == port;
      if (is_here)
        broken.push_back(call);
      return is_here;
    });
    for (const SentCall& call : broken)
      group_.at(call.host).Feed(EndpointFailure{call.sent.attempt,
                                                EndpointFailureKind::kBroken,
                                                ConnectionAge::kFresh, ""});
  }

  void AnswerDue() {
    std::vector<SentCall> due;
    std::erase_if(calls_, [&](const SentCall& call) {
      const bool is_due = call.due <= group_.now();
      if (is_due)
        due.push_back(call);
      return is_due;
    });
    for (const SentCall& call : due)
      group_.at(call.host).AnswerAttempt(call.sent, "answer");
  }

  void CountAnswers() {
    for (size_t i = 0; i < group_.size(); ++i) {
      for (const AnswerCaller& answer : group_.at(i).TakeAnswers()) {
        if (answer.answer.status == 200)
          ++innocents_answered_;
        else if (answer.answer.error &&
                 answer.answer.error->code == "quarantined")
          ++refused_as_quarantined_;
      }
    }
  }

  PlatformStore store_;
  NodeGroup group_{store_, kHosts};
  std::vector<SentCall> calls_;
  std::map<uint16_t, base::TimePoint> dead_until_;
  int deaths_ = 0;
  int innocents_answered_ = 0;
  int refused_as_quarantined_ = 0;
};

TEST_SUITE_BEGIN("policy");

TEST_CASE("a request that crashes endpoints costs three of them in all") {
  constexpr int kRounds = 120;
  constexpr int kInnocentsEach = 10;
  CrashWorld world;
  for (int round = 0; round < kRounds; ++round) {
    const auto host = static_cast<size_t>(round) % kHosts;
    world.Call(host, kCrashing);
    for (int i = 0; i < kInnocentsEach; ++i) {
      // The same innocent requests come again and again, too.
      world.Call(static_cast<size_t>(i) % kHosts,
                 R"({"n": )" + std::to_string(i) + "}");
      world.Advance(milliseconds(1000) / kInnocentsEach);
    }
  }
  CHECK(world.deaths() <= kMaxEndpointsLost);
  CHECK(world.refused_as_quarantined() >= kRounds - kMaxEndpointsLost);
  // A few that were in flight beside it may be lost, none for good.
  CHECK(world.innocents_answered() >=
        kRounds * kInnocentsEach - kMaxEndpointsLost * kInnocentsEach);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::node
