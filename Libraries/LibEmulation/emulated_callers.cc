#include "LibEmulation/emulated_callers.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "LibEmulation/draw.h"

namespace bilberry::emulation {

namespace {

constexpr uint64_t kMaxPieces = 40;
constexpr double kMaxTimesMean = 4;
// Callers don't retry when Retry-After exceeds this time.
constexpr std::chrono::seconds kMaxRetryAfter{30};
constexpr int64_t kBackoffDivisor = 3;

}  // namespace

EmulatedCallers::EmulatedCallers(Timeline& timeline,
                                 const LoadScenario& scenario,
                                 EmulationReport& report,
                                 uint64_t seed)
    : timeline_(timeline),
      scenario_(scenario),
      report_(report),
      random_(seed) {}

void EmulatedCallers::Begin(Send send, Leave leave) {
  send_ = std::move(send);
  leave_ = std::move(leave);
  begins_ = timeline_.now();
  const auto n = static_cast<size_t>(
      std::chrono::ceil<std::chrono::seconds>(scenario_.lasts).count());
  report_.seconds.resize(n);
  for (const CallerKind& kind : scenario_.kinds) {
    report_.seconds_of_kinds[kind.name].resize(n);
    ScheduleNext(kind);
  }
}

void EmulatedCallers::ScheduleNext(const CallerKind& kind) {
  const double rate = scenario_.RateOf(kind, timeline_.now() - begins_);
  const double wait =
      DrawExponential(random_, scenario_.mean_batch_size / rate);
  const auto delay = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(wait));
  if (timeline_.now() + delay >= begins_ + scenario_.lasts)
    return;
  timeline_.After(delay, [this, &kind] {
    for (int n = DrawGeometric(random_, scenario_.mean_batch_size); n > 0; --n)
      Arrive(kind);
    ScheduleNext(kind);
  });
}

uint32_t EmulatedCallers::DrawPieces(const PieceDemand& demand) {
  if (random_.Fraction() >= demand.share)
    return 0;
  const double drawn =
      DrawLogNormal(random_, demand.mean_pieces, demand.spread);
  const auto whole = static_cast<uint64_t>(std::lround(drawn));
  return static_cast<uint32_t>(std::clamp<uint64_t>(whole, 1, kMaxPieces));
}

uint64_t EmulatedCallers::DrawTokens(double mean) {
  const double drawn = DrawExponential(random_, mean);
  return static_cast<uint64_t>(std::min(drawn, mean * kMaxTimesMean));
}

forward::ForwardedRequest EmulatedCallers::DrawRequest(const CallerKind& kind) {
  forward::ForwardedRequest request;
  request.host = kind.name;
  request.method = "POST";
  request.path = "/";
  request.target = "/" + std::to_string(last_caller_ + 1);
  const uint64_t session = random_.Below(kind.sessions);
  const std::string common =
      kind.name + "-common-" + std::to_string(session % kind.common_parts);
  request.prefix = {
      {common, static_cast<uint64_t>(kind.common_tokens)},
      {kind.name + "-session-" + std::to_string(session),
       static_cast<uint64_t>(kind.session_tokens)},
      {"own-" + std::to_string(last_caller_ + 1), DrawTokens(kind.own_tokens)}};
  for (const PieceDemand& demand : kind.stages)
    request.piece_counts.push_back(DrawPieces(demand));
  request.piece_key = "key";
  return request;
}

void EmulatedCallers::Arrive(const CallerKind& kind) {
  Caller caller;
  caller.kind = &kind;
  caller.arrived = timeline_.now();
  caller.events = std::max(1.0, kind.events * (0.5 + random_.Fraction()));
  caller.request = DrawRequest(kind);
  Count(caller, &CallerTally::total);
  report_.worth_requested += kind.worth;
  SendRequest(std::move(caller));
}

base::Duration EmulatedCallers::TimeLeftOf(const Caller& caller) const {
  return scenario_.retry_timing == RetryTiming::kAsRequested
             ? caller.kind->deadline
             : caller.kind->deadline - (timeline_.now() - caller.arrived);
}

base::Duration EmulatedCallers::BackoffOf(const Caller& caller,
                                          base::Duration retry_after) const {
  return scenario_.retry_timing == RetryTiming::kAsRequested
             ? retry_after
             : std::min(retry_after, TimeLeftOf(caller) / kBackoffDivisor);
}

