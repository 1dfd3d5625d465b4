#include "LibEmulation/emulated_engine.h"

#include <algorithm>
#include <utility>

namespace bilberry::emulation {

EmulatedEngine::EmulatedEngine(forward::ListedEndpoint listed,
                               const EnginePool& pool)
    : listed_(std::move(listed)), pool_(pool) {}

bool EmulatedEngine::Keeps(const std::string& id) {
  const auto it = kept_by_id_.find(id);
  if (it == kept_by_id_.end())
    return false;
  kept_.splice(kept_.begin(), kept_, it->second);
  return true;
}

void EmulatedEngine::Keep(const forward::PrefixPart& part) {
  kept_.push_front({part.id, static_cast<double>(part.tokens)});
  kept_by_id_[part.id] = kept_.begin();
  kept_tokens_ += kept_.front().tokens;
  while (kept_tokens_ > pool_.kept_tokens && kept_.size() > 1) {
    kept_tokens_ -= kept_.back().tokens;
    kept_by_id_.erase(kept_.back().id);
    kept_.pop_back();
  }
}

EngineTimes EmulatedEngine::Run(const forward::ForwardedRequest& request,
                                double events,
                                base::TimePoint inputs_there,
                                std::set<std::string>& read_before) {
  EngineTimes times;
  double to_read = 0;
  for (size_t i = 0; i < request.prefix.size(); ++i) {
    const forward::PrefixPart& part = request.prefix[i];
    const bool is_own = i + 1 == request.prefix.size();
    if (!is_own && Keeps(part.id))
      continue;
    to_read += static_cast<double>(part.tokens);
    if (is_own)
      continue;
    Keep(part);
    if (!read_before.insert(part.id).second)
      times.tokens_read_again += static_cast<double>(part.tokens);
  }
  const auto read_time = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(to_read /
                                                pool_.read_tokens_per_ms));
  reads_until_ = std::max(reads_until_, inputs_there) + read_time;
  ++running_;
  const base::Duration event_time =
      pool_.event_time + pool_.event_time_per_request * running_;
  times.first_event = reads_until_ + event_time;
  times.end = times.first_event +
              base::Duration(static_cast<int64_t>(
                  static_cast<double>(event_time.count()) * events));
  return times;
}

}  // namespace bilberry::emulation
