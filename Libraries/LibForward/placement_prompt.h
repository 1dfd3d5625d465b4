#pragma once

#include <cstdint>
#include <vector>

#include "LibForward/forwarded_request.h"

namespace bilberry::forward {

// A prompt as a placement owner keeps it.
struct PlacementPrompt {
  struct Part {
    uint64_t key = 0;  // Hash of the part's id.
    uint64_t tokens = 0;
  };
  std::vector<Part> shared;  // In the order of the prompt.
  uint64_t own_tokens = 0;   // Always prefilled.
};

// All parts but the last are shared. Parts beyond the first few of a prompt
// with very many count as its own.
PlacementPrompt ToPlacementPrompt(const std::vector<PrefixPart>& prefix);

}  // namespace bilberry::forward
