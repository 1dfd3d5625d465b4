#pragma once

#include <list>
#include <unordered_map>

#include "LibPolicy/work.h"

namespace bilberry::policy {

// FIFO queue of the baseline policy, for comparison.
class FifoQueue {
 public:
  void Push(Work work);
  // Null when the queue is empty.
  const Work* Next() const {
    return items_.empty() ? nullptr : &items_.front();
  }
  Work Pop();
  bool Remove(base::RunId run);
  size_t size() const { return items_.size(); }

 private:
  std::list<Work> items_;
  std::unordered_map<base::RunId, std::list<Work>::iterator> locations_;
};

}  // namespace bilberry::policy
