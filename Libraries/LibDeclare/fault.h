#pragma once

#include <string>
#include <vector>

namespace bilberry::declare {

// One thing wrong with a document: where it is, why, and what to do.
struct Fault {
  int line = 0;       // From 1; 0 when the fault has no place of its own.
  std::string field;  // Such as "pools[2].workers".
  std::string reason;
  std::string hint;  // May be empty.
};

using Faults = std::vector<Fault>;

// "file:line: field: reason (hint)".
std::string ToText(const std::string& file, const Fault& fault);

}  // namespace bilberry::declare
