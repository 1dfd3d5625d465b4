#pragma once

#include "LibBase/random.h"

// Draws from distributions, alike on all platforms.
namespace bilberry::emulation {

// Exponential, with this mean.
double DrawExponential(base::Random& random, double mean);

// Log-normal around this mean; `spread` is the deviation of the logarithm.
double DrawLogNormal(base::Random& random, double mean, double spread);

// At least 1; geometric, with this mean.
int DrawGeometric(base::Random& random, double mean);

}  // namespace bilberry::emulation
