#pragma once

#include <json/value.h>

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

#include "LibBase/time.h"

namespace bilberry::transport {

// Without line breaks or comments.
std::string PrintCompact(const Json::Value& value);

// Whether all of these members are there and texts.
bool HasStringMembers(const Json::Value& object,
                      std::initializer_list<const char*> keys);

// Microseconds; what is longer than a day counts as one, so that sums stay
// within their type. Empty when the value is no whole number.
std::optional<base::Duration> ParseMicroseconds(const Json::Value& value);

// Empty when the text isn't one JSON value.
std::optional<Json::Value> ParseJsonValue(std::string_view text);

}  // namespace bilberry::transport
