#include "LibForward/selection_criteria.h"

#include <algorithm>
#include <chrono>
#include <string_view>
#include <vector>

namespace bilberry::forward {

namespace {

// The most urgent requests wait so long for a permit, the others half of it
// for each step of urgency.
constexpr std::chrono::milliseconds kLongestPermitWait{1000};
constexpr uint32_t kMostHalvings = 5;

// The longest prefix that other requests may share: the last part is the
// request's own, the one before it is its session's.
std::string_view SharedPartOf(const std::vector<PrefixPart>& prefix) {
  if (prefix.empty())
    return {};
  return prefix.size() == 1 ? prefix.front().id : prefix[prefix.size() - 2].id;
}

// No longer than there is time for the answer behind it.
base::Duration LongestPermitWait(const ForwardedRun& run, base::TimePoint now) {
  const uint32_t halvings =
      std::min(static_cast<uint32_t>(run.urgency), kMostHalvings);
  const base::Duration left = run.begin_deadline - now - kMinFinalTime;
  return std::clamp<base::Duration>(left, base::Duration(0),
                                    kLongestPermitWait / (1U << halvings));
}

// Whether a cold endpoint would do: there is time for the keeper's answer and
// for that of a slow endpoint before the target.
bool MayWarm(const ForwardedRun& run, base::TimePoint now) {
  return run.tried.empty() &&
         run.target - now >= kPermitTimeout + 2 * kMinFinalTime;
}

}  // namespace

EndpointCriteria EndpointCriteriaOf(const ForwardedRun& run,
                                    base::TimePoint now) {
  EndpointCriteria wish;
  wish.pool = run.final_pool;
  wish.avoided = run.tried;
  wish.affinity = SharedPartOf(run.request->prefix);
  wish.may_use_cold = MayWarm(run, now);
  wish.longest_wait = LongestPermitWait(run, now);
  return wish;
}

CellCriteria CellCriteriaOf(const ForwardedRun& run) {
  CellCriteria wish;
  for (size_t i = 0; i < run.stages.size(); ++i) {
    if (run.stages[i].phase != StagePhase::kDone)
      wish.pools.push_back(run.pipeline->stages[i].pool);
  }
  wish.reader_zone = run.final_zone;
  wish.avoided = run.cells_tried;
  return wish;
}

}  // namespace bilberry::forward
