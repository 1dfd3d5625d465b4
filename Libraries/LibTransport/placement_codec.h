#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "LibForward/placement.h"

// JSON encoding of the messages about placements between entry hosts. They are
// compact, as a busy host sends several of them for each request.
namespace bilberry::transport {

// Maximum number of runs in one report; a longer one is sent in several.
inline constexpr size_t kMaxReportedRuns = 256;

std::string EncodePlacementRequest(const forward::PlacementRequest& request);
// Returns empty if the text is malformed.
std::optional<forward::PlacementRequest> DecodePlacementRequest(
    std::string_view text);

std::string EncodePlacementAnswer(const forward::PlacementAnswer& answer);
// Returns empty if the text is malformed.
std::optional<forward::PlacementAnswer> DecodePlacementAnswer(
    std::string_view text);

std::string EncodePlacementReport(const forward::PlacementReport& report);
// Returns empty if the text is malformed.
std::optional<forward::PlacementReport> DecodePlacementReport(
    std::string_view text);

}  // namespace bilberry::transport
