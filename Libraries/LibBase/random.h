#pragma once

#include <cstdint>
#include <random>

namespace bilberry::base {

// Seeded pseudorandom number generator; the same seed gives the same sequence.
class Random {
 public:
  explicit Random(uint64_t seed) : engine_(seed) {}

  uint64_t Next() { return engine_(); }

  // Returns a number in [0, bound); `bound` is at least 1.
  uint64_t Below(uint64_t bound) { return engine_() % bound; }

  // Returns a number in [0, 1).
  double Fraction() {
    constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
    return static_cast<double>(engine_() >> 11U) * kScale;
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace bilberry::base
