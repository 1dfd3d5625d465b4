#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "LibForward/forward_event.h"

// What entry hosts say to one another about stages, as JSON.
namespace bilberry::transport {

std::string EncodeStageJob(const forward::StageJob& job);
std::optional<forward::StageJob> DecodeStageJob(std::string_view text);

std::string EncodeJobOutcome(const forward::JobOutcome& outcome);
std::optional<forward::JobOutcome> DecodeJobOutcome(std::string_view text);

std::string EncodeResultsRead(const base::PoolName& pool,
                              const std::vector<forward::StageResult>& results);
std::optional<forward::PeerResultsRead> DecodeResultsRead(
    std::string_view text);

}  // namespace bilberry::transport
