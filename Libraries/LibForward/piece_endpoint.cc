#include "LibForward/piece_endpoint.h"

#include <algorithm>
#include <utility>

#include "LibForward/permit_issuer.h"

namespace bilberry::forward {

namespace {

// Of an endpoint that failed a call.
constexpr EjectionPolicy kFailedPace{std::chrono::milliseconds(100),
                                     std::chrono::milliseconds(3200), 1};
// So many failed calls in a row are the endpoint's fault.
constexpr uint32_t kFailuresToProbe = 2;
// How long an endpoint without room, or that is full, gets no call.
constexpr std::chrono::milliseconds kFullRest{30};
// Small results are freed together, after at most this time.
constexpr std::chrono::milliseconds kFreeDelay{10};
// Of an endpoint with a limit, what is to be freed is told beside the calls at
// their pace, so seldom that both together are within half more than the limit.
constexpr int kIntervalsPerFree = 4;
// Results of this size are freed at once, since they take a noticeable part of
// an endpoint's room.
constexpr uint64_t kLargeBytes = 400'000;

}  // namespace

base::Duration PieceEndpoint::LeastInterval() const {
  const auto per_second =
      conditions_->RateOf(listed_.name, listed_.incarnation);
  return per_second ? PermitInterval(*per_second * limit_share_)
                    : base::Duration(0);
}

base::TimePoint PieceEndpoint::OpenFrom() const {
  const base::TimePoint open =
      std::max(conditions_->failures.EjectedUntil(listed_.name),
               conditions_->backoffs.EndOf(listed_.name));
  return last_called_ ? std::max(open, *last_called_ + LeastInterval()) : open;
}

double PieceEndpoint::CallsPerRound(uint32_t calls_at_once,
                                    base::Duration round) const {
  const base::Duration interval = LeastInterval();
  if (interval == base::Duration(0))
    return calls_at_once;
  return std::min<double>(calls_at_once,
                          static_cast<double>(round.count()) /
                              static_cast<double>(interval.count()));
}

bool PieceEndpoint::IsIdle(uint32_t calls_at_once, base::TimePoint now) const {
  return is_serving() && calls_ < calls_at_once && OpenFrom() <= now;
}

base::TimePoint PieceEndpoint::NextTurn(uint32_t calls_at_once,
                                        base::TimePoint now) const {
  const base::TimePoint open = std::max(now, OpenFrom());
  return calls_ < calls_at_once ? open : std::max(open, busy_until_);
}

void PieceEndpoint::NoteCalled(base::TimePoint now,
                               base::TimePoint busy_until) {
  ++calls_;
  last_called_ = now;
  busy_until_ = busy_until;
}

void PieceEndpoint::NoteFailed(base::TimePoint now) {
  conditions_->failures.NoteFailed(listed_.name, kFailedPace, now);
}

void PieceEndpoint::NoteFull(base::TimePoint now) {
  conditions_->failures.Rest(listed_.name, now + kFullRest);
}

bool PieceEndpoint::needs_probe() const {
  return conditions_->failures.CountOf(listed_.name) >= kFailuresToProbe;
}

void PieceEndpoint::ScheduleFree(const std::string& handle,
                                 base::TimePoint now) {
  const bool is_large = room_.SizeOf(handle) >= kLargeBytes;
  to_free_.push_back(handle);
  const base::TimePoint due = is_large ? now : now + kFreeDelay;
  free_due_ = std::min(free_due_.value_or(due), due);
}

// An endpoint that wants nothing from this host, or is to get nothing, isn't
// told what to free either.
std::optional<base::TimePoint> PieceEndpoint::FreeTime() const {
  if (!free_due_ || listed_.state == EndpointState::kEvacuated)
    return std::nullopt;
  const base::TimePoint due =
      std::max(*free_due_, conditions_->backoffs.EndOf(listed_.name));
  if (!last_freed_)
    return due;
  return std::max(due, *last_freed_ + LeastInterval() * kIntervalsPerFree);
}

std::optional<FreeRequest> PieceEndpoint::TakeFreeOrder(base::TimePoint now) {
  const auto due = FreeTime();
  if (!due || *due > now)
    return std::nullopt;
  free_due_.reset();
  last_freed_ = now;
  return FreeRequest{listed_.pool, listed_.name, listed_.incarnation,
                     listed_.address, std::exchange(to_free_, {})};
}

std::optional<base::TimePoint> PieceEndpoint::NextChange(
    bool has_waiting,
    uint32_t calls_at_once,
    base::TimePoint now) const {
  std::optional<base::TimePoint> next = FreeTime();
  if (!has_waiting || calls_ >= calls_at_once)
    return next;
  // Waits for its rest to end, or for room.
  const base::TimePoint open = OpenFrom();
  const base::TimePoint change = open > now ? open : room_.NextExpiry();
  if (change != base::TimePoint::max() && (!next || change < *next))
    next = change;
  return next;
}

}  // namespace bilberry::forward
