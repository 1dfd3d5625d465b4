#pragma once

#include "LibBase/random.h"

// Samples from random distributions; the same seed gives the same values on all
// platforms.
namespace bilberry::emulation {

// Exponential distribution with this mean.
double DrawExponential(base::Random& random, double mean);

// Log-normal distribution with this mean; `spread` is the standard deviation of
// the logarithm.
double DrawLogNormal(base::Random& random, double mean, double spread);

// Geometric distribution with this mean; at least 1.
int DrawGeometric(base::Random& random, double mean);

}  // namespace bilberry::emulation
