#pragma once

#include <json/value.h>

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace bilberry::transport {

// Without line breaks or comments.
std::string PrintCompact(const Json::Value& value);

// Whether all of these members are there and texts.
bool HasTexts(const Json::Value& object,
              std::initializer_list<const char*> keys);

// Empty when the text isn't one JSON value.
std::optional<Json::Value> ParseCompact(std::string_view text);

}  // namespace bilberry::transport
