#pragma once

#include <string_view>

#include "LibDeclare/configuration.h"
#include "LibDeclare/fault.h"

namespace bilberry::declare {

// A parsed configuration, valid only if there are no faults.
struct ParsedConfiguration {
  Configuration configuration;
  Faults faults;
};

// Parses and validates the declared configuration; reports all faults at once.
ParsedConfiguration ParseConfiguration(std::string_view text);

}  // namespace bilberry::declare
