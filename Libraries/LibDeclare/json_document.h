#pragma once

#include <json/value.h>

#include <optional>
#include <string>
#include <string_view>

#include "LibDeclare/fault.h"

namespace bilberry::declare {

// The longest document taken, in bytes.
inline constexpr size_t kMaxDocumentBytes = size_t{4} * 1024 * 1024;

// A parsed JSON-with-comments text that knows the line of each value.
struct JsonDocument {
  std::string text;
  Json::Value root;

  int LineOf(const Json::Value& value) const;
};

// Parses a text; doubled keys and trailing matter are faults. Empty when there
// were faults, which are appended.
std::optional<JsonDocument> ParseJson(std::string_view text, Faults& faults);

}  // namespace bilberry::declare
