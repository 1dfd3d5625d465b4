#pragma once

#include <array>
#include <string>
#include <string_view>
#include <utility>

#include "LibBase/time.h"
#include "LibSoak/value_names.h"

namespace bilberry::soak {

// Invariants that callers and endpoints rely on under any faults.
enum class Invariant {
  kAnswerMatchesRequest,  // Every answer belongs to its request.
  kWholeAnswer,           // No incomplete answer looks complete.
  kStreamOrder,           // Each event of a stream arrives once and in order.
  // All events of a stream are from endpoints of one software version.
  kOneVersion,
  kRunMatchesRequest,   // Everything that runs was requested, unchanged.
  kAtMostOnce,          // Requests that may run once run at most once.
  kRefusalMeansNotRun,  // A request refused as not run never runs.
  kAnswered,            // Every request gets an answer by its deadline.
  kNoInterruption,      // Planned maintenance interrupts no request.
  // A withdrawn key isn't accepted after the configuration bound.
  kWithdrawnKey,
  kKnownKey,  // A valid key isn't rejected as unknown.
  // A leaving endpoint gets no request after the drain bound.
  kLeavingEndpoint,
  kStop,              // An ordered stop exits cleanly within its grace period.
  kNoUnexpectedExit,  // No process ends on its own.
  // A request that crashes endpoints reaches none once all hosts know of it.
  kContained,
  // After faults every host serves each kind of request again in time.
  kRecovery,
};

inline constexpr std::array kInvariants{
    std::pair{Invariant::kAnswerMatchesRequest, "own-answer"},
    std::pair{Invariant::kWholeAnswer, "whole-answer"},
    std::pair{Invariant::kStreamOrder, "stream-order"},
    std::pair{Invariant::kOneVersion, "one-version"},
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
    std::pair{Invariant::kContained, "contained"},
    std::pair{Invariant::kRecovery, "recovery"},
};

constexpr std::string_view ToText(Invariant invariant) {
  return NameIn(kInvariants, invariant);
}

struct Violation {
  Invariant invariant{};
  base::TimePoint at;
  std::string request;  // Empty if the violation concerns no request.
  std::string detail;
};

}  // namespace bilberry::soak
