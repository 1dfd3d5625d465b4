#include "LibPolicy/team_queue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bilberry::policy {

namespace {

// Fixed-point scale that keeps the fractions of a division by a weight.
constexpr int64_t kVirtualScale = 1024;

}  // namespace

void TeamQueue::Push(Work work) {
  Team& team = teams_[work.team];
  const bool was_empty = team.is_empty();
  if (was_empty) {
    team.weight = std::max(work.weight, 1U);
    team.start = std::max(team.start, virtual_now_);
    team.order = ++last_order_;
    waiting_weight_ += team.weight;
  }
  AddToBacklog(team, work.progress, work.service.typical);
  const base::RunId run = work.run;
  std::list<Work>& queue =
      work.progress == Progress::kUnderWay ? team.under_way : team.new_work;
  queue.push_back(std::move(work));
  locations_[run] = {&team, std::prev(queue.end())};
  if (was_empty)
    schedule_.insert(ScheduleEntryOf(team));
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
  return schedule_.empty() ? nullptr : &schedule_.begin()->team->next().front();
}

Work TeamQueue::Pop() {
  assert(!schedule_.empty());
  Team& team = *schedule_.begin()->team;
  const Location location = locations_.at(Front()->run);
  schedule_.erase(schedule_.begin());
  virtual_now_ = team.start;
  team.start +=
      location.position->service.typical.count() * kVirtualScale / team.weight;
  Work work = Take(location);
  if (!team.is_empty()) {
    team.order = ++last_order_;
    schedule_.insert(ScheduleEntryOf(team));
  }
  ResetWhenEmpty();
  return work;
}

Work TeamQueue::Drop() {
  const Location location = locations_.at(Front()->run);
  Work work = *location.position;
  Remove(work.run);
  return work;
}

bool TeamQueue::Remove(base::RunId run) {
  const auto found = locations_.find(run);
  if (found == locations_.end())
    return false;
  Team& team = *found->second.team;
  const ScheduleEntry entry = ScheduleEntryOf(team);
  Take(Location(found->second));
  if (team.is_empty())
    schedule_.erase(entry);
  ResetWhenEmpty();
  return true;
}

Work TeamQueue::Take(const Location& location) {
  Team& team = *location.team;
  Work work = std::move(*location.position);
  std::list<Work>& queue =
      work.progress == Progress::kUnderWay ? team.under_way : team.new_work;
  queue.erase(location.position);
  locations_.erase(work.run);
  AddToBacklog(team, work.progress, -work.service.typical);
  if (team.is_empty())
    waiting_weight_ -= team.weight;
  return work;
}

// At the end of a busy period the virtual time restarts for all teams. This
// also drops teams that are no longer declared.
void TeamQueue::ResetWhenEmpty() {
  if (!locations_.empty())
    return;
  teams_.clear();
  virtual_now_ = 0;
}

base::Duration TeamQueue::BacklogAhead(const WorkClass& work_class) const {
  const auto found = teams_.find(work_class.team);
  if (found == teams_.end())
    return base::Duration(0);
  const Team& team = found->second;
  const uint32_t own_weight = std::max(work_class.weight, 1U);
  const uint64_t all_weights =
      waiting_weight_ + (team.is_empty() ? own_weight : 0);
  const VirtualTime lead = std::max<VirtualTime>(team.start - virtual_now_, 0);
  const base::Duration lead_time(lead / kVirtualScale *
                                 static_cast<int64_t>(all_weights));
  const base::Duration queue_time(
      team.backlog.count() * static_cast<int64_t>(all_weights) / own_weight);
  // The time ahead never exceeds the whole backlog.
  return std::min(backlog_, lead_time + queue_time);
}

}  // namespace bilberry::policy
