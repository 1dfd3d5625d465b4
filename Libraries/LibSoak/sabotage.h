#pragma once

#include <array>
#include <utility>

namespace bilberry::soak {

// Breaks promises behind the checks' back, to show that a run sees it.
enum class Sabotage {
  kNone,
  kDoublingLinks,  // Callers' links pass each request on twice.
  kDeafHosts,      // The store falls silent for hosts once they have begun.
  kKillingStops,   // Hosts that are ordered to stop are killed.
};

inline constexpr std::array kSabotages{
    std::pair{Sabotage::kNone, "none"},
    std::pair{Sabotage::kDoublingLinks, "doubling-links"},
    std::pair{Sabotage::kDeafHosts, "deaf-hosts"},
    std::pair{Sabotage::kKillingStops, "killing-stops"},
};

}  // namespace bilberry::soak
