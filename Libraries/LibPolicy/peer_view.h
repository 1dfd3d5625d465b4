#pragma once

#include <cstddef>

namespace bilberry::policy {

// Whether this host has used up its equal part of the pool.
enum class OwnPart { kOpen, kUsed };

// What is known of the other entry hosts when one endpoint is looked at.
struct PeerView {
  double mean_load = 0;  // Of all of them, at one endpoint.
  size_t count = 0;
  OwnPart own_part = OwnPart::kOpen;
};

}  // namespace bilberry::policy
