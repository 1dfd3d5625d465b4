#pragma once

#include <string>
#include <string_view>

#include "LibBase/error.h"
#include "LibBase/ids.h"

namespace bilberry::membership {

// Key of the table row that names the configuration in force.
inline constexpr std::string_view kConfigurationHeadKey = "configuration/head";

// Value of the head row.
struct ConfigurationHead {
  base::Revision revision{};
  std::string object;  // Name of the object that holds the document.
  std::string change;  // Id of the change that wrote this head.

  friend bool operator==(const ConfigurationHead&,
                         const ConfigurationHead&) = default;
};

std::string SerializeHead(const ConfigurationHead& head);
base::Result<ConfigurationHead> ParseHead(std::string_view text);

}  // namespace bilberry::membership
