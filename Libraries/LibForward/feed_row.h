#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "LibForward/forward_configuration.h"
#include "LibForward/forward_endpoint.h"
#include "LibForward/peer_host.h"

namespace bilberry::forward {

// What an entry host follows in the platform's store.
enum class FeedKind : uint8_t { kConfiguration, kEndpoints, kHosts };
inline constexpr FeedKind kFeedKinds[] = {
    FeedKind::kConfiguration, FeedKind::kEndpoints, FeedKind::kHosts};

std::string_view ToText(FeedKind kind);

struct RowRemoved {};
// Can't be read, or isn't one of those that are followed.
struct RowUnreadable {
  std::string reason;
};

// Operators want nothing to be sent to endpoints of this zone, as long as the
// row stands.
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
