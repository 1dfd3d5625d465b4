#pragma once

#include <string>
#include <string_view>

#include "LibBase/error.h"
#include "LibBase/ids.h"

namespace bilberry::membership {

// The table row that names the configuration in force.
inline constexpr std::string_view kConfigurationHeadKey = "configuration/head";

// The value of that row.
struct ConfigurationHead {
  base::Revision revision{};
  std::string object;  // Where the document is kept.
  std::string change;  // The id of the change that moved the head here.

  friend bool operator==(const ConfigurationHead&,
                         const ConfigurationHead&) = default;
};

std::string SerializeHead(const ConfigurationHead& head);
base::Result<ConfigurationHead> ParseHead(std::string_view text);

}  // namespace bilberry::membership
