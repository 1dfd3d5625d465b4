#pragma once

#include <algorithm>
#include <string_view>

namespace bilberry::soak {

// Looks up the name of a value in an array of value-name pairs; empty if it has
// none.
template <typename Names, typename Value>
constexpr std::string_view NameIn(const Names& names, const Value& value) {
  const auto it = std::ranges::find(
      names, value, [](const auto& entry) { return entry.first; });
  return it == names.end() ? std::string_view() : std::string_view(it->second);
}

}  // namespace bilberry::soak
