#pragma once

#include "LibBase/time.h"
#include "LibForward/cell_chooser.h"
#include "LibForward/endpoint_chooser.h"
#include "LibForward/forwarded_run.h"

// Criteria of a run for choosing its endpoint and its cell.
namespace bilberry::forward {

// Returns the criteria for the endpoint of the final attempt. They refer to the
// run, which must outlive them.
EndpointCriteria EndpointCriteriaOf(const ForwardedRun& run,
                                    base::TimePoint now);

// Returns the criteria for the cell that makes the run's remaining stages.
CellCriteria CellCriteriaOf(const ForwardedRun& run);

}  // namespace bilberry::forward
