#include "LibForward/selection_criteria.h"

#include <algorithm>
#include <chrono>
#include <string_view>
#include <vector>

namespace bilberry::forward {

namespace {

// Longest wait of the most urgent requests for a permit; halved for each step
// down in urgency.
constexpr std::chrono::milliseconds kLongestPermitWait{1000};
constexpr uint32_t kMaxHalvings = 5;

// Returns the longest prefix that other requests may share: the last part
// belongs to the request alone, the one before it to its session.
std::string_view SharedPrefixOf(const std::vector<PrefixPart>& prefix) {
  if (prefix.empty())
    return {};
  return prefix.size() == 1 ? prefix.front().id : prefix[prefix.size() - 2].id;
}

// The wait leaves enough time for the answer to begin before its deadline.
base::Duration LongestPermitWait(const ForwardedRun& run, base::TimePoint now) {
  const uint32_t halvings =
      std::min(static_cast<uint32_t>(run.urgency), kMaxHalvings);
  const base::Duration left = run.begin_deadline - now - kMinFinalTime;
  return std::clamp<base::Duration>(left, base::Duration(0),
                                    kLongestPermitWait / (1U << halvings));
}

// Whether the request may go to a cold endpoint: no endpoint has been tried
// yet, and the target leaves time for the limit owner's answer and for that of
// a slow endpoint.
bool MayUseCold(const ForwardedRun& run, base::TimePoint now) {
  return run.tried.empty() &&
         run.target - now >= kPermitTimeout + 2 * kMinFinalTime;
}

}  // namespace

EndpointCriteria EndpointCriteriaOf(const ForwardedRun& run,
                                    base::TimePoint now) {
  EndpointCriteria criteria;
  criteria.pool = run.final_pool;
  criteria.avoided = run.tried;
  if (run.stream_version)
    criteria.software_version = *run.stream_version;
  criteria.affinity = SharedPrefixOf(run.request->prefix);
  criteria.may_use_cold = MayUseCold(run, now);
  criteria.longest_wait = LongestPermitWait(run, now);
  return criteria;
}

CellCriteria CellCriteriaOf(const ForwardedRun& run) {
  CellCriteria criteria;
  for (size_t i = 0; i < run.stages.size(); ++i) {
    if (run.stages[i].phase != StagePhase::kDone)
      criteria.pools.push_back(run.pipeline->stages[i].pool);
  }
  criteria.reader_zone = run.final_zone;
  criteria.avoided = run.cells_tried;
  return criteria;
}

}  // namespace bilberry::forward
