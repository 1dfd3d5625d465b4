#include "LibPolicy/team_queue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bilberry::policy {

namespace {

// Keeps the fractions that a division by a weight would lose.
constexpr int64_t kVirtualScale = 1024;

}  // namespace

void TeamQueue::Push(Work work) {
  Team& team = teams_[work.team];
  const bool was_empty = team.is_empty();
  if (was_empty) {
    team.weight = std::max(work.weight, 1U);
    team.start = std::max(team.start, now_);
    team.order = ++last_order_;
    waiting_weight_ += team.weight;
  }
  AddToBacklog(team, work.progress, work.service.typical);
  const base::RunId run = work.run;
  std::list<Work>& line =
      work.progress == Progress::kUnderWay ? team.under_way : team.fresh;
  line.push_back(std::move(work));
  places_[run] = {&team, std::prev(line.end())};
  if (was_empty)
    turns_.insert(TurnOf(team));
}

void TeamQueue::AddToBacklog(Team& team,
                             Progress progress,
                             base::Duration stage_time) {
  backlog_ += stage_time;
  team.backlog += stage_time;
  if (progress == Progress::kUnderWay)
    team.under_way_backlog += stage_time;
}

const Work* TeamQueue::Front() const {
  return turns_.empty() ? nullptr : &turns_.begin()->team->next().front();
}

Work TeamQueue::Pop() {
  assert(!turns_.empty());
  Team& team = *turns_.begin()->team;
  const Place place = places_.at(Front()->run);
  turns_.erase(turns_.begin());
  now_ = team.start;
  team.start +=
      place.position->service.typical.count() * kVirtualScale / team.weight;
  Work work = Take(place);
  if (!team.is_empty()) {
    team.order = ++last_order_;
    turns_.insert(TurnOf(team));
  }
  ForgetWhenEmpty();
  return work;
}

Work TeamQueue::Drop() {
  const Place place = places_.at(Front()->run);
  Work work = *place.position;
  Remove(work.run);
  return work;
}

bool TeamQueue::Remove(base::RunId run) {
  const auto found = places_.find(run);
  if (found == places_.end())
    return false;
  Team& team = *found->second.team;
  const Turn turn = TurnOf(team);
  Take(Place(found->second));
  if (team.is_empty())
    turns_.erase(turn);
  ForgetWhenEmpty();
  return true;
}

Work TeamQueue::Take(const Place& place) {
  Team& team = *place.team;
  Work work = std::move(*place.position);
  std::list<Work>& line =
      work.progress == Progress::kUnderWay ? team.under_way : team.fresh;
  line.erase(place.position);
  places_.erase(work.run);
  AddToBacklog(team, work.progress, -work.service.typical);
  if (team.is_empty())
    waiting_weight_ -= team.weight;
  return work;
}

// At the end of a busy period all teams start alike again; this also forgets
// teams that are no longer declared.
void TeamQueue::ForgetWhenEmpty() {
  if (!places_.empty())
    return;
  teams_.clear();
  now_ = 0;
}

base::Duration TeamQueue::BacklogAhead(const WorkClass& claim) const {
  const auto found = teams_.find(claim.team);
  if (found == teams_.end())
    return base::Duration(0);
  const Team& team = found->second;
  const uint32_t own_weight = std::max(claim.weight, 1U);
  const uint64_t all_weights =
      waiting_weight_ + (team.is_empty() ? own_weight : 0);
  const VirtualTime lead = std::max<VirtualTime>(team.start - now_, 0);
  const base::Duration lead_time(lead / kVirtualScale *
                                 static_cast<int64_t>(all_weights));
  const base::Duration queue_time(
      team.backlog.count() * static_cast<int64_t>(all_weights) / own_weight);
  // No more is ahead than waits at all.
  return std::min(backlog_, lead_time + queue_time);
}

}  // namespace bilberry::policy
