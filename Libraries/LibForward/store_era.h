#pragma once

#include <cstdint>
#include <optional>

namespace bilberry::forward {

// Counts how often the platform's store has come back from an older copy of its
// data. Such a copy lacks the newest rows, and its versions are assigned again,
// so versions of different eras can't be compared. Empty if the store doesn't
// state it.
using StoreEra = std::optional<uint64_t>;

}  // namespace bilberry::forward
