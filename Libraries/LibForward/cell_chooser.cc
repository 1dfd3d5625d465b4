#include "LibForward/cell_chooser.h"

#include <algorithm>
#include <utility>

namespace bilberry::forward {

namespace {

// A reported backlog counts in full until it is kFresh old and then fades
// linearly to nothing at kForgotten, because nothing new is learned of a
// dispatcher until it gets another job.
constexpr std::chrono::milliseconds kFresh{200};
constexpr std::chrono::milliseconds kForgotten{1500};
// The waiting time that another zone has to save before results are transferred
// across zones.
constexpr std::chrono::milliseconds kCrossingCost{200};
// Added for each suspected dispatcher, so that its cell ranks behind all
// others.
constexpr std::chrono::seconds kSuspectCost{60};

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
  const base::Duration age = now - it->second.reported_at;
  if (age <= kFresh)
    return it->second.wait;
  if (age >= kForgotten)
    return base::Duration(0);
  const base::Duration range = kForgotten - kFresh;
  return it->second.wait * (kForgotten - age).count() / range.count();
}

std::optional<Cell> CellChooser::Choose(const CellCriteria& criteria,
                                        const IsSuspect& is_suspect,
                                        base::TimePoint now) const {
  std::optional<Cell> best;
  base::Duration best_cost = base::Duration::max();
  for (const Cell& cell : cells_) {
    if (std::ranges::find(criteria.avoided, cell) != criteria.avoided.end())
      continue;
    base::Duration cost =
        cell.zone == criteria.reader_zone ? base::Duration(0) : kCrossingCost;
    for (const base::PoolName& pool : criteria.pools) {
      cost += WaitAt({cell, pool}, now);
      if (is_suspect({cell, pool}))
        cost += kSuspectCost;
    }
    if (cost < best_cost) {
      best = cell;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace bilberry::forward
