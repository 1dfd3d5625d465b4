#include "LibTransport/memory_reservation.h"

#include <utility>

namespace bilberry::transport {

MemoryReservation::MemoryReservation(MemoryBudget& budget,
                                     BudgetPart part,
                                     MemoryBudget::Eviction evict)
    : budget_(budget),
      entry_(budget.entries_.insert(budget.entries_.end(),
                                    {part, {}, std::move(evict)})) {}

MemoryReservation::~MemoryReservation() {
  Update({});
  budget_.entries_.erase(entry_);
}

void MemoryReservation::Update(const MemoryUse& use) {
  size_t& used = budget_.used_[static_cast<size_t>(entry_->part)];
  used = used - entry_->use.bytes + use.bytes;
  entry_->use = use;
}

}  // namespace bilberry::transport
