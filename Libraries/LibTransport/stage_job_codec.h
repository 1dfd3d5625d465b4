#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "LibForward/forward_action.h"
#include "LibForward/forward_event.h"

// JSON encoding of the messages between entry hosts about stage jobs and their
// results.
namespace bilberry::transport {

std::string EncodeStageJob(const forward::StageJob& job);
std::optional<forward::StageJob> DecodeStageJob(std::string_view text);

std::string EncodeJobAnswer(const forward::AnswerPeerJob& answer);
std::optional<forward::PeerJobEnded> DecodeJobAnswer(
    forward::JobRequestId job_request,
    std::string_view text);

std::string EncodeResultsReleased(
    const forward::CellPool& at,
    const std::vector<forward::StageResult>& results);
std::optional<forward::PeerResultsReleased> DecodeResultsReleased(
    std::string_view text);

}  // namespace bilberry::transport
