#pragma once

#include <compare>
#include <cstdint>
#include <list>
#include <set>
#include <unordered_map>

#include "LibPolicy/work.h"

namespace bilberry::policy {

// The waiting work of one rank, shared fairly among teams: start-time fair
// queueing (Goyal, Vin, Cheng, 1996) over estimated stage time. A team's runs
// that are under way go before its new ones. Every call takes at most the
// logarithm of the number of waiting teams.
class TeamQueue {
 public:
  void Push(Work work);
  // Null when nothing waits.
  const Work* Front() const;
  // Takes the front and charges its team with it.
  Work Pop();
  // Takes the front out as though it had never come.
  Work Drop();
  bool Remove(base::RunId run);

  size_t size() const { return places_.size(); }
  // Stage time of all that waits.
  base::Duration backlog() const { return backlog_; }

  // Stage time that would be served before new work of this team.
  base::Duration BacklogAhead(const WorkClass& claim) const;

 private:
  // Stage time divided by weight.
  using VirtualTime = int64_t;

  struct Team {
    std::list<Work> under_way;
    std::list<Work> fresh;
    base::Duration backlog{};
    base::Duration under_way_backlog{};
    uint32_t weight = 1;
    VirtualTime start = 0;  // Of its next work.
    uint64_t order = 0;     // Breaks ties: first come, first served.

    bool is_empty() const { return under_way.empty() && fresh.empty(); }
    const std::list<Work>& next() const {
      return under_way.empty() ? fresh : under_way;
    }
  };

  struct Turn {
    VirtualTime start = 0;
    uint64_t order = 0;
    Team* team = nullptr;

    friend auto operator<=>(const Turn&, const Turn&) = default;
  };

  struct Place {
    Team* team = nullptr;
    std::list<Work>::iterator position;
  };

  // Counts the work in or out of what waits.
  void AddToBacklog(Team& team, Progress progress, base::Duration stage_time);
  static Turn TurnOf(Team& team) { return {team.start, team.order, &team}; }
  Work Take(const Place& place);
  void ForgetWhenEmpty();

  std::unordered_map<base::TeamName, Team> teams_;
  std::set<Turn> turns_;  // Of teams with waiting work.
  std::unordered_map<base::RunId, Place> places_;
  base::Duration backlog_{};
  uint64_t waiting_weight_ = 0;
  VirtualTime now_ = 0;
  uint64_t last_order_ = 0;
};

}  // namespace bilberry::policy
