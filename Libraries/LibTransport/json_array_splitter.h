#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry::transport {

// The text of a JSON object without one of its arrays, and the texts of that
// array's elements. The elements are views into the original text.
struct SplitArray {
  std::string rest;  // With an empty array in place of the original.
  std::vector<std::string_view> elements;
};

// Splits an array member into its elements, so that one malformed element does
// not make the whole document unreadable. Returns empty if the object has no
// such array. Elements are split by brackets and quotes alone and may be
// malformed.
std::optional<SplitArray> SplitArrayMember(std::string_view object,
                                           std::string_view member);

}  // namespace bilberry::transport
