#include "LibPolicy/first_come_queue.h"

#include <algorithm>
#include <cassert>

namespace bilberry::policy {

Work FirstComeQueue::Pop() {
  assert(!items_.empty());
  Work work = std::move(items_.front());
  items_.pop_front();
  return work;
}

bool FirstComeQueue::Remove(base::RunId run) {
  const auto it = std::ranges::find(items_, run, &Work::run);
  if (it == items_.end())
    return false;
  items_.erase(it);
  return true;
}

}  // namespace bilberry::policy
