#pragma once

#include <string>
#include <string_view>

#include "LibDeclare/configuration.h"

namespace bilberry::declare {

// Prints a configuration as JSON with comments. For a valid configuration,
// ParseConfiguration() returns the same configuration. `heading` becomes a
// comment at the top and may have several lines.
std::string PrintConfiguration(const Configuration& configuration,
                               std::string_view heading);

}  // namespace bilberry::declare
