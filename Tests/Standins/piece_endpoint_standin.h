#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "LibTransport/http_listener.h"
#include "LibTransport/timer_queue.h"

namespace bilberry::standins {

// Faults of an endpoint in answering the next requests.
enum class EndpointFault {
  kNone,
  kRefuses,       // Answers 503 without running the request.
  kFails,         // Runs the request and answers with an error of its own.
  kNamesAnother,  // Answers with the id of another request.
  kUnsealed,      // Answers without its seal.
  kBreaks,      // Runs the request and closes the connection without an answer.
  kCutsStream,  // Closes the connection in the middle of the third event.
  kRejects,     // Answers 404 with a text.
  kOtherType,   // Answers with a page in place of events.
  kHangs,       // Never answers.
  kSendsBroken,  // Runs the request and answers with bytes that are no answer.
};

struct PieceEndpointModel {
  base::EndpointName name;
  // Service time of a request or a stage call.
  std::chrono::milliseconds service{5};
  uint32_t events = 5;  // Number of events of a stream.
  std::chrono::milliseconds event_gap{2};
  bool needs_inputs = false;
  size_t answer_padding = 0;  // Bytes after the first line of a plain answer.
  // Whether each event of a stream names its request.
  bool names_requests = false;
  // Listed, and named by each event of a stream; empty for none.
  std::string software_version = {};
  // A request or a stage call whose target or body contains this text crashes
  // the endpoint; empty for no crashes.
  std::string crash_mark;
  std::chrono::milliseconds restart_time{150};
};

// A request as received by the endpoint.
struct Arrival {
  std::string method;
  std::string target;
  base::HttpHeaders headers;
  std::string body;
  bool has_run = true;
};

// An endpoint of the platform that acts as a plain service, as a streaming
// model engine and as an endpoint for pieces. Results are kept for the lifetime
// of the object.
class PieceEndpointStandin {
 public:
  static base::Result<std::unique_ptr<PieceEndpointStandin>> Create(
      transport::Reactor& reactor,
      const base::SocketAddress& address,
      PieceEndpointModel model);

  const base::SocketAddress& address() const { return address_; }
  const PieceEndpointModel& model() const { return model_; }

  void SetCrashMark(std::string mark) { model_.crash_mark = std::move(mark); }
  // Ends the process: closes all connections, forgets all results, and starts
  // again under another name after the restart time.
  void Die();
  void SetOnDeath(std::function<void()> on_death) {
    on_death_ = std::move(on_death);
  }
  // Called after a restart with the name of the earlier process.
  using RestartHandler = std::function<void(const base::EndpointName& earlier)>;
  void SetOnRestart(RestartHandler on_restart) {
    on_restart_ = std::move(on_restart);
  }
  uint32_t death_count() const { return death_count_; }
  bool is_down() const { return service_ == nullptr; }

  // Applies the fault to the next `count` requests.
  void InjectFault(EndpointFault fault, uint32_t count = 1) {
    fault_ = fault;
    fault_count_ = count;
  }

  // Which of BrokenAnswers() is sent next; the others follow in turn.
  void SetNextBrokenForm(size_t form) { next_broken_form_ = form; }

  // Adds these headers to all answers from now on.
  void SetNotices(base::HttpHeaders notices) { notices_ = std::move(notices); }

  const std::vector<Arrival>& arrivals() const { return arrivals_; }
  // Number of pieces in each stage call, in order.
  const std::vector<size_t>& calls() const { return calls_; }
  size_t held_results() const { return results_.size(); }
  // Requests whose caller closed the connection before the answer was complete.
  uint32_t left_count() const { return left_count_; }

 private:
  struct Stream {
    transport::ExchangeId exchange{};
    std::string name;  // Suffix that names the request in each event.
    uint32_t next = 0;
    bool is_cut = false;
  };

  PieceEndpointStandin(transport::Reactor& reactor, PieceEndpointModel model);

  base::Result<void> Listen();
  void Restart();
  // Calls `call` after the delay, unless the process has ended by then.
  void After(base::Duration delay, std::function<void()> call);
  bool Crashes(const transport::IncomingRequest& request) const;
  void Handle(const transport::IncomingRequest& request);
  EndpointFault TakeFault();
  void Respond(transport::ExchangeId exchange,
               transport::HttpResponse response);
  void RunStage(const transport::IncomingRequest& request);
  void Free(const transport::IncomingRequest& request);
  void Serve(const transport::IncomingRequest& request, EndpointFault fault);
  void BeginStream(const transport::IncomingRequest& request,
                   EndpointFault fault);
  void ContinueStream(const std::shared_ptr<Stream>& stream);
  void RespondBroken(transport::ExchangeId exchange,
                     const base::HttpHeaders& headers);
  base::HttpHeaders HeadersFor(const transport::IncomingRequest& request,
                               EndpointFault fault) const;

  transport::Reactor& reactor_;
  transport::TimerQueue timers_;
  PieceEndpointModel model_;
  std::string first_name_;
  base::SocketAddress address_;
  std::unique_ptr<transport::HttpListener> service_;  // Null while restarting.
  uint32_t death_count_ = 0;
  std::function<void()> on_death_;
  RestartHandler on_restart_;
  EndpointFault fault_ = EndpointFault::kNone;
  uint32_t fault_count_ = 0;
  base::HttpHeaders notices_;
  std::vector<Arrival> arrivals_;
  std::vector<size_t> calls_;
  std::set<std::string> results_;
  uint64_t last_result_ = 0;
  size_t next_broken_form_ = 0;
  uint32_t left_count_ = 0;
};

}  // namespace bilberry::standins
