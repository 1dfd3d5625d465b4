#pragma once

#include "LibTransport/memory_budget.h"

namespace bilberry::transport {

// One holder's bytes in a MemoryBudget, which must outlive it. They are given
// back with this object.
class MemoryReservation {
 public:
  // A holder without `evict` is never evicted.
  MemoryReservation(MemoryBudget& budget,
                    BudgetPart part,
                    MemoryBudget::Eviction evict = nullptr);
  ~MemoryReservation();
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;

  size_t bytes() const { return entry_->use.bytes; }
  // Replaces what is accounted for. Doesn't evict anybody:
  // MemoryBudget::Enforce() does.
  void Update(const MemoryUse& use);

 private:
  MemoryBudget& budget_;
  MemoryBudget::Entries::iterator entry_;
};

}  // namespace bilberry::transport
