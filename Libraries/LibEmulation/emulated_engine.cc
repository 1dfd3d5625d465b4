#include "LibEmulation/emulated_engine.h"

#include <algorithm>
#include <utility>

#include "LibBase/random.h"

namespace bilberry::emulation {

namespace {

// Longer than any event takes that no prefill holds up.
constexpr std::chrono::seconds kPrefillMemory{10};

base::Duration Scale(base::Duration duration, double factor) {
  return base::Duration(
      static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

EmulatedEngine::EmulatedEngine(forward::ListedEndpoint listed,
                               const EnginePool& pool,
                               size_t index,
                               uint64_t seed)
    : listed_(std::move(listed)), pool_(pool), index_(index), seed_(seed) {}

double EmulatedEngine::PaceAt(base::TimePoint time) const {
  const double speed =
      pool_.speeds.empty() ? 1 : pool_.speeds[index_ % pool_.speeds.size()];
  if (pool_.slow_periods.share <= 0)
    return 1 / speed;
  const auto period = static_cast<uint64_t>(time.time_since_epoch() /
                                            pool_.slow_periods.interval);
  base::Random random(base::Random(seed_ + period).Next() + index_);
  const bool is_slow = random.Fraction() < pool_.slow_periods.share;
  return (is_slow ? pool_.slow_periods.factor : 1) / speed;
}

base::TimePoint EmulatedEngine::EndOfWork(base::TimePoint begins,
                                          base::Duration work) const {
  const base::Duration interval = pool_.slow_periods.interval;
  while (true) {
    const double pace = PaceAt(begins);
    const base::TimePoint period_end =
        begins + interval - begins.time_since_epoch() % interval;
    const base::TimePoint end = begins + Scale(work, pace);
    if (end <= period_end)
      return end;
    work -= Scale(period_end - begins, 1 / pace);
    begins = period_end;
  }
}

// Ends are expected without the prefills to come, so that a slot is taken to be
// free a little early.
base::TimePoint EmulatedEngine::SlotFreeFrom(base::TimePoint time) {
  if (!pool_.holds_up_streams)
    return time;
  ends_.erase(ends_.begin(), ends_.lower_bound(time));
  if (ends_.size() < pool_.slots)
    return time;
  return *std::next(ends_.begin(),
                    static_cast<ptrdiff_t>(ends_.size() - pool_.slots));
}

base::Duration EmulatedEngine::EventTimeAt(base::TimePoint now) const {
  return Scale(pool_.event_time + pool_.event_time_per_request * running_,
               PaceAt(now));
}

base::TimePoint EmulatedEngine::NextEvent(base::TimePoint last,
                                          base::Duration event_time) const {
  base::TimePoint next = last + event_time;
  for (const Prefill& it : prefills_) {
    if (it.ends > last && it.begins < next)
      next += it.ends - std::max(it.begins, last);
  }
  return next;
}

bool EmulatedEngine::IsCached(const std::string& id) {
  const auto it = cache_by_id_.find(id);
  if (it == cache_by_id_.end())
    return false;
  cache_.splice(cache_.begin(), cache_, it->second);
  return true;
}

void EmulatedEngine::AddToCache(const forward::PrefixPart& part) {
  cache_.push_front({part.id, static_cast<double>(part.tokens)});
  cache_by_id_[part.id] = cache_.begin();
  cached_tokens_ += cache_.front().tokens;
  while (cached_tokens_ > pool_.cache_tokens && cache_.size() > 1) {
    cached_tokens_ -= cache_.back().tokens;
    cache_by_id_.erase(cache_.back().id);
    cache_.pop_back();
  }
}

EngineTimes EmulatedEngine::Run(const forward::ForwardedRequest& request,
                                double events,
                                base::TimePoint inputs_ready,
                                std::set<std::string>& prefilled_parts) {
  EngineTimes times;
  double tokens_to_prefill = 0;
  for (size_t i = 0; i < request.prefix.size(); ++i) {
    const forward::PrefixPart& part = request.prefix[i];
    const bool is_own = i + 1 == request.prefix.size();
    if (!is_own && IsCached(part.id))
      continue;
    tokens_to_prefill += static_cast<double>(part.tokens);
    if (is_own)
      continue;
    AddToCache(part);
    if (!prefilled_parts.insert(part.id).second)
      times.tokens_prefilled_again += static_cast<double>(part.tokens);
  }
  const auto prefill_time = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(tokens_to_prefill /
                                                pool_.prefill_tokens_per_ms));
  const base::TimePoint begins =
      std::max(prefill_until_, SlotFreeFrom(inputs_ready));
  prefill_until_ = EndOfWork(begins, prefill_time);
  ++running_;
  const base::Duration event_time = EventTimeAt(prefill_until_);
  times.first_event = prefill_until_ + event_time;
  times.end = times.first_event +
              base::Duration(static_cast<int64_t>(
                  static_cast<double>(event_time.count()) * events));
  if (!pool_.holds_up_streams)
    return times;
  ends_.insert(times.end);
  // Merged, so that a prefill isn't forgotten while it holds up streams.
  if (!prefills_.empty() && prefills_.back().ends == begins)
    prefills_.back().ends = prefill_until_;
  else
    prefills_.push_back({begins, prefill_until_});
  while (prefills_.front().ends + kPrefillMemory < inputs_ready)
    prefills_.pop_front();
  return times;
}

}  // namespace bilberry::emulation
