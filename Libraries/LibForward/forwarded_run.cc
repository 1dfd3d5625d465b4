#include "LibForward/forwarded_run.h"

#include <algorithm>
#include <iterator>

namespace bilberry::forward {

namespace {

bool Reads(const ForwardedStage& stage, size_t other) {
  return std::ranges::find(stage.after, other) != stage.after.end();
}

void Append(const StageState& stage, std::vector<StageResult>& out) {
  if (stage.results)
    std::ranges::copy(stage.results->results, std::back_inserter(out));
}

}  // namespace

StreamKind StreamKindOf(const AnswerHead& head) {
  const size_t end = head.content_type.find_first_of("; \t");
  std::string type = head.content_type.substr(0, end);
  std::ranges::transform(type, type.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return {head.status, std::move(type)};
}

std::vector<StageState> InitialStages(const ForwardedPipeline& pipeline,
                                      const ForwardedRequest& request) {
  std::vector<StageState> stages(pipeline.stages.size());
  for (size_t i = 0; i < stages.size(); ++i) {
    stages[i].pieces =
        i < request.piece_counts.size() ? request.piece_counts[i] : 0;
    if (stages[i].pieces == 0)
      stages[i].phase = StagePhase::kDone;
  }
  return stages;
}

void ForwardedRun::GoOnAt(const base::PoolName& pool,
                          const std::string& version) {
  stream_version = version;
  const auto& pools = pipeline->final_pools;
  if (std::ranges::find(pools, pool, &PoolShare::pool) != pools.end())
    final_pool = pool;
}

std::vector<size_t> ForwardedRun::ReadyStages() const {
  std::vector<size_t> ready;
  for (size_t i = 0; i < stages.size(); ++i) {
    const bool has_inputs = std::ranges::all_of(
        pipeline->stages[i].after,
        [this](size_t it) { return stages[it].phase == StagePhase::kDone; });
    if (stages[i].phase == StagePhase::kWaiting && has_inputs)
      ready.push_back(i);
  }
  return ready;
}

base::TimePoint ForwardedRun::EndOfOthers(
    size_t stage,
    base::TimePoint now,
    const std::function<base::Duration(size_t)>& time_of) const {
  base::TimePoint last = now;
  std::vector<base::TimePoint> ends(stages.size(), now);
  std::vector<bool> depends_on_it(stages.size(), false);
  depends_on_it[stage] = true;
  // Stages read only earlier stages, whose ends are already computed here.
  for (size_t i = 0; i < stages.size(); ++i) {
    const std::vector<size_t>& after = pipeline->stages[i].after;
    depends_on_it[i] =
        i == stage || std::ranges::any_of(after, [&depends_on_it](size_t it) {
          return depends_on_it[it];
        });
    if (depends_on_it[i] || stages[i].phase == StagePhase::kDone)
      continue;
    base::TimePoint begin = now;
    for (const size_t before : after)
      begin = std::max(begin, ends[before]);
    if (stages[i].phase == StagePhase::kRequested)
      begin = stages[i].requested_at;
    ends[i] = std::max(now, begin + time_of(i));
    last = std::max(last, ends[i]);
  }
  return last;
}

bool ForwardedRun::AreStagesDone() const {
  return std::ranges::all_of(stages, [](const StageState& it) {
    return it.phase == StagePhase::kDone;
  });
}

bool ForwardedRun::AreStagesRequested() const {
  return std::ranges::none_of(stages, [](const StageState& it) {
    return it.phase == StagePhase::kWaiting;
  });
}

bool ForwardedRun::HasBegun() const {
  return std::ranges::any_of(stages, [](const StageState& it) {
    return it.phase == StagePhase::kDone && it.pieces > 0;
  });
}

std::vector<StageResult> ForwardedRun::InputsOf(size_t stage) const {
  std::vector<StageResult> inputs;
  for (const size_t before : pipeline->stages[stage].after)
    Append(stages[before], inputs);
  return inputs;
}

std::optional<base::TimePoint> ForwardedRun::InputsExpireAt(
    size_t stage) const {
  std::optional<base::TimePoint> gone;
  for (const size_t before : pipeline->stages[stage].after) {
    const ForwardedPool* pool =
        configuration->FindPool(pipeline->stages[before].pool);
    if (!stages[before].results || pool == nullptr || !pool->pieces)
      continue;
    const base::TimePoint dropped =
        stages[before].done + pool->pieces->result_life;
    gone = std::min(gone.value_or(dropped), dropped);
  }
  return gone;
}

std::vector<StageResult> ForwardedRun::FinalInputs() const {
  std::vector<StageResult> inputs;
  for (size_t i = 0; i < stages.size(); ++i) {
    const bool is_read = std::ranges::any_of(
        pipeline->stages,
        [i](const ForwardedStage& it) { return Reads(it, i); });
    if (!is_read)
      Append(stages[i], inputs);
  }
  return inputs;
}

uint64_t ForwardedRun::BytesMoved(size_t stage) const {
  const std::vector<ForwardedStage>& declared = pipeline->stages;
  uint64_t bytes = 0;
  for (const size_t before : declared[stage].after)
    bytes += declared[before].result_bytes * stages[before].pieces;
  // Each piece of a later stage reads the whole result.
  uint64_t readers = 0;
  for (size_t i = 0; i < stages.size(); ++i) {
    if (Reads(declared[i], stage))
      readers += stages[i].pieces;
  }
  return bytes + declared[stage].result_bytes * std::max<uint64_t>(readers, 1);
}

bool ForwardedRun::IsReadByAll(size_t stage) const {
  bool is_read = false;
  for (size_t i = 0; i < stages.size(); ++i) {
    if (!Reads(pipeline->stages[i], stage))
      continue;
    is_read = true;
    if (stages[i].phase != StagePhase::kDone)
      return false;
  }
  return is_read;
}

base::Duration CallTimeOf(const PieceLimits& limits, uint32_t pieces) {
  return limits.call_time +
         limits.piece_time * std::min(pieces, limits.pieces_per_call);
}

base::Duration ForwardedRun::TimeAfter(
    size_t stage,
    const std::function<base::Duration(size_t)>& time_of) const {
  base::Duration longest{0};
  for (size_t i = stage + 1; i < stages.size(); ++i) {
    if (Reads(pipeline->stages[i], stage) &&
        stages[i].phase != StagePhase::kDone)
      longest = std::max(longest, time_of(i) + TimeAfter(i, time_of));
  }
  return longest;
}

}  // namespace bilberry::forward
