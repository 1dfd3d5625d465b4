#pragma once

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "LibBase/time.h"
#include "LibForward/cell.h"

namespace bilberry::forward {

struct CellCriteria {
  std::vector<base::PoolName> pools;  // Pools that the request needs.
  // The zone in which the results are read. Another cell is chosen only if it
  // saves more waiting time than the transfer between zones costs.
  base::ZoneName reader_zone;
  std::span<const Cell> avoided;  // Cells that were tried already.
};

// Chooses the cell that produces a request's pieces by the backlog that
// dispatchers report with each answer. Balances bursts that hit some zones
// harder than others, and avoids cells whose dispatcher can't be reached.
class CellChooser {
 public:
  // Whether the failure detector suspects the dispatcher of this pool.
  using IsSuspect = std::function<bool(const CellPool&)>;

  void SetCells(std::span<const Cell> cells);

  // `wait` is the time that a new job would queue at this dispatcher now.
  void NoteBacklog(const CellPool& at,
                   base::Duration wait,
                   base::TimePoint now);

  // Empty if all cells were tried.
  std::optional<Cell> Choose(const CellCriteria& criteria,
                             const IsSuspect& is_suspect,
                             base::TimePoint now) const;

 private:
  struct Backlog {
    base::Duration wait{};
    base::TimePoint reported_at;
  };

  base::Duration WaitAt(const CellPool& at, base::TimePoint now) const;

  std::vector<Cell> cells_{Cell()};
  std::map<CellPool, Backlog> backlogs_;
};

}  // namespace bilberry::forward
