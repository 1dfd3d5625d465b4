#include "Fakes/node_group.h"

#include <algorithm>
#include <string>

namespace bilberry::fakes {

namespace {

constexpr uint16_t kFirstPeerPort = 8101;

base::SocketAddress PeerAddressOf(size_t index) {
  return {"127.0.0.1", static_cast<uint16_t>(kFirstPeerPort + index)};
}

std::string ZoneName(size_t zone) {
  return std::string("zone-") + static_cast<char>('a' + zone);
}

}  // namespace

NodeGroup::NodeGroup(PlatformStore& store, size_t size, size_t zones)
    : store_(store), zones_(zones) {
  hosts_.resize(size);
  for (size_t i = 0; i < size; ++i)
    hosts_[i].harness = MakeHost(i, i + 1);
}

std::unique_ptr<NodeHarness> NodeGroup::MakeHost(size_t index,
                                                 uint64_t incarnation) {
  node::NodeOptions options =
      MakeOptions("entry-" + std::to_string(index + 1), incarnation);
  options.settings.peers = PeerAddressOf(index);
  options.settings.zone = {ZoneName(index % zones_)};
  for (size_t i = 0; i < hosts_.size(); ++i) {
    if (i != index)
      options.settings.seed_peers.push_back(PeerAddressOf(i));
  }
  auto harness = std::make_unique<NodeHarness>(store_, std::move(options));
  harness->Freeze(now_);
  return harness;
}

void NodeGroup::List() {
  for (size_t i = 0; i < size(); ++i) {
    base::HostEntry entry;
    entry.name = "entry-" + std::to_string(i + 1);
    entry.kind = base::HostKind::kEntryHost;
    entry.zone = {ZoneName(i % zones_)};
    entry.address = PeerAddressOf(i);
    entry.incarnation = at(i).node().Status().incarnation;
    store_.PutHost(std::move(entry));
  }
}

void NodeGroup::CutZone(size_t zone) {
  for (size_t i = 0; i < size(); ++i) {
    for (size_t j = 0; j < size(); ++j) {
      if (IsInZone(i, zone) != IsInZone(j, zone))
        Cut(i, j);
    }
  }
}

void NodeGroup::Observe(size_t from,
                        size_t to,
                        const node::PeerMessage& message) const {
  if (observer_)
    observer_(from, to, message);
}

void NodeGroup::Replace(size_t index, uint64_t incarnation) {
  std::erase_if(lost_calls_,
                [index](const LostCall& it) { return it.from == index; });
  hosts_.at(index) = {MakeHost(index, incarnation), HostCondition::kRunning};
}

void NodeGroup::Thaw(size_t index) {
  hosts_.at(index).condition = HostCondition::kRunning;
  at(index).Freeze(now_);
  at(index).AdvanceTo(now_);
}

bool NodeGroup::IsRunning(size_t index) const {
  return hosts_.at(index).condition == HostCondition::kRunning;
}

base::TimePoint NodeGroup::NextStep(base::TimePoint end) {
  base::TimePoint next = end;
  for (size_t i = 0; i < size(); ++i) {
    const auto wakeup = at(i).node().NextWakeup();
    if (IsRunning(i) && wakeup)
      next = std::min(next, *wakeup);
  }
  for (const LostCall& call : lost_calls_) {
    if (IsRunning(call.from))
      next = std::min(next, call.due);
  }
  return std::max(next, now_);
}

void NodeGroup::Advance(base::Duration duration) {
  const base::TimePoint end = now_ + duration;
  do {
    now_ = NextStep(end);
    for (size_t i = 0; i < size(); ++i) {
      if (IsRunning(i))
        at(i).AdvanceTo(now_);
    }
    FailLostCalls();
    DeliverPeerCalls();
  } while (now_ < end);
}

void NodeGroup::DeliverPeerCalls() {
  bool has_delivered = true;
  while (has_delivered) {
    has_delivered = false;
    for (size_t i = 0; i < size(); ++i) {
      if (IsRunning(i))
        has_delivered = DeliverFrom(i) || has_delivered;
    }
  }
}

bool NodeGroup::DeliverFrom(size_t from) {
  const auto calls = at(from).TakePeerCalls();
  for (const node::SendToPeer& call : calls)
    Deliver(from, call);
  return !calls.empty();
}

void NodeGroup::Deliver(size_t from, const node::SendToPeer& call) {
  for (size_t to = 0; to < size(); ++to) {
    if (PeerAddressOf(to) != call.address)
      continue;
    Observe(from, to, call.message);
    if (hosts_[to].condition == HostCondition::kDead) {
      at(from).Feed(node::PeerFailed{call.operation});
      return;
    }
    if (!IsRunning(to) || cuts_.contains({from, to}))
      break;
    at(to).Feed(
        node::PeerRequest{base::OperationId{++last_exchange_}, call.message});
    const auto answers = at(to).TakePeerAnswers();
    if (answers.empty()) {
      at(from).Feed(node::PeerFailed{call.operation});
      return;
    }
    Observe(to, from, answers.front().message);
    if (cuts_.contains({to, from}))
      break;
    at(from).Feed(node::PeerAnswered{call.operation, answers.front().message});
    return;
  }
  lost_calls_.push_back({from, call.operation, now_ + call.timeout});
}

void NodeGroup::FailLostCalls() {
  std::vector<LostCall> later;
  std::vector<LostCall> due;
  for (const LostCall& call : lost_calls_) {
    const bool is_due = call.due <= now_ && IsRunning(call.from);
    (is_due ? due : later).push_back(call);
  }
  lost_calls_ = std::move(later);
  for (const LostCall& call : due)
    at(call.from).Feed(node::PeerFailed{call.operation});
}

}  // namespace bilberry::fakes
