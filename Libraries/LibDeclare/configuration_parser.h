#pragma once

#include <string_view>

#include "LibDeclare/configuration.h"
#include "LibDeclare/fault.h"

namespace bilberry::declare {

// A configuration is usable only when there are no faults.
struct ParsedConfiguration {
  Configuration configuration;
  Faults faults;
};

// Parses the declared configuration and checks that it fits together; finds
// all faults at once.
ParsedConfiguration ParseConfiguration(std::string_view text);

}  // namespace bilberry::declare
