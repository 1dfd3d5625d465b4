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
#include "Standins/fault_injector.h"

namespace bilberry::standins {

// Service times and concurrency of an endpoint.
struct EndpointModel {
  uint32_t slots = 4;
  // Service time of a request that runs alone.
  std::chrono::milliseconds service{5};
  // Additional time in percent for each other request in the batch.
  uint32_t batch_percent = 0;
  // Additional time for each KiB of the body, as for a prompt.
  std::chrono::microseconds per_kilobyte{0};
  // Number of tokens of a streamed answer.
  uint32_t tokens = 8;
  std::chrono::milliseconds between_tokens{2};
  // Requests to this path are streamed; all others get a complete answer.
  std::string streamed_path = "/generate";
  bool resumes_streams = true;
  bool reports_load = false;
  // A body that contains this text crashes the endpoint; empty for no crashes.
  std::string crash_mark;
  std::chrono::milliseconds restart_time{3000};
};

// An endpoint that acts as a model engine or a plain service. It echoes its
// input so that a test can check whose result it received, and counts
// executions.
class EndpointStandin {
 public:
  static base::Result<std::unique_ptr<EndpointStandin>> Create(
      transport::Reactor& reactor,
      transport::TimerQueue& timers,
      base::HostEntry entry,
      EndpointModel model);

  const base::HostEntry& entry() const { return entry_; }

  void InjectFault(Fault fault) { fault_injector_.Order(fault); }
  // Multiplies the service time of requests that start from now on.
  void SetSlowdown(uint32_t factor) { slowness_ = factor; }
  // Refuses new work as not run from now on, and announces its departure.
  void Leave() { is_leaving_ = true; }
  // Aborts all requests in flight and refuses connections until Revive().
  void Die();
  void Revive();

  uint64_t executions() const { return executions_; }
  uint64_t deaths() const { return deaths_; }
  // Executions by idempotency key.
  const std::map<std::string, uint64_t>& executions_by_key() const {
    return executions_by_key_;
  }
  // Service time by the load tool's request number.
  const std::map<uint64_t, base::Duration>& work_by_request() const {
    return work_by_request_;
  }

 private:
  struct Job {
    transport::ExchangeId exchange{};
    std::string path;
    std::string attempt;
    std::string body;
    // Life of the endpoint in which the job arrived; jobs of an earlier life
    // are dropped.
    uint64_t incarnation = 0;
    uint64_t resume_offset = 0;
    // Bytes of the stream that are skipped because the caller has them already.
    uint64_t unsent = 0;
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
  // Current factor on the service time, from slowness and batch size.
  double SlowdownFactor() const;
  base::Duration ServiceTimeOf(const Job& job) const;
  transport::HttpHeaders HeadersOf(const Job& job) const;
  std::string AnswerOf(const Job& job) const;

  transport::Reactor& reactor_;
  transport::TimerQueue& timers_;
  FaultInjector fault_injector_;
  base::HostEntry entry_;
  EndpointModel model_;
  std::shared_ptr<transport::HttpListener> listener_;
  std::deque<Job> waiting_;
  uint32_t running_ = 0;
  uint32_t slowness_ = 1;
  uint64_t incarnation_ = 0;
  bool is_leaving_ = false;
  uint64_t executions_ = 0;
  uint64_t deaths_ = 0;
  std::map<std::string, uint64_t> executions_by_key_;
  std::map<uint64_t, base::Duration> work_by_request_;
};

}  // namespace bilberry::standins
