#pragma once

#include "LibBase/random.h"
#include "LibBase/time.h"

namespace bilberry::policy {

// The time after which a refused caller may come back, up to a quarter longer
// at random: who was refused together doesn't come back together.
base::Duration AddJitter(base::Duration retry_after, base::Random& random);

}  // namespace bilberry::policy
