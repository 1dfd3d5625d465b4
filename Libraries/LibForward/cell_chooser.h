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
  std::vector<base::PoolName> pools;  // That the request needs.
  // Where its results will be read; another cell is taken only when it saves
  // more than carrying them there costs.
  base::ZoneName reader_zone;
  std::span<const Cell> avoided;  // Have been tried.
};

// Chooses the cell that makes a request's pieces, by what dispatchers tell of
// their backlog with each answer. Answers the load of a burst that falls on
// some zones more than on others, and of cells that can't be reached.
class CellChooser {
 public:
  // Whether the dispatcher of this pool was not heard of lately.
  using IsSuspect = std::function<bool(const CellPool&)>;

  void SetCells(std::span<const Cell> cells);

  // How long a job would wait there now.
  void NoteBacklog(const CellPool& at,
                   base::Duration wait,
                   base::TimePoint now);

  // Empty when all have been tried.
  std::optional<Cell> Choose(const CellCriteria& wish,
                             const IsSuspect& is_silent,
                             base::TimePoint now) const;

 private:
  struct Backlog {
    base::Duration wait{};
    base::TimePoint told;
  };

  base::Duration WaitAt(const CellPool& at, base::TimePoint now) const;

  std::vector<Cell> cells_{Cell()};
  std::map<CellPool, Backlog> backlogs_;
};

}  // namespace bilberry::forward
