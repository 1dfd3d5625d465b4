#include "LibEmulation/emulated_engine.h"

#include <algorithm>
#include <utility>

namespace bilberry::emulation {

EmulatedEngine::EmulatedEngine(forward::ListedEndpoint listed,
                               const EnginePool& pool)
    : listed_(std::move(listed)), pool_(pool) {}

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
  prefill_until_ = std::max(prefill_until_, inputs_ready) + prefill_time;
  ++running_;
  const base::Duration event_time =
      pool_.event_time + pool_.event_time_per_request * running_;
  times.first_event = prefill_until_ + event_time;
  times.end = times.first_event +
              base::Duration(static_cast<int64_t>(
                  static_cast<double>(event_time.count()) * events));
  return times;
}

}  // namespace bilberry::emulation
