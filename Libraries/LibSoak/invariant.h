#pragma once

#include <array>
#include <string>
#include <string_view>
#include <utility>

#include "LibBase/time.h"
#include "LibSoak/value_names.h"

namespace bilberry::soak {

// What callers and endpoints may rely on, whatever fails.
enum class Invariant {
  kAnswerMatchesRequest,  // No answer that isn't the request's own.
  kWholeAnswer,           // None that looks complete and isn't.
  kStreamOrder,           // Each event once, in order.
  kRunMatchesRequest,     // What runs was asked for, unchanged.
  kAtMostOnce,            // What may run once does so at most.
  kRefusalMeansNotRun,    // What was refused as not run doesn't run.
  kAnswered,              // Each request is, when its time is over.
  kNoInterruption,        // Planned work cuts nothing off.
  kWithdrawnKey,          // Not served after its time.
  kKnownKey,              // Not refused as unknown.
  kLeavingEndpoint,       // Gets nothing after its time.
  kStop,                  // An ordered stop ends well and in its grace.
  kNoUnexpectedExit,      // No process ends by itself.
  kRecovery,              // Each kind is served at each host again in time.
};

inline constexpr std::array kInvariants{
    std::pair{Invariant::kAnswerMatchesRequest, "own-answer"},
    std::pair{Invariant::kWholeAnswer, "whole-answer"},
    std::pair{Invariant::kStreamOrder, "stream-order"},
    std::pair{Invariant::kRunMatchesRequest, "own-run"},
    std::pair{Invariant::kAtMostOnce, "at-most-once"},
    std::pair{Invariant::kRefusalMeansNotRun, "true-refusal"},
    std::pair{Invariant::kAnswered, "answered"},
    std::pair{Invariant::kNoInterruption, "uncut"},
    std::pair{Invariant::kWithdrawnKey, "withdrawn-key"},
    std::pair{Invariant::kKnownKey, "known-key"},
    std::pair{Invariant::kLeavingEndpoint, "leaving-endpoint"},
    std::pair{Invariant::kStop, "stop"},
    std::pair{Invariant::kNoUnexpectedExit, "life"},
    std::pair{Invariant::kRecovery, "recovery"},
};

constexpr std::string_view ToText(Invariant invariant) {
  return NameIn(kInvariants, invariant);
}

struct Violation {
  Invariant invariant{};
  base::TimePoint at;
  std::string request;  // Empty if it isn't about one.
  std::string detail;
};

}  // namespace bilberry::soak
