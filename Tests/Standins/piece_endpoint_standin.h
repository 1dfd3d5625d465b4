#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "LibTransport/http_listener.h"
#include "LibTransport/timer_queue.h"

namespace bilberry::standins {

// What an endpoint of the users' platform does with the next requests.
enum class EndpointFault {
  kNone,
  kRefuses,       // 503, not run.
  kFails,         // An error of its own, run.
  kNamesAnother,  // Answers with the id of another request.
  kUnsealed,      // Answers without its mark.
  kBreaks,        // Closes without an answer, run.
  kCutsStream,    // Closes in the middle of the third event.
  kRejects,       // 404 with a text.
  kOtherType,     // A page in place of events.
  kHangs,         // Never answers.
};

struct PieceEndpointModel {
  base::EndpointName name;
  std::chrono::milliseconds service{5};  // Of a request, or of a stage call.
  uint32_t events = 5;                   // Of a stream.
  std::chrono::milliseconds event_gap{2};
  bool needs_inputs = false;
  size_t answer_padding = 0;    // Bytes of a plain answer behind its line.
  bool names_requests = false;  // In each event of a stream.
};

// A request as it reached the endpoint.
struct Arrival {
  std::string method;
  std::string target;
  base::HttpHeaders headers;
  std::string body;
  bool has_run = true;
};

// An endpoint of the users' platform: a plain service, a model engine that
// streams, and a maker of pieces in one. Results live as long as the process.
class PieceEndpointStandin {
 public:
  static base::Result<std::unique_ptr<PieceEndpointStandin>> Create(
      transport::Reactor& reactor,
      const base::SocketAddress& address,
      PieceEndpointModel model);

  const base::SocketAddress& address() const { return service_->address(); }
  const PieceEndpointModel& model() const { return model_; }

  // For this many requests.
  void InjectFault(EndpointFault fault, uint32_t count = 1) {
    fault_ = fault;
    fault_count_ = count;
  }

  // Headers of all answers from now on, whatever they answer.
  void SetNotices(base::HttpHeaders notices) { notices_ = std::move(notices); }

  const std::vector<Arrival>& arrivals() const { return arrivals_; }
  // Pieces in each stage call, in order.
  const std::vector<size_t>& calls() const { return calls_; }
  size_t held_results() const { return results_.size(); }
  // Requests whose caller closed before the answer was complete.
  uint32_t left_count() const { return left_count_; }

 private:
  struct Stream {
    transport::ExchangeId exchange{};
    std::string name;  // Of the request, in events.
    uint32_t next = 0;
    bool is_cut = false;
  };

  PieceEndpointStandin(transport::Reactor& reactor, PieceEndpointModel model);

  void Handle(const transport::IncomingRequest& request);
  EndpointFault TakeFault();
  void Respond(transport::ExchangeId exchange,
               transport::HttpResponse response);
  void RunStage(const transport::IncomingRequest& request);
  void Free(const transport::IncomingRequest& request);
  void Serve(const transport::IncomingRequest& request, EndpointFault fault);
  void BeginStream(const transport::IncomingRequest& request,
                   EndpointFault fault);
  void GoOn(const std::shared_ptr<Stream>& stream);
  base::HttpHeaders HeadersFor(const transport::IncomingRequest& request,
                               EndpointFault fault) const;

  transport::TimerQueue timers_;
  PieceEndpointModel model_;
  std::unique_ptr<transport::HttpListener> service_;
  EndpointFault fault_ = EndpointFault::kNone;
  uint32_t fault_count_ = 0;
  base::HttpHeaders notices_;
  std::vector<Arrival> arrivals_;
  std::vector<size_t> calls_;
  std::set<std::string> results_;
  uint64_t last_result_ = 0;
  uint32_t left_count_ = 0;
};

}  // namespace bilberry::standins
