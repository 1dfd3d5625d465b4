#include "LibTransport/memory_budget.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <numeric>

namespace bilberry::transport {

namespace {

// Over this rate, a body of 4 MiB arrives within five minutes.
constexpr double kMinBodyRate = 16.0 * 1024;  // Bytes per second.
// Before this time has passed, a body's rate says little.
constexpr std::chrono::seconds kRateTime{1};
constexpr std::chrono::seconds kStallTime{1};
constexpr size_t kDisplacementFactor = 4;
// Added to the time since the last progress, so that of several holders that
// made progress just now the largest is evicted.
constexpr std::chrono::milliseconds kLeastWait{1};

// Evicting a smaller holder ends an ordinary request and releases next to
// nothing.
constexpr size_t kLeastVictimBytes = 4096;

// Eighths of the budget that are reserved for a part. Callers bring the most
// bytes, and half is left for whoever needs it.
constexpr std::array<size_t, kBudgetParts> kReservedEighths{2, 1, 1};

size_t IndexOf(BudgetPart part) {
  return static_cast<size_t>(part);
}

size_t ReservedBytes(size_t total_bytes, size_t part) {
  return total_bytes / 8 * kReservedEighths[part];
}

size_t SharedBytes(size_t total_bytes) {
  size_t bytes = total_bytes;
  for (size_t part = 0; part < kBudgetParts; ++part)
    bytes -= ReservedBytes(total_bytes, part);
  return bytes;
}

}  // namespace

std::string_view ToText(BudgetPart part) {
  constexpr std::array<std::string_view, kBudgetParts> kNames{
      "callers", "endpoints", "peers"};
  return kNames[IndexOf(part)];
}

std::string_view ToText(LimitReason reason) {
  constexpr std::array<std::string_view, kLimitReasons> kNames{
      "budget", "slow_body", "too_large", "connections"};
  return kNames[static_cast<size_t>(reason)];
}

MemoryBudget::MemoryBudget(size_t total_bytes) : total_bytes_(total_bytes) {}

MemoryBudget::~MemoryBudget() {
  assert(entries_.empty() && used_bytes() == 0);
}

size_t MemoryBudget::used_bytes(BudgetPart part) const {
  return used_[IndexOf(part)];
}

size_t MemoryBudget::used_bytes() const {
  return std::accumulate(used_.begin(), used_.end(), size_t{0});
}

uint64_t MemoryBudget::count(LimitReason reason) const {
  return counts_[static_cast<size_t>(reason)];
}

void MemoryBudget::Count(LimitReason reason) {
  ++counts_[static_cast<size_t>(reason)];
}

bool MemoryBudget::CanKeep(BudgetPart part, size_t bytes) const {
  if (bytes < kLeastVictimBytes)
    return true;
  size_t kept = bytes;
  for (const Entry& it : entries_) {
    if (it.part == part && !it.evict)
      kept += it.use.bytes;
  }
  const size_t most =
      ReservedBytes(total_bytes_, IndexOf(part)) + SharedBytes(total_bytes_);
  return kept <= most / 4 * 3;
}

size_t MemoryBudget::Excess(BudgetPart part, size_t more) const {
  size_t shared = 0;
  for (size_t i = 0; i < kBudgetParts; ++i) {
    const size_t used = used_[i] + (i == IndexOf(part) ? more : 0);
    shared += used - std::min(used, ReservedBytes(total_bytes_, i));
  }
  return shared - std::min(shared, SharedBytes(total_bytes_));
}

bool MemoryBudget::IsSlow(const Entry& entry, base::TimePoint now) {
  if (!entry.use.body || now - entry.use.body->begun < kRateTime)
    return false;
  const std::chrono::duration<double> time = now - entry.use.body->begun;
  return static_cast<double>(entry.use.body->received_bytes) <
         kMinBodyRate * time.count();
}

double MemoryBudget::WeightOf(const Entry& entry, base::TimePoint now) {
  const std::chrono::duration<double> wait =
      now - entry.use.last_progress + kLeastWait;
  return static_cast<double>(entry.use.bytes) * wait.count();
}

MemoryBudget::Entry* MemoryBudget::Victim(
    base::TimePoint now,
    const std::function<bool(const Entry&)>& may_evict) {
  Entry* victim = nullptr;
  std::pair<bool, double> greatest{false, 0};
  for (Entry& it : entries_) {
    const size_t part = IndexOf(it.part);
    // A part within its reserved share leaves no more to the others by giving
    // up bytes.
    if (!it.evict || it.was_evicted || it.use.bytes < kLeastVictimBytes ||
        used_[part] <= ReservedBytes(total_bytes_, part) || !may_evict(it))
      continue;
    const std::pair<bool, double> rank{IsSlow(it, now), WeightOf(it, now)};
    if (rank > greatest) {
      greatest = rank;
      victim = &it;
    }
  }
  return victim;
}

void MemoryBudget::Evict(Entry& entry, base::TimePoint now) {
  const LimitReason reason =
      IsSlow(entry, now) ? LimitReason::kSlowBody : LimitReason::kBudget;
  Count(reason);
  entry.was_evicted = true;
  // The holder may end its reservation, and with it the function, meanwhile.
  const Eviction evict = entry.evict;
  evict(reason);
}

bool MemoryBudget::MakeRoom(BudgetPart part,
                            size_t bytes,
                            base::TimePoint now) {
  while (Excess(part, bytes) > 0) {
    Entry* victim = Victim(now, [&](const Entry& it) {
      return it.use.bytes > 0 &&
             (it.part == part ||
              used_bytes(part) + bytes <=
                  ReservedBytes(total_bytes_, IndexOf(part))) &&
             (IsSlow(it, now) || now - it.use.last_progress >= kStallTime ||
              it.use.bytes / kDisplacementFactor > bytes);
    });
    if (victim == nullptr)
      return false;
    Evict(*victim, now);
  }
  return true;
}

void MemoryBudget::Enforce(base::TimePoint now) {
  while (Excess() > 0) {
    Entry* victim =
        Victim(now, [](const Entry& it) { return it.use.bytes > 0; });
    if (victim == nullptr)
      return;
    Evict(*victim, now);
  }
}

}  // namespace bilberry::transport
