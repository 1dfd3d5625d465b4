#pragma once

#include <json/value.h>

#include <iosfwd>

#include "experiment_run.h"

namespace bilberry::load {

Json::Value EncodeResult(const ExperimentResult& result);

// Prints both encoded results side by side below the experiment's target.
void PrintComparison(std::ostream& out,
                     const Experiment& experiment,
                     const Json::Value& baseline,
                     const Json::Value& present);

}  // namespace bilberry::load
