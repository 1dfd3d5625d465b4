#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibBase/error.h"
#include "LibTransport/http_listener.h"
#include "LibTransport/timer_queue.h"

namespace bilberry::standins {

enum class FaultKind {
  kNone,
  kDown,        // Connections are closed without an answer and without effect.
  kSlow,        // Takes effect, answered after a delay.
  kAnswerLost,  // Takes effect; the connection is closed unanswered.
  kFrozen,      // No effect and no answer; the connection stays open.
  kSilent,      // Takes effect; no answer; the connection stays open.
};

// An active fault: for `count` requests, or until the next order if 0.
struct Fault {
  FaultKind kind = FaultKind::kNone;
  std::chrono::milliseconds delay{0};
  uint64_t count = 0;
};

base::Result<Fault> ParseFault(const std::string& text);

// Applies the ordered fault to a stand-in's requests and answers.
class FaultInjector {
 public:
  using Effect = std::function<transport::HttpResponse()>;

  explicit FaultInjector(transport::TimerQueue& timers) : timers_(timers) {}

  void Order(Fault fault) { fault_ = fault; }

  // Runs `effect` and answers, or omits either, as the fault specifies.
  void Serve(const std::shared_ptr<transport::HttpListener>& listener,
             transport::ExchangeId exchange,
             const Effect& effect);

 private:
  FaultKind Take();

  transport::TimerQueue& timers_;
  Fault fault_;
};

}  // namespace bilberry::standins
