#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibSoak/value_names.h"

// What befalls the world, and when, all drawn from a seed.
namespace bilberry::soak {

enum class FaultKind {
  // Planned work.
  kStop,
  kReload,
  kConfiguration,
  kKeyWithdrawn,
  kEndpointLeaves,
  // All others are not.
  kKill,
  kFreeze,
  kLinkSilent,
  kLinkOneWayOut,
  kLinkOneWayBack,
  kLinkReset,
  kLinkSlow,
  kStoreLinkSilent,
  kStoreLinkReset,
  kStoreDown,
  kStoreSlow,
  kStoreFrozen,
  kStoreLosesAnswers,
  kStoreForgets,
  kEndpointDies,
  kEndpointMisbehaves,
};

inline constexpr std::array kFaultKinds{
    std::pair{FaultKind::kStop, "stop"},
    std::pair{FaultKind::kReload, "reload"},
    std::pair{FaultKind::kConfiguration, "configuration"},
    std::pair{FaultKind::kKeyWithdrawn, "key-withdrawn"},
    std::pair{FaultKind::kEndpointLeaves, "endpoint-leaves"},
    std::pair{FaultKind::kKill, "kill"},
    std::pair{FaultKind::kFreeze, "freeze"},
    std::pair{FaultKind::kLinkSilent, "link-silent"},
    std::pair{FaultKind::kLinkOneWayOut, "link-one-way-out"},
    std::pair{FaultKind::kLinkOneWayBack, "link-one-way-back"},
    std::pair{FaultKind::kLinkReset, "link-reset"},
    std::pair{FaultKind::kLinkSlow, "link-slow"},
    std::pair{FaultKind::kStoreLinkSilent, "store-link-silent"},
    std::pair{FaultKind::kStoreLinkReset, "store-link-reset"},
    std::pair{FaultKind::kStoreDown, "store-down"},
    std::pair{FaultKind::kStoreSlow, "store-slow"},
    std::pair{FaultKind::kStoreFrozen, "store-frozen"},
    std::pair{FaultKind::kStoreLosesAnswers, "store-loses-answers"},
    std::pair{FaultKind::kStoreForgets, "store-forgets"},
    std::pair{FaultKind::kEndpointDies, "endpoint-dies"},
    std::pair{FaultKind::kEndpointMisbehaves, "endpoint-misbehaves"},
};

constexpr std::string_view ToText(FaultKind kind) {
  return NameIn(kFaultKinds, kind);
}

// The kinds of planned work stand first.
constexpr bool IsPlanned(FaultKind kind) {
  return kind <= FaultKind::kEndpointLeaves;
}

struct PlannedFault {
  std::chrono::milliseconds at{0};  // Since the load began.
  std::chrono::milliseconds lasts{0};
  FaultKind kind{};
  uint64_t target = 0;  // Of hosts or endpoints; the rest of a division.

  friend bool operator==(const PlannedFault&, const PlannedFault&) = default;
};

using FaultPlan = std::vector<PlannedFault>;

// In the order of time. Stretches with planned work alone stand between others,
// so that its promises are put to the test.
FaultPlan DrawFaultPlan(uint64_t seed, std::chrono::milliseconds span);

std::string ToText(const PlannedFault& fault);

}  // namespace bilberry::soak
