#pragma once

#include <array>
#include <utility>

namespace bilberry::soak {

// Deliberate violations of the invariants, to verify that a run detects them.
enum class InjectedDefect {
  kNone,
  kDoublingLinks,  // Callers' links deliver each request twice.
  kDeafHosts,  // The hosts' links to the store go silent once the hosts serve.
  kKillingStops,  // Hosts are killed in place of an ordered stop.
};

inline constexpr std::array kInjectedDefects{
    std::pair{InjectedDefect::kNone, "none"},
    std::pair{InjectedDefect::kDoublingLinks, "doubling-links"},
    std::pair{InjectedDefect::kDeafHosts, "deaf-hosts"},
    std::pair{InjectedDefect::kKillingStops, "killing-stops"},
};

}  // namespace bilberry::soak
