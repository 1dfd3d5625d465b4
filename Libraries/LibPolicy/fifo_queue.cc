#include "LibPolicy/fifo_queue.h"

#include <cassert>
#include <utility>

namespace bilberry::policy {

void FifoQueue::Push(Work work) {
  const base::RunId run = work.run;
  items_.push_back(std::move(work));
  locations_[run] = std::prev(items_.end());
}

Work FifoQueue::Pop() {
  assert(!items_.empty());
  Work work = std::move(items_.front());
  items_.pop_front();
  locations_.erase(work.run);
  return work;
}

bool FifoQueue::Remove(base::RunId run) {
  const auto found = locations_.find(run);
  if (found == locations_.end())
    return false;
  items_.erase(found->second);
  locations_.erase(found);
  return true;
}

}  // namespace bilberry::policy
