#pragma once

#include <chrono>
#include <cstddef>
#include <string_view>
#include <vector>

namespace bilberry::bench {

// What it costs to read bytes that arrive in this many pieces.
struct ReadingCost {
  std::string_view what;
  size_t pieces = 0;
  std::chrono::nanoseconds per_piece{};
};

// Measures each reader of a peer's bytes with n, 2n and 4n pieces. The cost of
// a piece stays the same if no reader looks at what it has read before.
std::vector<ReadingCost> MeasureReading();

}  // namespace bilberry::bench
