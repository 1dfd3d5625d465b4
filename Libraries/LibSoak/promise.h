#pragma once

#include <array>
#include <string>
#include <string_view>
#include <utility>

#include "LibBase/time.h"
#include "LibSoak/value_names.h"

namespace bilberry::soak {

// What callers and endpoints may rely on, whatever fails.
enum class Promise {
  kOwnAnswer,        // No answer that isn't the request's own.
  kWholeAnswer,      // None that looks complete and isn't.
  kStreamOrder,      // Each event once, in order.
  kOwnRun,           // What runs was asked for, unchanged.
  kAtMostOnce,       // What may run once does so at most.
  kTrueRefusal,      // What was refused as not run doesn't run.
  kAnswered,         // Each request is, when its time is over.
  kUncut,            // Planned work cuts nothing off.
  kWithdrawnKey,     // Not served after its time.
  kKnownKey,         // Not refused as unknown.
  kLeavingEndpoint,  // Gets nothing after its time.
  kStop,             // An ordered stop ends well and in its grace.
  kLife,             // No process ends by itself.
  kRecovery,         // Each kind is served at each host again in time.
};

inline constexpr std::array kPromises{
    std::pair{Promise::kOwnAnswer, "own-answer"},
    std::pair{Promise::kWholeAnswer, "whole-answer"},
    std::pair{Promise::kStreamOrder, "stream-order"},
    std::pair{Promise::kOwnRun, "own-run"},
    std::pair{Promise::kAtMostOnce, "at-most-once"},
    std::pair{Promise::kTrueRefusal, "true-refusal"},
    std::pair{Promise::kAnswered, "answered"},
    std::pair{Promise::kUncut, "uncut"},
    std::pair{Promise::kWithdrawnKey, "withdrawn-key"},
    std::pair{Promise::kKnownKey, "known-key"},
    std::pair{Promise::kLeavingEndpoint, "leaving-endpoint"},
    std::pair{Promise::kStop, "stop"},
    std::pair{Promise::kLife, "life"},
    std::pair{Promise::kRecovery, "recovery"},
};

constexpr std::string_view ToText(Promise promise) {
  return NameIn(kPromises, promise);
}

struct Violation {
  Promise promise{};
  base::TimePoint at;
  std::string request;  // Empty if it isn't about one.
  std::string detail;
};

}  // namespace bilberry::soak
