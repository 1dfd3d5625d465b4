#include "LibEmulation/draw.h"

#include <cmath>
#include <numbers>

namespace bilberry::emulation {

double DrawExponential(base::Random& random, double mean) {
  return -std::log(1 - random.Fraction()) * mean;
}

double DrawLogNormal(base::Random& random, double mean, double spread) {
  // Box-Muller transform.
  const double radius = std::sqrt(DrawExponential(random, 2));
  const double normal =
      radius * std::cos(2 * std::numbers::pi * random.Fraction());
  return mean * std::exp(spread * normal - spread * spread / 2);
}

int DrawGeometric(base::Random& random, double mean) {
  int n = 1;
  while (random.Fraction() > 1 / mean)
    ++n;
  return n;
}

}  // namespace bilberry::emulation
