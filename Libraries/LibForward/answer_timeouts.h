#pragma once

#include <chrono>

namespace bilberry::forward {

// How long an answer may take: until its body begins, and then without any
// progress. As long as bytes keep coming, the whole of it may take any time, so
// that an answer of any size arrives over a link of any bandwidth.
struct AnswerTimeouts {
  std::chrono::milliseconds first_byte{0};
  std::chrono::milliseconds stall{0};
};

// For answers that bring tables, or parts of them.
inline constexpr std::chrono::milliseconds kStallTimeout{1000};

}  // namespace bilberry::forward
