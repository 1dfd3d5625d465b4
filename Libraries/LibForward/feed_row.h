#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "LibForward/forward_configuration.h"
#include "LibForward/forward_endpoint.h"
#include "LibForward/peer_host.h"

namespace bilberry::forward {

// The tables of the platform's store that an entry host follows.
enum class FeedKind : uint8_t { kConfiguration, kEndpoints, kHosts };
inline constexpr FeedKind kFeedKinds[] = {
    FeedKind::kConfiguration, FeedKind::kEndpoints, FeedKind::kHosts};

std::string_view ToText(FeedKind kind);

struct RowRemoved {};
// The row can't be parsed, or isn't of a followed kind.
struct RowUnreadable {
  std::string reason;
};

// Operators have evacuated this zone: nothing is sent to its endpoints as long
// as the row exists.
struct ZoneEvacuated {
  base::ZoneName zone;
};

using RowContent = std::variant<RowRemoved,
                                RowUnreadable,
                                ZoneEvacuated,
                                std::shared_ptr<const ForwardConfiguration>,
                                ListedEndpoint,
                                PeerHost>;

struct FeedRow {
  std::string key;
  RowContent content;
};

}  // namespace bilberry::forward
