#pragma once

#include <deque>
#include <optional>

#include "LibPolicy/work.h"

namespace bilberry::policy {

// First come, first served: the baseline to compare with.
class FirstComeQueue {
 public:
  void Push(Work work) { items_.push_back(std::move(work)); }
  const Work* Front() const {
    return items_.empty() ? nullptr : &items_.front();
  }
  Work Pop();
  bool Remove(base::RunId run);
  size_t size() const { return items_.size(); }

 private:
  std::deque<Work> items_;
};

}  // namespace bilberry::policy
