#include "LibForward/endpoint_load.h"

#include <algorithm>

namespace bilberry::forward {

namespace {

using std::chrono::milliseconds;

// Delay of a first event by each stream that has begun, expressed as tokens to
// prefill.
constexpr double kTokensPerStream = 200;
// When a run is sent is only estimated while its stages run: one expected up to
// this much later may come first.
constexpr milliseconds kSendUncertainty{200};
// A first event is reported up to this long after it has arrived. Hosts batch
// reports for 50 ms.
constexpr milliseconds kReportDelay{60};
// One slot in this many is left to requests that hosts place by themselves.
constexpr uint32_t kSlotsToAReserved = 8;

base::Duration Scale(base::Duration duration, double factor) {
  return base::Duration(
      static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

double Ratio(base::Duration part, base::Duration whole) {
  return static_cast<double>(part.count()) /
         static_cast<double>(std::max<base::Duration::rep>(whole.count(), 1));
}

}  // namespace

// During a slowdown, first events are late, so that a prefill under way shows
// it before they arrive. Runs whose stages had not ended may not have been sent
// yet, and show nothing.
double EndpointLoad::PaceAt(const PrefillEstimator& estimator,
                            base::TimePoint now) const {
  const double pace = pace_.At(now);
  for (const auto& [sent, id] : queue_) {
    const Run& run = runs_.at(id);
    if (!run.was_ready)
      continue;
    const base::Duration expected =
        estimator.PrefillTimeOf(run.work_tokens) + estimator.first_event_time();
    return std::clamp(Ratio(now - sent - kReportDelay, expected), pace,
                      EndpointPace::kMax);
  }
  return pace;
}

// Prompts are prefilled in chunks that take turns with each other and with the
// tokens of the streams, so that a first event waits for all work that is there
// by then.
double EndpointLoad::WorkTokens(base::TimePoint sent) const {
  const auto streams = static_cast<double>(runs_.size() - queue_.size());
  double tokens = streams * kTokensPerStream;
  for (const auto& [other_sent, id] : queue_) {
    if (other_sent > sent + kSendUncertainty)
      break;
    tokens += static_cast<double>(runs_.at(id).tokens);
  }
  return tokens;
}

base::Duration EndpointLoad::SlotWait(uint32_t slots,
                                      double pace,
                                      const PrefillEstimator& estimator) const {
  const uint32_t usable = slots - slots / kSlotsToAReserved;
  if (slots == 0 || runs() < usable)
    return base::Duration(0);
  const double turns =
      static_cast<double>(runs() - usable + 1) / static_cast<double>(slots);
  return Scale(estimator.stream_time(), pace * turns);
}

base::Duration EndpointLoad::FirstEventOf(double tokens,
                                          uint32_t slots,
                                          const PrefillEstimator& estimator,
                                          base::TimePoint now) const {
  return FirstEventAt(PaceAt(estimator, now), tokens, now, slots, estimator);
}

base::Duration EndpointLoad::FirstEventAt(
    double pace,
    double tokens,
    base::TimePoint sent,
    uint32_t slots,
    const PrefillEstimator& estimator) const {
  return Scale(estimator.PrefillTimeOf(WorkTokens(sent) + tokens) +
                   estimator.first_event_time(),
               pace) +
         SlotWait(slots, pace, estimator);
}

bool EndpointLoad::IsLongPrefillAfter(base::TimePoint sent) const {
  return std::any_of(queue_.lower_bound({sent, PlacedRunId{}}), queue_.end(),
                     [this](const auto& it) {
                       return runs_.at(it.second).tokens >= kLongPrefillTokens;
                     });
}

// Streams that have already met a long prefill don't count: the next one makes
// their longest pause hardly longer. Long prefills thus gather where there are
// such streams.
// FIXME: Prefills that follow one another without a gap make one long pause;
// matters where an engine gets several in a row, which this doesn't expect.
bool EndpointLoad::ExceedsPause(const std::optional<base::Duration>& max_pause,
                                bool is_long,
                                base::TimePoint sent,
                                double pace,
                                const PrefillEstimator& estimator) const {
  const base::Duration own_pause =
      Scale(estimator.PauseOf(IsLongPrefillAfter(sent)), pace);
  if (max_pause && own_pause > *max_pause)
    return true;
  if (!is_long)
    return false;
  const base::Duration pause = Scale(estimator.PauseOf(true), pace);
  return std::ranges::any_of(runs_, [pause, sent](const auto& it) {
    const Run& run = it.second;
    const bool streams_then = run.begun || run.sent < sent;
    return streams_then && !run.met_long_prefill && run.max_pause &&
           pause > *run.max_pause;
  });
}

PlacementCandidate EndpointLoad::Evaluate(
    const PlacementPrompt& prompt,
    const std::optional<base::Duration>& max_pause,
    base::TimePoint sent,
    uint32_t slots,
    const PrefillEstimator& estimator,
    base::TimePoint now) const {
  PlacementCandidate candidate;
  candidate.endpoint = listed_.name.value;
  candidate.runs = runs();
  uint64_t shared_tokens = 0;
  for (const PlacementPrompt::Part& part : prompt.shared) {
    const bool is_cached = shared_tokens == 0 && parts_.contains(part.key);
    (is_cached ? candidate.cached_tokens : shared_tokens) += part.tokens;
  }
  const uint64_t tokens = shared_tokens + prompt.own_tokens;
  const double pace = PaceAt(estimator, now);
  candidate.shared_prefill =
      Scale(estimator.PrefillTimeOf(static_cast<double>(shared_tokens)), pace);
  candidate.own_prefill =
      Scale(estimator.PrefillTimeOf(static_cast<double>(tokens)), pace);
  candidate.first_event =
      FirstEventAt(pace, static_cast<double>(tokens), sent, slots, estimator);
  candidate.exceeds_pause = ExceedsPause(
      max_pause, tokens >= kLongPrefillTokens, sent, pace, estimator);
  return candidate;
}

void EndpointLoad::Use(const PlacementPrompt& prompt) {
  // In reverse, so that the first parts, without which the others don't count,
  // are evicted last.
  for (auto it = prompt.shared.rbegin(); it != prompt.shared.rend(); ++it) {
    const auto [entry, is_new] = parts_.try_emplace(it->key);
    if (is_new)
      uses_.push_front(it->key);
    else
      uses_.splice(uses_.begin(), uses_, entry->second.use);
    entry->second.use = uses_.begin();
    ++entry->second.pending;
  }
  while (parts_.size() > kMaxParts) {
    parts_.erase(uses_.back());
    uses_.pop_back();
  }
}

void EndpointLoad::Add(const PlacementRun& placed,
                       const PlacementPrompt& prompt,
                       base::TimePoint now) {
  Run run;
  run.was_ready = placed.until_sent <= base::Duration(0);
  run.sent = now + std::max(placed.until_sent, base::Duration(0));
  run.max_pause = placed.max_pause;
  run.tokens = prompt.own_tokens;
  bool is_cached = true;
  for (const PlacementPrompt::Part& part : prompt.shared) {
    run.parts.push_back(part.key);
    is_cached = is_cached && parts_.contains(part.key);
    if (!is_cached)
      run.tokens += part.tokens;
  }
  run.work_tokens = WorkTokens(run.sent) + static_cast<double>(run.tokens);
  Use(prompt);
  queue_.emplace(run.sent, placed.id);
  tokens_to_prefill_ += run.tokens;
  runs_.emplace(placed.id, std::move(run));
}

void EndpointLoad::Unqueue(const PlacedRunId& id, const Run& run) {
  queue_.erase({run.sent, id});
  tokens_to_prefill_ -= run.tokens;
  for (const uint64_t key : run.parts) {
    const auto part = parts_.find(key);
    // The part may have been evicted and brought again since.
    if (part != parts_.end() && part->second.pending > 0)
      --part->second.pending;
  }
}

void EndpointLoad::MarkBegun(const PlacedRunId& id,
                             Run& run,
                             base::TimePoint begun) {
  Unqueue(id, run);
  run.begun = begun;
  for (const uint64_t key : run.parts) {
    const auto part = parts_.find(key);
    if (part != parts_.end())
      part->second.is_confirmed = true;
  }
  if (run.tokens < kLongPrefillTokens)
    return;
  for (auto& [other_id, other] : runs_) {
    if (other_id != id && other.begun)
      other.met_long_prefill = true;
  }
}

void EndpointLoad::Begin(const PlacedRunId& id,
                         base::Duration first_event,
                         PrefillEstimator& estimator,
                         base::TimePoint now) {
  const auto it = runs_.find(id);
  if (it == runs_.end() || it->second.begun)
    return;
  Run& run = it->second;
  MarkBegun(id, run, now);
  const base::Duration expected =
      estimator.PrefillTimeOf(run.work_tokens) + estimator.first_event_time();
  pace_.Note(Ratio(first_event, expected), now);
  estimator.NoteFirstEvent(static_cast<uint64_t>(run.work_tokens), first_event);
}

void EndpointLoad::BeginHeld(const PlacedRunId& id, base::TimePoint now) {
  const auto it = runs_.find(id);
  if (it != runs_.end() && !it->second.begun)
    MarkBegun(id, it->second, now);
}

void EndpointLoad::End(const PlacedRunId& id,
                       const std::optional<base::Duration>& longest_pause,
                       PrefillEstimator& estimator,
                       base::TimePoint now) {
  const auto it = runs_.find(id);
  if (it == runs_.end())
    return;
  const Run& run = it->second;
  const double pace = pace_.At(now);
  if (longest_pause)
    estimator.NotePause(Scale(*longest_pause, 1 / pace), run.met_long_prefill);
  if (run.begun)
    estimator.NoteStreamTime(Scale(now - *run.begun, 1 / pace));
  Withdraw(id);
}

void EndpointLoad::Withdraw(const PlacedRunId& id) {
  const auto it = runs_.find(id);
  if (it == runs_.end())
    return;
  const Run& run = it->second;
  if (!run.begun) {
    Unqueue(id, run);
    for (const uint64_t key : run.parts) {
      const auto part = parts_.find(key);
      if (part == parts_.end() || part->second.is_confirmed ||
          part->second.pending > 0)
        continue;
      uses_.erase(part->second.use);
      parts_.erase(part);
    }
  }
  runs_.erase(it);
}

}  // namespace bilberry::forward
