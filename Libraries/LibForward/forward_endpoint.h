#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>

#include "LibBase/ids.h"
#include "LibBase/time.h"

namespace bilberry::forward {

enum class EndpointState {
  kServing,
  kLeaving,
  // Operators have evacuated the endpoint's zone; it gets no requests.
  kEvacuated,
};

// An endpoint as listed by the platform. Another process at the same address
// usually has another name.
struct ListedEndpoint {
  base::EndpointName name;
  base::PoolName pool;
  base::ZoneName zone;
  base::SocketAddress address;
  EndpointState state = EndpointState::kServing;
  // Differs between successive processes of one name; zero if the platform
  // doesn't state it.
  base::Incarnation incarnation{};
  // Version of the endpoint's software; empty if its row doesn't state it. What
  // endpoints of two versions write doesn't fit together in one stream.
  std::string software_version = {};
  // Remaining cold time as stated by the endpoint's row, counted from its
  // receipt; empty if the row doesn't state it. Recorded by the receiver;
  // endpoint lists leave this field empty.
  std::optional<base::Duration> cold_for = std::nullopt;

  friend bool operator==(const ListedEndpoint&,
                         const ListedEndpoint&) = default;
};

// Drops the entries of endpoints that aren't listed.
template <typename Entry>
void KeepListed(std::map<base::EndpointName, Entry>& entries,
                std::span<const ListedEndpoint> listed) {
  std::map<base::EndpointName, Entry> kept;
  for (const ListedEndpoint& it : listed) {
    auto node = entries.extract(it.name);
    if (!node.empty())
      kept.insert(std::move(node));
  }
  entries = std::move(kept);
}

}  // namespace bilberry::forward
