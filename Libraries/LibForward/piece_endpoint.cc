#include "LibForward/piece_endpoint.h"

#include <algorithm>
#include <utility>

#include "LibForward/permit_issuer.h"

namespace bilberry::forward {

namespace {

// Ejection after failed calls.
constexpr EjectionPolicy kEjectionPolicy{std::chrono::milliseconds(100),
                                         std::chrono::milliseconds(3200), 1};
// After this many failed calls in a row the endpoint is assumed to be at fault.
constexpr uint32_t kFailuresToProbe = 2;
// How long an endpoint that is overloaded or has no memory left gets no calls.
constexpr std::chrono::milliseconds kOverloadPause{30};
// Small results are freed in batches, after at most this time.
constexpr std::chrono::milliseconds kFreeDelay{10};
// Requests to free results are not counted among an endpoint's calls. With a
// rate limit, one is sent in at most every fourth call interval, so that both
// together stay within one and a half times the limit.
constexpr int kCallIntervalsPerFree = 4;
// Results of at least this size are freed at once, because they take up a
// noticeable part of an endpoint's memory.
constexpr uint64_t kLargeBytes = 400'000;

}  // namespace

base::Duration PieceEndpoint::MinCallInterval() const {
  const auto per_second =
      conditions_->RateOf(listed_.name, listed_.incarnation);
  return per_second ? PermitInterval(*per_second * limit_share_)
                    : base::Duration(0);
}

base::TimePoint PieceEndpoint::AvailableFrom() const {
  const base::TimePoint available =
      std::max(conditions_->ejector.EjectedUntil(listed_.name),
               conditions_->backoffs.EndOf(listed_.name));
  return last_called_ ? std::max(available, *last_called_ + MinCallInterval())
                      : available;
}

double PieceEndpoint::CallsPerRound(uint32_t calls_at_once,
                                    base::Duration round) const {
  const base::Duration interval = MinCallInterval();
  if (interval == base::Duration(0))
    return calls_at_once;
  return std::min<double>(calls_at_once,
                          static_cast<double>(round.count()) /
                              static_cast<double>(interval.count()));
}

double PieceEndpoint::WorkFactor(base::TimePoint now) const {
  return conditions_->work_factors.FactorOf(listed_.name, listed_.incarnation,
                                            now);
}

bool PieceEndpoint::IsIdle(uint32_t calls_at_once, base::TimePoint now) const {
  return is_serving() && calls_ < calls_at_once && AvailableFrom() <= now;
}

base::TimePoint PieceEndpoint::NextTurn(uint32_t calls_at_once,
                                        base::TimePoint now) const {
  const base::TimePoint available = std::max(now, AvailableFrom());
  return calls_ < calls_at_once ? available : std::max(available, busy_until_);
}

void PieceEndpoint::NoteCalled(base::TimePoint now,
                               base::TimePoint busy_until) {
  ++calls_;
  last_called_ = now;
  busy_until_ = busy_until;
}

void PieceEndpoint::NoteFailed(base::TimePoint now) {
  conditions_->ejector.NoteFailed(listed_.name, kEjectionPolicy, now);
}

void PieceEndpoint::NoteOverloaded(base::TimePoint now) {
  conditions_->ejector.EjectUntil(listed_.name, now + kOverloadPause);
}

bool PieceEndpoint::needs_probe() const {
  return conditions_->ejector.CountOf(listed_.name) >= kFailuresToProbe;
}

void PieceEndpoint::ScheduleFree(const std::string& handle,
                                 base::TimePoint now) {
  const bool is_large = held_results_.SizeOf(handle) >= kLargeBytes;
  to_free_.push_back(handle);
  const base::TimePoint due = is_large ? now : now + kFreeDelay;
  free_due_ = std::min(free_due_.value_or(due), due);
}

// Requests to free results are held back as well while the endpoint has a
// backoff, and are not sent to evacuated endpoints.
std::optional<base::TimePoint> PieceEndpoint::NextFreeTime() const {
  if (!free_due_ || listed_.state == EndpointState::kEvacuated)
    return std::nullopt;
  const base::TimePoint due =
      std::max(*free_due_, conditions_->backoffs.EndOf(listed_.name));
  if (!last_freed_)
    return due;
  return std::max(due,
                  *last_freed_ + MinCallInterval() * kCallIntervalsPerFree);
}

std::optional<FreeRequest> PieceEndpoint::TakeFreeRequest(base::TimePoint now) {
  const auto due = NextFreeTime();
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
  std::optional<base::TimePoint> next = NextFreeTime();
  if (!has_waiting || calls_ >= calls_at_once)
    return next;
  // Waits until the endpoint is available again, or until a result expires and
  // its memory is free.
  const base::TimePoint available = AvailableFrom();
  const base::TimePoint change =
      available > now ? available : held_results_.NextExpiry();
  if (change != base::TimePoint::max() && (!next || change < *next))
    next = change;
  return next;
}

}  // namespace bilberry::forward
