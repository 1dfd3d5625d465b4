#include "Standins/fault_injector.h"

#include <array>
#include <utility>

#include "LibTransport/json_text.h"

namespace bilberry::standins {

namespace {

constexpr std::array kNames{
    std::pair{FaultKind::kNone, "none"},
    std::pair{FaultKind::kDown, "down"},
    std::pair{FaultKind::kSlow, "slow"},
    std::pair{FaultKind::kAnswerLost, "answer_lost"},
    std::pair{FaultKind::kFrozen, "frozen"},
    std::pair{FaultKind::kSilent, "silent"},
};

}  // namespace

base::Result<Fault> ParseFault(const std::string& text) {
  const auto value = transport::ParseJsonValue(text);
  if (value && value->isObject()) {
    for (const auto& [kind, name] : kNames) {
      if ((*value)["kind"] == name)
        return Fault{kind,
                     std::chrono::milliseconds((*value)["delay_ms"].asInt64()),
                     (*value)["count"].asUInt64()};
    }
  }
  return base::Error{base::ErrorCode::kMalformed, base::Step::kOperatorCall, "",
                     "unknown fault: " + text};
}

FaultKind FaultInjector::Take() {
  const FaultKind kind = fault_.kind;
  if (fault_.count > 0 && --fault_.count == 0)
    fault_ = Fault{};
  return kind;
}

void FaultInjector::Serve(
    const std::shared_ptr<transport::HttpListener>& listener,
    transport::ExchangeId exchange,
    const Effect& effect) {
  const std::chrono::milliseconds delay = fault_.delay;
  switch (Take()) {
    case FaultKind::kNone:
      listener->Respond(exchange, effect());
      return;
    case FaultKind::kDown:
      listener->Abort(exchange);
      return;
    case FaultKind::kSlow:
      timers_.After(delay, [weak = std::weak_ptr(listener), exchange,
                            response = effect()] {
        if (const auto present = weak.lock())
          present->Respond(exchange, response);
      });
      return;
    case FaultKind::kAnswerLost:
      effect();
      listener->Abort(exchange);
      return;
    case FaultKind::kFrozen:
      return;
    case FaultKind::kSilent:
      effect();
      return;
  }
}

}  // namespace bilberry::standins
