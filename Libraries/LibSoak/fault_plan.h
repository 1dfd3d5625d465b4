#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibSoak/value_names.h"

// Schedules of faults, drawn from a seed.
namespace bilberry::soak {

enum class FaultKind {
  // Planned maintenance.
  kStop,
  kReload,
  kConfiguration,
  kKeyWithdrawn,
  kEndpointLeaves,
  // Unplanned faults.
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
  kDeadlyRequest,
  kStoreRestored,
  kStorePerformsLate,
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
    std::pair{FaultKind::kDeadlyRequest, "deadly-request"},
    std::pair{FaultKind::kStoreRestored, "store-restored"},
    std::pair{FaultKind::kStorePerformsLate, "store-performs-late"},
};

constexpr std::string_view ToText(FaultKind kind) {
  return NameIn(kFaultKinds, kind);
}

// Relies on the order of FaultKind: planned maintenance comes first.
constexpr bool IsPlanned(FaultKind kind) {
  return kind <= FaultKind::kEndpointLeaves;
}

struct PlannedFault {
  std::chrono::milliseconds at{0};  // Since the start of the load.
  std::chrono::milliseconds lasts{0};
  FaultKind kind{};
  // Selects a host or an endpoint by the remainder of a division.
  uint64_t target = 0;

  friend bool operator==(const PlannedFault&, const PlannedFault&) = default;
};

using FaultPlan = std::vector<PlannedFault>;

// Sorted by time. Stretches with planned work only alternate with stretches of
// all faults, so that the invariants for planned work are tested.
FaultPlan DrawFaultPlan(uint64_t seed, std::chrono::milliseconds span);

std::string ToText(const PlannedFault& fault);

}  // namespace bilberry::soak
