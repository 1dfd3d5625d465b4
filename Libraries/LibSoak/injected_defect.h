#pragma once

#include <array>
#include <utility>

namespace bilberry::soak {

// Breaks promises behind the checks' back, to show that a run sees it.
enum class InjectedDefect {
  kNone,
  kDoublingLinks,  // Callers' links pass each request on twice.
  kDeafHosts,      // The store falls silent for hosts once they have begun.
  kKillingStops,   // Hosts that are ordered to stop are killed.
};

inline constexpr std::array kInjectedDefects{
    std::pair{InjectedDefect::kNone, "none"},
    std::pair{InjectedDefect::kDoublingLinks, "doubling-links"},
    std::pair{InjectedDefect::kDeafHosts, "deaf-hosts"},
    std::pair{InjectedDefect::kKillingStops, "killing-stops"},
};

}  // namespace bilberry::soak
