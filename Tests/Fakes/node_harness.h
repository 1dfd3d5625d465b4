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

// How the simulated platform treats requests.
enum class PlatformBehavior {
  kHealthy,
  kUnreachable,  // Certainly without effect.
  kAnswerLost,   // Takes effect, but is reported as failed.
  kRequestLost,  // No effect; reported with the same failure as kAnswerLost.
  kHeld,         // Delayed until ReleaseHeld().
  kEffectLate,   // Reported as failed; takes effect in ApplyLate().
};

// Drives one EntryNode in virtual time: answers its requests to the platform,
// and records its actions towards endpoints, callers and peers.
class NodeHarness {
 public:
  NodeHarness(PlatformStore& store, node::NodeOptions options);

  base::TimePoint now() const { return now_; }
  node::EntryNode& node() { return node_; }

  void Feed(node::Event event);
  // Advances the time and runs each timer at its time.
  void Advance(base::Duration duration) { AdvanceTo(now_ + duration); }
  void AdvanceTo(base::TimePoint end);
  // Advances the time without timers, as for a suspended process; the next
  // Advance() delivers the overdue timers.
  void Freeze(base::TimePoint until) { now_ = std::max(now_, until); }

  void set_behavior(PlatformBehavior behavior) { behavior_ = behavior; }
  // Answers the held requests, in order.
  void ReleaseHeld();
  // Serves the held requests with another behavior; later requests are held
  // again.
  void ReleaseHeldAs(PlatformBehavior behavior);
  // Applies the requests that were reported as failed under kEffectLate.
  void ApplyLate();

  // Sends a request of team "t" for `pipeline`, with a new caller id.
  base::CallerId Call(const std::string& pipeline,
                      const std::optional<std::string>& key = std::nullopt,
                      const std::string& body = "{}");

  // Answers an attempt successfully.
  void AnswerAttempt(const node::SendToEndpoint& sent, const std::string& body);

  // Actions since the last call; clears them.
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
  PlatformBehavior behavior_ = PlatformBehavior::kHealthy;
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

// Options of an entry host with this name, in zone "zone-a".
node::NodeOptions MakeOptions(const std::string& host, uint64_t incarnation);

// Makes a live endpoint of `pool`.
base::HostEntry MakeEndpoint(const std::string& name, const std::string& pool);

// Stores a small configuration as the one in force: the pools "engines" and
// "desk" with one endpoint each, the pipelines "quotation" (four stages, the
// last streamed), "stock" (one stage), "booking" (one stage, at most once) and
// "deposit" (four stages, the second and third at most once), teams "t" and
// "u".
void PutSmallDeployment(PlatformStore& store);

// The document of PutSmallDeployment()'s configuration.
std::string SmallConfiguration();

// Stores `document` as the configuration in force with this revision, whatever
// the previous one was.
void PutConfiguration(PlatformStore& store,
                      uint64_t revision,
                      const std::string& document);

}  // namespace bilberry::fakes
