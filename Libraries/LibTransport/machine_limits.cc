#include "LibTransport/machine_limits.h"

#include <algorithm>

namespace bilberry::transport {

namespace {

constexpr size_t kBytesPerMb = size_t{1024} * 1024;
constexpr size_t kDefaultBudgetBytes = 128 * kBytesPerMb;
constexpr size_t kDefaultCallerConnections = 16'384;
// Left for endpoints, peers, the store and files.
constexpr size_t kOtherDescriptors = 500;

}  // namespace

size_t BudgetBytes(std::optional<uint32_t> memory_mb) {
  return memory_mb ? *memory_mb * kBytesPerMb / 2 : kDefaultBudgetBytes;
}

size_t MaxCallerConnections(std::optional<uint32_t> max_fds) {
  if (!max_fds)
    return kDefaultCallerConnections;
  const size_t descriptors = *max_fds;
  return std::max(descriptors - std::min(descriptors, kOtherDescriptors),
                  descriptors / 2);
}

}  // namespace bilberry::transport
