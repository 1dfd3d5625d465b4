#include "LibTransport/timer_queue.h"

#include <utility>

namespace bilberry::transport {

TimerQueue::TimerQueue(Reactor& reactor) : reactor_(reactor) {
  reactor_.Add(*this);
}

TimerQueue::~TimerQueue() {
  reactor_.Remove(*this);
}

void TimerQueue::After(base::Duration delay, std::function<void()> call) {
  calls_.emplace(reactor_.Now() + delay, std::move(call));
}

void TimerQueue::RunTurn(base::TimePoint now) {
  while (!calls_.empty() && calls_.begin()->first <= now) {
    const auto call = std::move(calls_.begin()->second);
    calls_.erase(calls_.begin());
    call();
  }
}

std::optional<base::TimePoint> TimerQueue::NextTurn() const {
  if (calls_.empty())
    return std::nullopt;
  return calls_.begin()->first;
}

}  // namespace bilberry::transport
