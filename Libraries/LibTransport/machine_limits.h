#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

namespace bilberry::transport {

// What the kernel may hold of a caller's connection before it is read. Counts
// toward the machine's memory.
inline constexpr int kCallerReceiveBuffer = 256 * 1024;

// The budget for requests and answers on a machine with that much memory: half
// of it, the rest being for everything else and for the allocator's slack.
size_t BudgetBytes(std::optional<uint32_t> memory_mb);

// The bound on callers' connections on a machine with that many descriptors.
size_t MaxCallerConnections(std::optional<uint32_t> max_fds);

}  // namespace bilberry::transport
