#include "LibForward/prompt_parts.h"

namespace bilberry::forward {

namespace {

constexpr size_t kMaxParts = 16;
constexpr size_t kMaxIdBytes = 64;

}  // namespace

std::vector<policy::CrashSuspect> PartSuspectsOf(
    const base::PoolName& pool,
    const std::vector<PrefixPart>& prefix) {
  std::vector<policy::CrashSuspect> suspects;
  const size_t shared = prefix.empty() ? 0 : prefix.size() - 1;
  for (size_t i = shared > kMaxParts ? shared - kMaxParts : 0; i < shared;
       ++i) {
    const std::string& id = prefix[i].id;
    if (id.size() <= kMaxIdBytes)
      suspects.push_back({pool.value + "/" + id, static_cast<uint32_t>(i)});
  }
  return suspects;
}

}  // namespace bilberry::forward
