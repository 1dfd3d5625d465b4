#pragma once

#include <json/value.h>

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

#include "LibBase/time.h"

namespace bilberry::transport {

// Serializes a value without line breaks or comments.
std::string PrintCompact(const Json::Value& value);

// Whether all of these members are present and strings.
bool HasStringMembers(const Json::Value& object,
                      std::initializer_list<const char*> keys);

// Reads a duration in microseconds, clamped to one day so that sums can't
// overflow. Empty if the value is not a whole number.
std::optional<base::Duration> ParseMicroseconds(const Json::Value& value);

// Parses a text. Empty if it isn't exactly one JSON value.
std::optional<Json::Value> ParseJsonValue(std::string_view text);

}  // namespace bilberry::transport
