#include "LibEmulation/emulated_piece_endpoint.h"

#include <algorithm>
#include <utility>

#include "LibEmulation/draw.h"

namespace bilberry::emulation {

namespace {

// Spread of the work and of the result sizes, as in DrawLogNormal().
constexpr double kSpread = 0.5;

}  // namespace

EmulatedPieceEndpoint::EmulatedPieceEndpoint(Timeline& timeline,
                                             forward::ListedEndpoint listed,
                                             forward::PieceLimits limits,
                                             PoolTally& tally,
                                             uint64_t seed)
    : timeline_(timeline),
      listed_(std::move(listed)),
      limits_(limits),
      tally_(tally),
      random_(seed) {}

double EmulatedPieceEndpoint::Spread() {
  return DrawLogNormal(random_, 1, kSpread);
}

void EmulatedPieceEndpoint::Submit(forward::StageCall call,
                                   Inspect inspect,
                                   Finished finished) {
  waiting_.push_back(
      {std::move(call), std::move(inspect), std::move(finished)});
  if (!running_)
    BeginNext();
}

void EmulatedPieceEndpoint::BeginNext() {
  if (waiting_.empty())
    return;
  const Waiting waiting = std::move(waiting_.front());
  waiting_.pop_front();
  running_ = waiting.finished;
  std::vector<PieceWork> works;
  base::Duration fetch{0};
  base::Duration work = limits_.call_time;
  for (const forward::PieceRequest& piece : waiting.call.pieces) {
    works.push_back(waiting.inspect(piece));
    if (!works.back().fetch_time)
      continue;
    fetch = std::max(fetch, *works.back().fetch_time);
    work += base::Duration(
        static_cast<int64_t>(static_cast<double>(limits_.piece_time.count()) *
                             works.back().work_factor * Spread()));
  }
  ++tally_.calls;
  tally_.pieces += waiting.call.pieces.size();
  tally_.busy += fetch + work;
  timeline_.After(fetch + work, [this, waiting, works, crashes = crash_count_] {
    if (crashes == crash_count_)
      End(waiting, works);
  });
}

void EmulatedPieceEndpoint::Crash() {
  ++crash_count_;
  std::vector<Finished> broken;
  if (running_)
    broken.push_back(*std::exchange(running_, std::nullopt));
  for (Waiting& it : waiting_)
    broken.push_back(std::move(it.finished));
  waiting_.clear();
  CountUnreadResults();
  for (const Finished& finished : broken)
    finished(forward::StageCallFailure::kBroken);
}

void EmulatedPieceEndpoint::End(const Waiting& waiting,
                                const std::vector<PieceWork>& works) {
  DropExpired();
  const base::Duration share =
      limits_.call_time / static_cast<int64_t>(works.size()) +
      limits_.piece_time;
  std::vector<forward::PieceOutcome> outcomes;
  for (const PieceWork& work : works) {
    const auto bytes = static_cast<uint64_t>(
        static_cast<double>(work.result_bytes) * Spread());
    if (!work.fetch_time) {
      ++tally_.inputs_gone;
      outcomes.emplace_back(forward::PieceRefusal::kInputGone);
    } else if (stored_bytes_ + bytes > limits_.memory_bytes) {
      ++tally_.no_memory;
      tally_.unused += share;
      outcomes.emplace_back(forward::PieceRefusal::kNoMemory);
    } else {
      std::string handle =
          listed_.name.value + "-" + std::to_string(++last_handle_);
      stored_bytes_ += bytes;
      results_.emplace(
          handle, StoredResult{bytes, timeline_.now() + limits_.result_life,
                               share, false});
      outcomes.emplace_back(std::move(handle));
    }
  }
  running_.reset();
  waiting.finished(std::move(outcomes));
  BeginNext();
}

void EmulatedPieceEndpoint::Drop(
    std::map<std::string, StoredResult>::iterator it) {
  stored_bytes_ -= it->second.bytes;
  if (!it->second.was_read)
    tally_.unused += it->second.compute_time;
  results_.erase(it);
}

void EmulatedPieceEndpoint::DropExpired() {
  for (auto it = results_.begin(); it != results_.end();) {
    const auto next = std::next(it);
    if (it->second.expires <= timeline_.now())
      Drop(it);
    it = next;
  }
}

void EmulatedPieceEndpoint::Free(const std::vector<std::string>& handles) {
  for (const std::string& handle : handles) {
    const auto it = results_.find(handle);
    if (it != results_.end())
      Drop(it);
  }
}

const StoredResult* EmulatedPieceEndpoint::Read(const std::string& handle) {
  DropExpired();
  const auto it = results_.find(handle);
  if (it == results_.end())
    return nullptr;
  it->second.was_read = true;
  return &it->second;
}

void EmulatedPieceEndpoint::CountUnreadResults() {
  while (!results_.empty())
    Drop(results_.begin());
}

}  // namespace bilberry::emulation
