#pragma once

#include <compare>
#include <cstdint>
#include <list>
#include <set>
#include <unordered_map>

#include "LibPolicy/work.h"

namespace bilberry::policy {

// Waiting work of one rank, shared fairly among teams by start-time fair
// queueing (Goyal, Vin, Cheng, 1996) over estimated stage time. Within a team,
// runs that are under way are served before new ones. Every operation takes at
// most logarithmic time in the number of waiting teams.
class TeamQueue {
 public:
  void Push(Work work);
  // Null when the queue is empty.
  const Work* Front() const;
  // Removes the front and charges its stage time to its team.
  Work Pop();
  // Removes the front without charging its team.
  Work Drop();
  bool Remove(base::RunId run);

  size_t size() const { return locations_.size(); }
  // Stage time of all waiting work.
  base::Duration backlog() const { return backlog_; }

  // Stage time that would be served before new work of this class.
  base::Duration BacklogAhead(const WorkClass& work_class) const;

 private:
  // Stage time divided by weight.
  using VirtualTime = int64_t;

  struct Team {
    std::list<Work> under_way;
    std::list<Work> new_work;
    base::Duration backlog{};
    base::Duration under_way_backlog{};
    uint32_t weight = 1;
    VirtualTime start = 0;  // Virtual start time of the next work.
    uint64_t order = 0;     // Breaks ties in FIFO order.

    bool is_empty() const { return under_way.empty() && new_work.empty(); }
    const std::list<Work>& next() const {
      return under_way.empty() ? new_work : under_way;
    }
  };

  struct ScheduleEntry {
    VirtualTime start = 0;
    uint64_t order = 0;
    Team* team = nullptr;

    friend auto operator<=>(const ScheduleEntry&,
                            const ScheduleEntry&) = default;
  };

  struct Location {
    Team* team = nullptr;
    std::list<Work>::iterator position;
  };

  // Adds the stage time to the backlogs; a negative one subtracts.
  void AddToBacklog(Team& team, Progress progress, base::Duration stage_time);
  static ScheduleEntry ScheduleEntryOf(Team& team) {
    return {team.start, team.order, &team};
  }
  Work Take(const Location& location);
  void ResetWhenEmpty();

  std::unordered_map<base::TeamName, Team> teams_;
  std::set<ScheduleEntry>
      schedule_;  // Teams with waiting work, by virtual start time.
  std::unordered_map<base::RunId, Location> locations_;
  base::Duration backlog_{};
  uint64_t waiting_weight_ = 0;
  VirtualTime virtual_now_ = 0;
  uint64_t last_order_ = 0;
};

}  // namespace bilberry::policy
