#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "Fakes/node_harness.h"
#include "Fakes/platform_store.h"

namespace bilberry::fakes {

enum class HostCondition {
  kRunning,
  kFrozen,  // Suspended for a while (SIGSTOP).
  kDead,    // Killed (SIGKILL).
};

// Several entry hosts in one virtual time and with one platform, connected by
// links that a test can cut. Hosts are numbered in order, assigned to the zones
// round-robin, and know each other as seed peers.
class NodeGroup {
 public:
  // Observes each message between hosts, and each answer.
  using MessageObserver = std::function<
      void(size_t from, size_t to, const node::PeerMessage& message)>;

  NodeGroup(PlatformStore& store, size_t size, size_t zones = 1);

  // Adds the hosts to the platform's list.
  void List();
  void set_observer(MessageObserver observer) {
    observer_ = std::move(observer);
  }

  NodeHarness& at(size_t index) { return *hosts_.at(index).harness; }
  size_t size() const { return hosts_.size(); }
  base::TimePoint now() const { return now_; }

  // Advances the time of all hosts; runs timers and delivers peer calls in
  // order.
  void Advance(base::Duration duration);
  // Delivers the pending peer calls; Advance() does so as well.
  void DeliverPeerCalls();

  void Freeze(size_t index) {
    hosts_.at(index).condition = HostCondition::kFrozen;
  }
  void Thaw(size_t index);
  void Kill(size_t index) { hosts_.at(index).condition = HostCondition::kDead; }
  // Starts a new process in place of a dead one.
  void Replace(size_t index, uint64_t incarnation);

  HostCondition condition(size_t index) const {
    return hosts_.at(index).condition;
  }

  // Drops all messages from one host to the other, in this direction only.
  void Cut(size_t from, size_t to) { cuts_.emplace(from, to); }
  // Cuts all links between this zone and the others, in both directions.
  void CutZone(size_t zone);
  bool IsInZone(size_t index, size_t zone) const {
    return index % zones_ == zone;
  }
  void HealAll() { cuts_.clear(); }

 private:
  struct Host {
    std::unique_ptr<NodeHarness> harness;
    HostCondition condition = HostCondition::kRunning;
  };

  // A call that gets no answer and fails at its time-out.
  struct LostCall {
    size_t from = 0;
    base::OperationId operation{};
    base::TimePoint due;
  };

  std::unique_ptr<NodeHarness> MakeHost(size_t index, uint64_t incarnation);
  bool DeliverFrom(size_t from);
  void Deliver(size_t from, const node::SendToPeer& call);
  bool IsRunning(size_t index) const;
  void FailLostCalls();
  base::TimePoint NextStep(base::TimePoint end);

  void Observe(size_t from, size_t to, const node::PeerMessage& message) const;

  PlatformStore& store_;
  size_t zones_;
  MessageObserver observer_;
  base::TimePoint now_;
  std::vector<Host> hosts_;
  std::set<std::pair<size_t, size_t>> cuts_;
  std::vector<LostCall> lost_calls_;
  uint64_t last_exchange_ = 0;
};

}  // namespace bilberry::fakes
