#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Fakes/node_group.h"

namespace bilberry::fakes {

// A caller's booking request and the answers to it.
struct BookingRequest {
  size_t host = 0;
  uint64_t incarnation = 0;  // Incarnation of the host's process.
  base::CallerId caller{};
  std::string key;
  std::vector<node::CallerAnswer> answers;
};

// A call to the simulated service.
struct BookingCall {
  size_t host = 0;
  uint64_t incarnation = 0;
  node::SendToEndpoint sent;
  bool has_run = false;
  bool is_refused = false;  // Certainly never executes.
  bool is_over = false;     // The entry host has received the outcome.
};

// Simulates several entry hosts in front of a service that counts its
// executions by key, and checks the rules that must hold under any fault.
class BookingSimulation {
 public:
  static constexpr size_t kHosts = 3;

  BookingSimulation();

  NodeGroup& group() { return group_; }
  PlatformStore& store() { return store_; }
  const std::vector<BookingRequest>& requests() const { return requests_; }
  const std::vector<BookingCall>& calls() const { return calls_; }

  // Sends a request to a running host; returns its index in requests().
  size_t Ask(size_t host, const std::string& key);
  void Advance(base::Duration duration);
  void SetBehavior(size_t host, PlatformBehavior behavior);
  void SetBehaviorOfAll(PlatformBehavior behavior);
  void Kill(size_t host) { group_.Kill(host); }
  void Freeze(size_t host);
  void Thaw(size_t host);
  // Starts a new process in place of a dead one.
  void Revive(size_t host);
  void RequestStop(size_t host);

  // Behavior of the service for a call.
  void Run(size_t call);
  void Answer(size_t call);  // Executes the call first if needed.
  void RefuseNotRun(size_t call);
  void FailToConnect(size_t call);
  // The connection breaks; the service may still execute the call.
  void Break(size_t call);
  void AnswerAll();
  void BreakAll();

  // Ends all faults, replaces dead hosts, answers open calls and advances the
  // time until everything is settled.
  void Heal();

  // The violated rules; call after Heal().
  std::vector<std::string> Violations();

  int execution_count() const;

 private:
  bool CanReceive(const BookingCall& call) const;
  void Deliver(size_t call, node::Event event);
  void Collect();
  void CollectExit(size_t host);
  void CheckRequest(const BookingRequest& request,
                    std::vector<std::string>& out);
  std::string AnswerOf(const std::string& key) const { return "ran " + key; }

  PlatformStore store_;
  NodeGroup group_;
  std::vector<uint64_t> incarnations_;
  std::vector<bool> frozen_;
  uint64_t last_incarnation_ = kHosts;
  std::vector<BookingRequest> requests_;
  std::vector<BookingCall> calls_;
  std::map<std::string, int> executions_;  // Execution counts by key.
  struct UndeliveredEvent {
    size_t call = 0;
    node::Event event;
  };
  std::vector<UndeliveredEvent> undelivered_;
  std::vector<std::string> violations_;  // Violations found before Heal().
};

}  // namespace bilberry::fakes
