#include "LibDeclare/fault.h"

namespace bilberry::declare {

std::string ToText(const std::string& file, const Fault& fault) {
  std::string text = file + ":" + std::to_string(fault.line) + ": ";
  if (!fault.field.empty())
    text += fault.field + ": ";
  text += fault.reason;
  if (!fault.hint.empty())
    text += " (" + fault.hint + ")";
  return text;
}

}  // namespace bilberry::declare
