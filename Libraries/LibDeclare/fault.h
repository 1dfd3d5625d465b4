#pragma once

#include <string>
#include <vector>

namespace bilberry::declare {

// An error in a document: its location, the reason and a hint on how to fix the
// document.
struct Fault {
  int line = 0;       // Counted from 1; 0 if the fault has no location.
  std::string field;  // Such as "pools[2].workers".
  std::string reason;
  std::string hint;  // May be empty.
};

using Faults = std::vector<Fault>;

// Formats a fault as "file:line: field: reason (hint)".
std::string ToText(const std::string& file, const Fault& fault);

}  // namespace bilberry::declare
