#pragma once

#include <optional>
#include <string>
#include <vector>

#include "LibDeclare/configuration.h"

namespace bilberry::declare {

// One field that is not the same in two configurations. What is declared by
// name is compared by name, wherever it stands.
struct Difference {
  std::string field;                  // Such as "pools.banco.workers".
  std::optional<std::string> before;  // Empty when the field is new.
  std::optional<std::string> after;   // Empty when the field is gone.
};

// All differences, sorted by field.
std::vector<Difference> Compare(const Configuration& before,
                                const Configuration& after);

// "+ field: after", "- field: before" or "~ field: before -> after".
std::string ToText(const Difference& difference);

}  // namespace bilberry::declare
