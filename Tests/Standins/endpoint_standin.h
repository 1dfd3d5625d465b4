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
  // Of a request that runs alone.
  std::chrono::milliseconds service{5};
  // What each further request of the batch adds to the time of a request.
  uint32_t batch_percent = 0;
  // What each KiB of the body adds, as a prompt does.
  std::chrono::microseconds per_kilobyte{0};
  // Of a streamed answer.
  uint32_t tokens = 8;
  std::chrono::milliseconds between_tokens{2};
  // A whole answer is given for every path but this one.
  std::string streamed_path = "/generate";
  bool resumes_streams = true;
  bool reports_load = false;
  // A body with this text kills the endpoint; none does when it is empty.
  std::string crash_mark;
  std::chrono::milliseconds restart_time{3000};
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

  void InjectFault(Fault fault) { gate_.Order(fault); }
  // Requests that start from now on take this many times as long.
  void SetSlowdown(uint32_t factor) { slowness_ = factor; }
  // From now on, refuses new work as not run and says that it leaves.
  void Leave() { is_leaving_ = true; }
  // Breaks off all that is in flight, and takes no connection until Revive().
  void Die();
  void Revive();

  uint64_t executions() const { return executions_; }
  uint64_t deaths() const { return deaths_; }
  // By idempotency key.
  const std::map<std::string, uint64_t>& executions_by_key() const {
    return executions_by_key_;
  }
  // Time spent on each request of the load tool, by its number.
  const std::map<uint64_t, base::Duration>& work_by_request() const {
    return work_by_request_;
  }

 private:
  struct Job {
    transport::ExchangeId exchange{};
    std::string path;
    std::string attempt;
    std::string body;
    uint64_t life = 0;  // Of the process that took it.
    uint64_t resume_offset = 0;
    uint64_t unsent = 0;  // Bytes of the stream that the caller has already.
    base::Duration between_tokens{};
  };

  EndpointStandin(transport::Reactor& reactor,
                  transport::TimerQueue& timers,
                  base::HostEntry entry,
                  EndpointModel model);

  base::Result<void> Listen();
  void Handle(transport::IncomingRequest request);
  void Refuse(transport::ExchangeId exchange, const std::string& attempt);
  void Crash();
  void Start(Job job);
  void Finish(Job job);
  void BeginStream(Job job);
  void SendToken(Job job, uint32_t index);
  void WriteRest(Job& job, const std::string& text);
  void FreeSlot();
  // How many times as long a request takes now as one that runs alone.
  double Stretch() const;
  base::Duration ServiceTimeOf(const Job& job) const;
  transport::HttpHeaders HeadersOf(const Job& job) const;
  std::string AnswerOf(const Job& job) const;

  transport::Reactor& reactor_;
  transport::TimerQueue& timers_;
  FaultInjector gate_;
  base::HostEntry entry_;
  EndpointModel model_;
  std::shared_ptr<transport::HttpListener> listener_;
  std::deque<Job> waiting_;
  uint32_t running_ = 0;
  uint32_t slowness_ = 1;
  uint64_t life_ = 0;
  bool is_leaving_ = false;
  uint64_t executions_ = 0;
  uint64_t deaths_ = 0;
  std::map<std::string, uint64_t> executions_by_key_;
  std::map<uint64_t, base::Duration> work_by_request_;
};

}  // namespace bilberry::standins
