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
  kFrozen,  // Stopped for a while (SIGSTOP).
  kDead,    // Killed (SIGKILL).
};

// Several entry hosts in one virtual time, over one platform, who call each
// other over links that a test can cut. Hosts are numbered in their order, are
// in the zones in turn, and know each other as seed peers.
class NodeGroup {
 public:
  // Sees each message that a host sends to another, and each answer.
  using MessageObserver = std::function<
      void(size_t from, size_t to, const node::PeerMessage& message)>;

  NodeGroup(PlatformStore& store, size_t size, size_t zones = 1);

  // Puts the hosts on the platform's list.
  void List();
  void set_observer(MessageObserver observer) {
    observer_ = std::move(observer);
  }

  NodeHarness& at(size_t index) { return *hosts_.at(index).harness; }
  size_t size() const { return hosts_.size(); }
  base::TimePoint now() const { return now_; }

  // Lets time pass for all, timers and peers' calls in their order.
  void Advance(base::Duration duration);
  // Delivers the peers' calls that were made since; Advance() does it too.
  void DeliverPeerCalls();

  void Freeze(size_t index) {
    hosts_.at(index).condition = HostCondition::kFrozen;
  }
  void Thaw(size_t index);
  void Kill(size_t index) { hosts_.at(index).condition = HostCondition::kDead; }
  // Starts a new process in the place of a dead one.
  void Replace(size_t index, uint64_t incarnation);

  HostCondition condition(size_t index) const {
    return hosts_.at(index).condition;
  }

  // What goes from one host to the other is lost, one way.
  void Cut(size_t from, size_t to) { cuts_.emplace(from, to); }
  // Cuts all links of the zone with that number to others, both ways.
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

  // A call that nobody will answer, until its time-out.
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
