#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "LibBase/platform.h"
#include "LibTransport/http_listener.h"
#include "LibTransport/timer_queue.h"
#include "Standins/fault_gate.h"

namespace bilberry::standins {

// How long an endpoint takes, and for how many requests at once.
struct EndpointModel {
  uint32_t slots = 4;
  std::chrono::milliseconds service{5};
  // Of a streamed answer.
  uint32_t tokens = 8;
  std::chrono::milliseconds between_tokens{2};
  // A whole answer is given for every path but this one.
  std::string streamed_path = "/generate";
  bool reports_load = false;
};

// One endpoint: a model engine or a plain service. It answers with what it was
// given, so that a test sees whose result it got, and counts what it ran.
class EndpointStandin {
 public:
  static base::Result<std::unique_ptr<EndpointStandin>> Create(
      transport::Reactor& reactor,
      transport::TimerQueue& timers,
      base::HostEntry entry,
      EndpointModel model);

  const base::HostEntry& entry() const { return entry_; }

  void OrderFault(Fault fault) { gate_.Order(fault); }
  // From now on, refuses new work as not run and says that it leaves.
  void Leave() { is_leaving_ = true; }

  uint64_t executions() const { return executions_; }
  // By idempotency key.
  const std::map<std::string, uint64_t>& executions_by_key() const {
    return executions_by_key_;
  }

 private:
  struct Job {
    transport::ExchangeId exchange{};
    std::string path;
    std::string attempt;
    std::string body;
  };

  EndpointStandin(transport::TimerQueue& timers,
                  base::HostEntry entry,
                  EndpointModel model);

  void Handle(transport::IncomingRequest request);
  void Refuse(transport::ExchangeId exchange, const std::string& attempt);
  void Start(Job job);
  void Finish(const Job& job);
  void SendToken(const Job& job, uint32_t index);
  void FreeSlot();
  transport::HttpHeaders HeadersOf(const Job& job) const;
  std::string AnswerOf(const Job& job) const;

  transport::TimerQueue& timers_;
  FaultGate gate_;
  base::HostEntry entry_;
  EndpointModel model_;
  std::unique_ptr<transport::HttpListener> listener_;
  std::deque<Job> waiting_;
  uint32_t running_ = 0;
  bool is_leaving_ = false;
  uint64_t executions_ = 0;
  std::map<std::string, uint64_t> executions_by_key_;
};

}  // namespace bilberry::standins
