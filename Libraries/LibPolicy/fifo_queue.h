#pragma once

#include <list>
#include <unordered_map>

#include "LibPolicy/work.h"

namespace bilberry::policy {

// First come, first served: the baseline to compare with.
class FifoQueue {
 public:
  void Push(Work work);
  // Null when nothing waits.
  const Work* Next() const {
    return items_.empty() ? nullptr : &items_.front();
  }
  Work Pop();
  bool Remove(base::RunId run);
  size_t size() const { return items_.size(); }

 private:
  std::list<Work> items_;
  std::unordered_map<base::RunId, std::list<Work>::iterator> places_;
};

}  // namespace bilberry::policy
