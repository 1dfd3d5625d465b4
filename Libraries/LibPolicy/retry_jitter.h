#pragma once

#include "LibBase/random.h"
#include "LibBase/time.h"

namespace bilberry::policy {

// Adds random jitter of up to a quarter to a Retry-After time, so that callers
// refused together do not retry together.
base::Duration AddJitter(base::Duration retry_after, base::Random& random);

}  // namespace bilberry::policy
