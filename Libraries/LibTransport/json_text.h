#pragma once

#include <json/value.h>

#include <optional>
#include <string>
#include <string_view>

namespace bilberry::transport {

// Without line breaks or comments.
std::string PrintCompact(const Json::Value& value);

// Empty when the text isn't one JSON value.
std::optional<Json::Value> ParseCompact(std::string_view text);

}  // namespace bilberry::transport
