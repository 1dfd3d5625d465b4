#include "LibForward/usual_budget.h"

#include <algorithm>

namespace bilberry::forward {

namespace {

// Far longer than callers stay away, so that a span has first requests too.
constexpr std::chrono::seconds kSpan{30};

}  // namespace

base::Duration UsualBudget::WaitedBefore(base::Duration budget,
                                         base::TimePoint now) {
  if (now >= span_began_ + kSpan) {
    most_ = {base::Duration(0), most_[0]};
    span_began_ = now;
  }
  most_[0] = std::max(most_[0], budget);
  return std::max(most_[0], most_[1]) - budget;
}

}  // namespace bilberry::forward
