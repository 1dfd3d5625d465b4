#pragma once

#include <algorithm>
#include <string_view>

namespace bilberry::soak {

// The name of a value in an array of pairs of both; empty when it has none.
template <typename Names, typename Value>
constexpr std::string_view NameIn(const Names& names, const Value& value) {
  const auto it = std::ranges::find(
      names, value, [](const auto& entry) { return entry.first; });
  return it == names.end() ? std::string_view() : std::string_view(it->second);
}

}  // namespace bilberry::soak
