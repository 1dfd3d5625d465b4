#include "LibForward/placement_prompt.h"

#include <xxhash.h>

#include <algorithm>

namespace bilberry::forward {

namespace {

// Bounds the memory of a run.
constexpr size_t kMaxSharedParts = 16;

}  // namespace

PlacementPrompt ToPlacementPrompt(const std::vector<PrefixPart>& prefix) {
  PlacementPrompt prompt;
  const size_t shared =
      prefix.empty() ? 0 : std::min(prefix.size() - 1, kMaxSharedParts);
  for (size_t i = 0; i < prefix.size(); ++i) {
    const PrefixPart& part = prefix[i];
    if (i < shared)
      prompt.shared.push_back(
          {XXH3_64bits(part.id.data(), part.id.size()), part.tokens});
    else
      prompt.own_tokens += part.tokens;
  }
  return prompt;
}

}  // namespace bilberry::forward
