#pragma once

#include <json/value.h>

#include <optional>
#include <string>
#include <string_view>

#include "LibDeclare/fault.h"

namespace bilberry::declare {

// Longest accepted document, in bytes.
inline constexpr size_t kMaxDocumentBytes = size_t{4} * 1024 * 1024;

// A parsed JSON document with comments that maps values to line numbers.
struct JsonDocument {
  std::string text;
  Json::Value root;

  int LineOf(const Json::Value& value) const;
};

// Parses a text; duplicate keys and trailing content are faults. Returns empty
// and appends to `faults` on failure.
std::optional<JsonDocument> ParseJson(std::string_view text, Faults& faults);

}  // namespace bilberry::declare
