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
// Upper bound required by the users.
constexpr int kMaxEndpointsLost = 3;
constexpr const char* kCrashing = R"({"crash": true})";

// Three entry hosts in front of a pool whose endpoints crash on one request and
// restart after a while.
class CrashSimulation {
 public:
  CrashSimulation() {
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

  // Advances the time and simulates the endpoints.
  void Advance(base::Duration duration) {
    const base::TimePoint end = group_.now() + duration;
    while (group_.now() < end) {
      group_.Advance(kStep);
      TakeSent();
      AnswerDue();
      CountAnswers();
    }
  }

  int crash_count() const { return crash_count_; }
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
    if (group_.now() < down_until_[port]) {
      group_.at(host).Feed(EndpointFailure{sent.attempt,
                                           EndpointFailureKind::kUnreachable,
                                           ConnectionAge::kFresh, ""});
      return;
    }
    calls_.push_back({host, sent, group_.now() + kServiceTime});
    if (sent.body == kCrashing)
      CrashEndpoint(port);
  }

  void CrashEndpoint(uint16_t port) {
    ++crash_count_;
    down_until_[port] = group_.now() + kRestartTime;
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
  std::map<uint16_t, base::TimePoint> down_until_;
  int crash_count_ = 0;
  int innocents_answered_ = 0;
  int refused_as_quarantined_ = 0;
};

TEST_SUITE_BEGIN("policy");

TEST_CASE("a request that crashes endpoints crashes at most three in all") {
  constexpr int kRounds = 120;
  constexpr int kInnocentsEach = 10;
  CrashSimulation simulation;
  for (int round = 0; round < kRounds; ++round) {
    const auto host = static_cast<size_t>(round) % kHosts;
    simulation.Call(host, kCrashing);
    for (int i = 0; i < kInnocentsEach; ++i) {
      // The same innocent requests are repeated as well.
      simulation.Call(static_cast<size_t>(i) % kHosts,
                      R"({"n": )" + std::to_string(i) + "}");
      simulation.Advance(milliseconds(1000) / kInnocentsEach);
    }
  }
  CHECK(simulation.crash_count() <= kMaxEndpointsLost);
  CHECK(simulation.refused_as_quarantined() >= kRounds - kMaxEndpointsLost);
  // Some innocent requests in flight at a crash may fail, but none permanently.
  CHECK(simulation.innocents_answered() >=
        kRounds * kInnocentsEach - kMaxEndpointsLost * kInnocentsEach);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::node
