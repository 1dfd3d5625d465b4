#pragma once

#include "LibBase/time.h"
#include "LibForward/cell_chooser.h"
#include "LibForward/endpoint_chooser.h"
#include "LibForward/forwarded_run.h"

// What a run wants of those who serve it.
namespace bilberry::forward {

// Of the endpoint that runs the request itself. The run must outlive the wish.
EndpointCriteria EndpointCriteriaOf(const ForwardedRun& run,
                                    base::TimePoint now);

// Of the cell that makes what is left of its stages.
CellCriteria CellCriteriaOf(const ForwardedRun& run);

}  // namespace bilberry::forward