void EmulatedCallers::SendRequest(Caller caller) {
  const base::CallerId id{++last_caller_};
  caller.sent = timeline_.now();
  caller.request.caller = id;
  caller.request.request_id = "request-" + std::to_string(last_caller_);
  const base::Duration left = TimeLeftOf(caller);
  caller.request.budget = left;
  const auto patience = base::Duration(static_cast<int64_t>(
      static_cast<double>(caller.kind->target.count()) * scenario_.patience));
  timeline_.After(std::min(patience, left),
                  [this, id] { LeaveIfNotStarted(id); });
  by_request_[caller.request.request_id] = id;
  forward::ForwardedRequest request = caller.request;
  callers_.emplace(id, std::move(caller));
  send_(std::move(request));
}

void EmulatedCallers::LeaveIfNotStarted(base::CallerId id) {
  const auto it = callers_.find(id);
  if (it == callers_.end() || it->second.has_begun)
    return;
  if (const auto caller = Take(id))
    Count(*caller, &CallerTally::left);
  leave_(id);
}

std::optional<EmulatedCallers::Caller> EmulatedCallers::Take(
    base::CallerId id) {
  auto node = callers_.extract(id);
  if (node.empty())
    return std::nullopt;
  by_request_.erase(node.mapped().request.request_id);
  return std::move(node.mapped());
}

void EmulatedCallers::Count(const Caller& caller,
                            uint64_t CallerTally::*field) {
  ++(report_.kinds[caller.kind->name].*field);
  const auto second = static_cast<size_t>(
      std::chrono::duration_cast<std::chrono::seconds>(caller.arrived - begins_)
          .count());
  ++(report_.seconds.at(second).*field);
  ++(report_.seconds_of_kinds[caller.kind->name].at(second).*field);
}

void EmulatedCallers::NoteRefused(base::CallerId id,
                                  std::optional<base::Duration> retry_after) {
  auto caller = Take(id);
  if (!caller)
    return;
  Count(*caller, &CallerTally::refusals);
  report_.kinds[caller->kind->name].refused_in +=
      timeline_.now() - caller->sent;
  if (!retry_after || *retry_after > kMaxRetryAfter ||
      caller->retries >= scenario_.max_retries) {
    Count(*caller, &CallerTally::refused);
    return;
  }
  ++caller->retries;
  const base::Duration wait = BackoffOf(*caller, *retry_after);
  timeline_.After(wait,
                  [this, caller = std::move(*caller)] { SendRequest(caller); });
}

void EmulatedCallers::NoteFailed(base::CallerId id) {
  if (const auto caller = Take(id))
    Count(*caller, &CallerTally::failed);
}

void EmulatedCallers::NoteBegun(base::CallerId id) {
  const auto it = callers_.find(id);
  if (it == callers_.end())
    return;
  Caller& caller = it->second;
  caller.has_begun = true;
  caller.is_on_time = timeline_.now() <= caller.arrived + caller.kind->target;
}

void EmulatedCallers::NotePause(const std::string& request_id,
                                base::Duration pause) {
  const auto it = by_request_.find(request_id);
  if (it == by_request_.end())
    return;
  Caller& caller = callers_.at(it->second);
  report_.longest_pauses.push_back(pause);
  if (!caller.is_on_time || !caller.kind->max_pause ||
      pause <= *caller.kind->max_pause)
    return;
  caller.is_on_time = false;
  Count(caller, &CallerTally::paused);
}

void EmulatedCallers::NoteDone(base::CallerId id) {
  const auto caller = Take(id);
  if (!caller)
    return;
  Count(*caller,
        caller->is_on_time ? &CallerTally::on_time : &CallerTally::late);
  report_.worth_earned +=
      caller->is_on_time ? caller->kind->worth : caller->kind->late_worth;
}

double EmulatedCallers::EventsOf(const std::string& request_id) const {
  const auto it = by_request_.find(request_id);
  return it == by_request_.end() ? 1 : callers_.at(it->second).events;
}

const PieceDemand* EmulatedCallers::DemandOf(const std::string& request_id,
                                             uint32_t stage) const {
  const auto it = by_request_.find(request_id);
  return it == by_request_.end()
             ? nullptr
             : &callers_.at(it->second).kind->stages.at(stage);
}

}  // namespace bilberry::emulation
