#pragma once

#include "LibEmulation/load_scenario.h"

namespace bilberry::emulation {

// Load that two thirds of the endpoints can serve.
inline LoadScenario AtHalfLoad(LoadScenario scenario) {
  for (CallerKind& kind : scenario.kinds)
    kind.per_second *= 0.5;
  return scenario;
}

}  // namespace bilberry::emulation
