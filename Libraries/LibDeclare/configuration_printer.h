#pragma once

#include <string>
#include <string_view>

#include "LibDeclare/configuration.h"

namespace bilberry::declare {

// Prints a configuration as JSON with comments. ParseConfiguration() gives the
// same configuration back when it is sound. `heading` becomes a comment at the
// top; it may have several lines.
std::string PrintConfiguration(const Configuration& configuration,
                               std::string_view heading);

}  // namespace bilberry::declare
