#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "LibForward/endpoint_pace.h"
#include "LibForward/forward_endpoint.h"
#include "LibForward/placement.h"
#include "LibForward/placement_policy.h"
#include "LibForward/placement_prompt.h"
#include "LibForward/prefill_estimator.h"

namespace bilberry::forward {

// One endpoint as its placement owner sees it: the runs in flight, the prompt
// parts that runs brought there, and the pace. Performs no I/O and reads no
// clock.
class EndpointLoad {
 public:
  static constexpr size_t kMaxParts = 512;

  explicit EndpointLoad(ListedEndpoint listed) : listed_(std::move(listed)) {}

  const ListedEndpoint& listed() const { return listed_; }
  // Must be of the same incarnation.
  void SetListed(const ListedEndpoint& listed) { listed_ = listed; }

  // What is expected if a run with this prompt is placed here and sent at
  // `sent`.
  PlacementCandidate Evaluate(const PlacementPrompt& prompt,
                              const std::optional<base::Duration>& max_pause,
                              base::TimePoint sent,
                              uint32_t slots,
                              const PrefillEstimator& estimator,
                              base::TimePoint now) const;
  // Time to the first event of a run of `tokens` that is sent now.
  base::Duration FirstEventOf(double tokens,
                              uint32_t slots,
                              const PrefillEstimator& estimator,
                              base::TimePoint now) const;

  // Adds a run that isn't here yet, and its prompt's parts.
  void Add(const PlacementRun& run,
           const PlacementPrompt& prompt,
           base::TimePoint now);
  // The run's first event has arrived, this long after it was sent. Ignored if
  // it has already begun.
  void Begin(const PlacedRunId& id,
             base::Duration first_event,
             PrefillEstimator& estimator,
             base::TimePoint now);
  // Marks a run as begun of which the times aren't known.
  void BeginHeld(const PlacedRunId& id, base::TimePoint now);
  void End(const PlacedRunId& id,
           const std::optional<base::Duration>& longest_pause,
           PrefillEstimator& estimator,
           base::TimePoint now);
  // Removes the run. If it has not begun, also drops the prompt parts that only
  // it was to bring.
  void Withdraw(const PlacedRunId& id);

  uint32_t runs() const { return static_cast<uint32_t>(runs_.size()); }
  size_t parts() const { return parts_.size(); }
  uint64_t tokens_to_prefill() const { return tokens_to_prefill_; }
  // Includes what shows from runs whose first event is overdue.
  double PaceAt(const PrefillEstimator& estimator, base::TimePoint now) const;

 private:
  struct Run {
    base::TimePoint sent;  // Expected until the run has begun.
    std::optional<base::TimePoint> begun;
    bool was_ready = false;  // Its stages were done when it was placed.
    uint64_t tokens = 0;     // To prefill.
    double work_tokens = 0;  // With the work that was here before it.
    std::optional<base::Duration> max_pause;
    bool met_long_prefill = false;  // While it was streaming.
    std::vector<uint64_t> parts;
  };
  struct Part {
    std::list<uint64_t>::iterator use;  // In `uses_`.
    uint32_t pending = 0;               // Runs with it that haven't begun.
    bool is_confirmed = false;          // A run with it has begun.
  };
  // Runs that haven't begun, in the order in which they are to be sent.
  using Queue = std::set<std::pair<base::TimePoint, PlacedRunId>>;

  // The work that a run sent at `sent` meets here, as tokens to prefill.
  double WorkTokens(base::TimePoint sent) const;
  // Time from sending a run of `tokens` at `sent` to its first event.
  base::Duration FirstEventAt(double pace,
                              double tokens,
                              base::TimePoint sent,
                              uint32_t slots,
                              const PrefillEstimator& estimator) const;
  base::Duration SlotWait(uint32_t slots,
                          double pace,
                          const PrefillEstimator& estimator) const;
  // Whether a long prefill follows after a run that is sent at `sent`.
  bool IsLongPrefillAfter(base::TimePoint sent) const;
  bool ExceedsPause(const std::optional<base::Duration>& max_pause,
                    bool is_long,
                    base::TimePoint sent,
                    double pace,
                    const PrefillEstimator& estimator) const;
  void Use(const PlacementPrompt& prompt);
  // Takes a run that hasn't begun out of the queue.
  void Unqueue(const PlacedRunId& id, const Run& run);
  void MarkBegun(const PlacedRunId& id, Run& run, base::TimePoint begun);

  ListedEndpoint listed_;
  EndpointPace pace_;
  std::map<PlacedRunId, Run> runs_;
  Queue queue_;
  uint64_t tokens_to_prefill_ = 0;  // Of the runs in `queue_`.
  std::list<uint64_t> uses_;  // Keys of `parts_`, most recently used first.
  std::unordered_map<uint64_t, Part> parts_;
};

}  // namespace bilberry::forward
