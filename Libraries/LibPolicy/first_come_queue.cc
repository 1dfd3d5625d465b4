#include "LibPolicy/first_come_queue.h"

#include <cassert>
#include <utility>

namespace bilberry::policy {

void FirstComeQueue::Push(Work work) {
  const base::RunId run = work.run;
  items_.push_back(std::move(work));
  places_[run] = std::prev(items_.end());
}

Work FirstComeQueue::Pop() {
  assert(!items_.empty());
  Work work = std::move(items_.front());
  items_.pop_front();
  places_.erase(work.run);
  return work;
}

bool FirstComeQueue::Remove(base::RunId run) {
  const auto found = places_.find(run);
  if (found == places_.end())
    return false;
  items_.erase(found->second);
  places_.erase(found);
  return true;
}

}  // namespace bilberry::policy
