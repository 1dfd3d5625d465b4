#pragma once

#include <vector>

#include "LibBase/ids.h"
#include "LibForward/forwarded_request.h"
#include "LibPolicy/quarantine.h"

namespace bilberry::forward {

// Returns the parts of a prompt that other requests share, as suspects of
// crashes of this pool's endpoints: all but the last part, which belongs to the
// request or its session. Parts with overlong ids, and those before the last
// few of a prompt with very many, are left out.
std::vector<policy::CrashSuspect> PartSuspectsOf(
    const base::PoolName& pool,
    const std::vector<PrefixPart>& prefix);

}  // namespace bilberry::forward
