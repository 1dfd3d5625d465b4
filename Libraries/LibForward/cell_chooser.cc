#include "LibForward/cell_chooser.h"

#include <algorithm>
#include <utility>

namespace bilberry::forward {

namespace {

// A backlog counts in full for this long after it was told, and no more after
// kForgotten: until a dispatcher is asked again, nothing new is known of it.
constexpr std::chrono::milliseconds kFresh{200};
constexpr std::chrono::milliseconds kForgotten{1500};
// What a shorter wait has to save before results are carried to another zone.
constexpr std::chrono::milliseconds kCrossingCost{200};
// A cell whose dispatcher is silent comes behind all others.
constexpr std::chrono::seconds kSilentCost{60};

}  // namespace

void CellChooser::SetCells(std::span<const Cell> cells) {
  cells_.assign(cells.begin(), cells.end());
  std::erase_if(backlogs_, [this](const auto& it) {
    return std::ranges::find(cells_, it.first.cell) == cells_.end();
  });
}

void CellChooser::NoteBacklog(const CellPool& at,
                              base::Duration wait,
                              base::TimePoint now) {
  backlogs_[at] = {wait, now};
}

base::Duration CellChooser::WaitAt(const CellPool& at,
                                   base::TimePoint now) const {
  const auto it = backlogs_.find(at);
  if (it == backlogs_.end())
    return base::Duration(0);
  const base::Duration age = now - it->second.told;
  if (age <= kFresh)
    return it->second.wait;
  if (age >= kForgotten)
    return base::Duration(0);
  const base::Duration range = kForgotten - kFresh;
  return it->second.wait * (kForgotten - age).count() / range.count();
}

std::optional<Cell> CellChooser::Choose(const CellCriteria& wish,
                                        const IsSuspect& is_silent,
                                        base::TimePoint now) const {
  std::optional<Cell> best;
  base::Duration best_cost = base::Duration::max();
  for (const Cell& cell : cells_) {
    if (std::ranges::find(wish.avoided, cell) != wish.avoided.end())
      continue;
    base::Duration cost =
        cell.zone == wish.reader_zone ? base::Duration(0) : kCrossingCost;
    for (const base::PoolName& pool : wish.pools) {
      cost += WaitAt({cell, pool}, now);
      if (is_silent({cell, pool}))
        cost += kSilentCost;
    }
    if (cost < best_cost) {
      best = cell;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace bilberry::forward
