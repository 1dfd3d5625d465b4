#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string_view>
#include <utility>

#include "LibBase/time.h"

namespace bilberry::transport {

// On whose behalf bytes are held.
enum class BudgetPart { kCallers, kEndpoints, kPeers };
inline constexpr size_t kBudgetParts = 3;

// Why a request was refused or a connection closed.
enum class LimitReason { kBudget, kSlowBody, kTooLarge, kConnections };
inline constexpr size_t kLimitReasons = 4;

std::string_view ToText(BudgetPart part);
std::string_view ToText(LimitReason reason);

// A body that is being received.
struct BodyProgress {
  base::TimePoint begun;
  size_t received_bytes = 0;
};

// What one holder holds at the moment.
struct MemoryUse {
  size_t bytes = 0;
  base::TimePoint last_progress;
  std::optional<BodyProgress> body;
};

// The account of all bytes that a process holds on behalf of callers, endpoints
// and peers. Each part has a reserved share, and what parts hold beyond theirs
// shares the rest. Over the limit, holders are evicted: bodies below
// 16 KiB/s first, then by the largest product of bytes and time since the
// last progress. Uses neither the network nor a clock.
class MemoryBudget {
 public:
  // Called at most once: releases what a holder holds, apart from a small rest,
  // and calls MemoryReservation::Update().
  using Eviction = std::function<void(LimitReason reason)>;

  explicit MemoryBudget(size_t total_bytes);
  ~MemoryBudget();
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  // Whether that many further bytes fit. To make them fit, evicts holders that
  // are slow, have made no progress for a second, or hold more than four times
  // as much: displacing bodies of equal size that are
  // being received would let none of them complete.
  bool MakeRoom(BudgetPart part, size_t bytes, base::TimePoint now);
  // Evicts holders until the account is within its limits, or no holder is
  // left to evict.
  void Enforce(base::TimePoint now);

  // Whether a body of that size may be kept for a run. Holders that can't be
  // evicted take at most three quarters of what their part may hold, so that
  // requests are still received beside them. Bodies too small to matter pass.
  bool CanKeep(BudgetPart part, size_t bytes) const;

  void Count(LimitReason reason);

  size_t total_bytes() const { return total_bytes_; }
  size_t used_bytes(BudgetPart part) const;
  size_t used_bytes() const;
  uint64_t count(LimitReason reason) const;

 private:
  friend class MemoryReservation;
  struct Entry {
    BudgetPart part = BudgetPart::kCallers;
    MemoryUse use;
    Eviction evict;  // Empty if the holder can't be evicted.
    bool was_evicted = false;
  };
  using Entries = std::list<Entry>;

  // The bytes by which the parts exceed their limits with `more` in `part`.
  size_t Excess(BudgetPart part, size_t more) const;
  // The bytes by which they exceed them now.
  size_t Excess() const { return Excess(BudgetPart::kCallers, 0); }
  static bool IsSlow(const Entry& entry, base::TimePoint now);
  static double WeightOf(const Entry& entry, base::TimePoint now);
  // Picks among the holders for which `may_evict` is true.
  Entry* Victim(base::TimePoint now,
                const std::function<bool(const Entry&)>& may_evict);
  void Evict(Entry& entry, base::TimePoint now);

  size_t total_bytes_;
  std::array<size_t, kBudgetParts> used_{};
  std::array<uint64_t, kLimitReasons> counts_{};
  Entries entries_;
};

}  // namespace bilberry::transport
