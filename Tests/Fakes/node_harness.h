#pragma once

#include <algorithm>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "Fakes/platform_store.h"
#include "LibBase/time.h"
#include "LibNode/entry_node.h"

namespace bilberry::fakes {

// What becomes of a request to the platform.
enum class PlatformBehavior {
  kHealthy,
  kUnreachable,  // Surely without effect.
  kAnswerLost,   // Takes effect; the node is told of a failure.
  kRequestLost,  // No effect; the node is told of the same failure.
  kHeld,         // Neither yet: until ReleaseHeld().
  kEffectLate,   // The node is told of a failure; takes effect in ApplyLate().
};

// Drives one EntryNode in virtual time: answers it for the platform, and keeps
// what it does towards endpoints, callers and peers for the test to look at.
class NodeHarness {
 public:
  NodeHarness(PlatformStore& store, node::NodeOptions options);

  base::TimePoint now() const { return now_; }
  node::EntryNode& node() { return node_; }

  void Feed(node::Event event);
  // Lets time pass, with every timer at its time.
  void Advance(base::Duration duration) { AdvanceTo(now_ + duration); }
  void AdvanceTo(base::TimePoint end);
  // Lets time pass with no timer run, as for a process that is stopped; what is
  // due is handed in by the next Advance().
  void Freeze(base::TimePoint until) { now_ = std::max(now_, until); }

  void set_behavior(PlatformBehavior mood) { mood_ = mood; }
  // Has held requests answered now, in their order.
  void ReleaseHeld();
  // Serves the held requests in another mood; what follows is held again.
  void ReleaseHeldAs(PlatformBehavior mood);
  // Has the late requests take effect now.
  void ApplyLate();

  // A request of team "t" for `pipeline`, with its own caller id.
  base::CallerId Call(const std::string& pipeline,
                      const std::optional<std::string>& key = std::nullopt,
                      const std::string& body = "{}");

  // Answers an attempt as a sound endpoint does.
  void AnswerAttempt(const node::SendToEndpoint& sent, const std::string& body);

  // What was done since it was last taken.
  std::vector<node::SendToEndpoint> TakeSent();
  std::vector<node::AnswerCaller> TakeAnswers();
  std::vector<node::SendToPeer> TakePeerCalls();
  std::vector<node::AnswerPeer> TakePeerAnswers();
  node::Actions TakeOthers();

 private:
  void Perform(node::Action action);
  void ServePlatform(const node::SendToPlatform& action);
  void RunQueue();

  PlatformStore& store_;
  node::EntryNode node_;
  base::TimePoint now_;
  PlatformBehavior mood_ = PlatformBehavior::kHealthy;
  uint64_t last_caller_ = 0;
  std::deque<node::Event> queue_;
  std::vector<node::SendToPlatform> held_;
  std::vector<base::PlatformRequest> late_;
  std::vector<node::SendToEndpoint> sent_;
  std::vector<node::AnswerCaller> answers_;
  std::vector<node::SendToPeer> peer_calls_;
  std::vector<node::AnswerPeer> peer_answers_;
  node::Actions others_;
};

// Settings of an entry host with this name, in zone "zone-a".
node::NodeOptions MakeOptions(const std::string& host, uint64_t incarnation);

// A live endpoint of `pool`.
base::HostEntry MakeEndpoint(const std::string& name, const std::string& pool);

// Puts a small configuration in force: the pools "engines" and "desk" with one
// endpoint each, the pipelines "quotation" (four stages, the last streamed),
// "stock" (one stage), "booking" (one stage, at most once) and "deposit" (four
// stages, the second and third at most once), teams "t" and "u".
void PutSmallDeployment(PlatformStore& store);

// The document of that configuration.
std::string SmallConfiguration();

// Puts `document` in force as `revision`, whatever was before.
void PutConfiguration(PlatformStore& store,
                      uint64_t revision,
                      const std::string& document);

}  // namespace bilberry::fakes
