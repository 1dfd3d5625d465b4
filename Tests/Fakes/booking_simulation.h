#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Fakes/node_group.h"

namespace bilberry::fakes {

// A caller's request for a booking, and what it was told.
struct BookingRequest {
  size_t host = 0;
  uint64_t life = 0;  // Of the host's process.
  base::CallerId caller{};
  std::string key;
  std::vector<node::CallerAnswer> answers;
};

// A call at the stand-in service.
struct BookingCall {
  size_t host = 0;
  uint64_t life = 0;
  node::SendToEndpoint sent;
  bool has_run = false;
  bool is_refused = false;  // Surely never runs.
  bool is_over = false;     // The entry host has been told.
};

// Several entry hosts before a service that counts its executions by key, with
// the rules that must hold whatever fails.
class BookingSimulation {
 public:
  static constexpr size_t kHosts = 3;

  BookingSimulation();

  NodeGroup& group() { return group_; }
  PlatformStore& store() { return store_; }
  const std::vector<BookingRequest>& asked() const { return asked_; }
  const std::vector<BookingCall>& calls() const { return calls_; }

  // Asks a host that runs; returns the request's place in asked().
  size_t Ask(size_t host, const std::string& key);
  void Advance(base::Duration duration);
  void SetBehavior(size_t host, PlatformBehavior mood);
  void SetBehaviorOfAll(PlatformBehavior mood);
  void Kill(size_t host) { group_.Kill(host); }
  void Freeze(size_t host);
  void Thaw(size_t host);
  // Starts a new process in the place of a dead one.
  void Revive(size_t host);
  void RequestStop(size_t host);

  // What the service does with a call.
  void Run(size_t call);
  void Answer(size_t call);  // Runs it, if it hasn't.
  void RefuseNotRun(size_t call);
  void FailToConnect(size_t call);
  // The connection ends; the service may yet run the call.
  void Break(size_t call);
  void AnswerAll();
  void BreakAll();

  // Ends all faults, replaces dead hosts, answers what is open and lets time
  // pass until all is settled.
  void Heal();

  // What does not hold, as it stands after Heal().
  std::vector<std::string> Violations();

  int execution_count() const;

 private:
  bool CanHear(const BookingCall& call) const;
  void Tell(size_t call, node::Event event);
  void Collect();
  void CollectExit(size_t host);
  void CheckAsked(const BookingRequest& asked, std::vector<std::string>& out);
  std::string AnswerOf(const std::string& key) const { return "ran " + key; }

  PlatformStore store_;
  NodeGroup group_;
  std::vector<uint64_t> lives_;
  std::vector<bool> frozen_;
  uint64_t last_life_ = kHosts;
  std::vector<BookingRequest> asked_;
  std::vector<BookingCall> calls_;
  std::map<std::string, int> executions_;  // By key.
  struct Unheard {
    size_t call = 0;
    node::Event event;
  };
  std::vector<Unheard> unheard_;
  std::vector<std::string> violations_;  // Seen on the way.
};

}  // namespace bilberry::fakes
