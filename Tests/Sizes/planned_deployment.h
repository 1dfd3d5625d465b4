#pragma once

#include <string>

#include "Fakes/platform_store.h"

namespace bilberry::sizes {

// Deployment size that the system is designed for.
inline constexpr int kEntryHosts = 340;
inline constexpr int kWorkers = 600;
inline constexpr int kPipelines = 16;
inline constexpr int kTeams = 1600;
inline constexpr int kZones = 12;
inline constexpr int kPools = 12;

// A configuration whose pipelines have three to six stages, in the format that
// `apply` reads.
std::string PlannedDocument();

// Stores the configuration as the one in force, and lists all hosts and
// workers.
void PutPlannedDeployment(fakes::PlatformStore& store);

// Stores a second revision with the document of the first one.
void PutSecondRevision(fakes::PlatformStore& store);

}  // namespace bilberry::sizes
