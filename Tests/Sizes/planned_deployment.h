#pragma once

#include <string>

#include "Fakes/platform_store.h"

namespace bilberry::sizes {

// The size to design for.
inline constexpr int kEntryHosts = 340;
inline constexpr int kWorkers = 600;
inline constexpr int kPipelines = 16;
inline constexpr int kTeams = 1600;
inline constexpr int kZones = 12;
inline constexpr int kPools = 12;

// A configuration with pipelines of three to six stages, as apply takes it.
std::string PlannedDocument();

// Puts the configuration in force and lists all hosts and workers.
void PutPlannedDeployment(fakes::PlatformStore& store);

// Puts a second revision in force, with the document of the first.
void PutSecondRevision(fakes::PlatformStore& store);

}  // namespace bilberry::sizes
