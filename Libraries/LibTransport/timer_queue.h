#pragma once

#include <functional>
#include <map>

#include "LibTransport/reactor.h"

namespace bilberry::transport {

// One-shot timers: calls each function after a delay, in the loop's turn.
class TimerQueue final : public LoopParticipant {
 public:
  explicit TimerQueue(Reactor& reactor);
  ~TimerQueue() override;

  void After(base::Duration delay, std::function<void()> call);

  void RunTurn(base::TimePoint now) override;
  std::optional<base::TimePoint> NextTurn() const override;

 private:
  Reactor& reactor_;
  std::multimap<base::TimePoint, std::function<void()>> calls_;
};

}  // namespace bilberry::transport
