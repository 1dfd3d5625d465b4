#pragma once

#include <optional>
#include <string>
#include <vector>

#include "LibDeclare/configuration.h"

namespace bilberry::declare {

// A field that differs between two configurations. Named declarations are
// matched by name, regardless of their order.
struct Difference {
  std::string field;                  // Such as "pools.banco.workers".
  std::optional<std::string> before;  // Empty if the field was added.
  std::optional<std::string> after;   // Empty if the field was removed.
};

// Returns all differences, sorted by field.
std::vector<Difference> Compare(const Configuration& before,
                                const Configuration& after);

// Formats a difference as "+ field: after", "- field: before" or "~ field:
// before -> after".
std::string ToText(const Difference& difference);

}  // namespace bilberry::declare
