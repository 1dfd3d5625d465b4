#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry::transport {

// A JSON object's text whose array member was cut out, and the texts of that
// array's elements. Views into the text that was cut.
struct SplitArray {
  std::string rest;  // With an empty array in its place.
  std::vector<std::string_view> elements;
};

// So that an element which can't be read spoils itself alone. Empty when the
// object has no such array; elements are told apart by brackets and quotes
// only, and may be anything.
std::optional<SplitArray> SplitArrayMember(std::string_view object,
                                           std::string_view member);

}  // namespace bilberry::transport
