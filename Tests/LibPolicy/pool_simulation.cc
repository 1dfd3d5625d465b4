#include "LibPolicy/pool_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "LibPolicy/admission.h"

namespace bilberry::policy {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kShareEvery{500};
// Time until a connection to a dead host is refused.
constexpr base::Duration kRefusal{1'000};
constexpr size_t kMaxTries = 2;
constexpr double kMicroseconds = 1e6;
const base::TimePoint kStart;

declare::Pool PoolOf(const Scenario& scenario) {
  declare::Pool pool;
  pool.name = {"pool"};
  pool.workers = static_cast<uint32_t>(scenario.endpoints);
  pool.slots_per_worker = scenario.declared_slots;
  return pool;
}

std::vector<EndpointTarget> TargetsOf(const Scenario& scenario) {
  std::vector<EndpointTarget> targets;
  for (size_t i = 0; i < scenario.endpoints; ++i)
    targets.push_back({{std::to_string(i)}, {"zone"}, {}, {}});
  return targets;
}

StageId StageOf(size_t stage) {
  return {{"pipeline"}, {std::to_string(stage)}};
}

}  // namespace

double Scenario::Capacity() const {
  const std::chrono::duration<double> busy = service * stages;
  return static_cast<double>(endpoints * slots) / busy.count();
}

double TrafficResult::InTimePercent() const {
  constexpr double kPercent = 100.0;
  return runs == 0 ? kPercent
                   : kPercent * static_cast<double>(in_time) /
                         static_cast<double>(runs);
}

TrafficResult SimulationResult::Sum() const {
  TrafficResult sum;
  for (const auto& [name, it] : traffic) {
    sum.runs += it.runs;
    sum.in_time += it.in_time;
    sum.refused += it.refused;
    sum.served += it.served;
    sum.wasted += it.wasted;
  }
  return sum;
}

PoolSimulation::PoolSimulation(Scenario scenario)
    : scenario_(std::move(scenario)),
      random_(scenario_.seed),
      endpoints_(scenario_.endpoints) {
  for (size_t i = 0; i < scenario_.hosts; ++i) {
    PoolScheduler& host =
        hosts_.emplace_back(PoolOf(scenario_), base::ZoneName{"zone"},
                            scenario_.policy, random_.Next());
    host.Reconfigure(PoolOf(scenario_), scenario_.shares);
    host.SetEndpoints(TargetsOf(scenario_), now_);
  }
  for (size_t i = 0; i < scenario_.traffic.size(); ++i) {
    result_.traffic[scenario_.traffic[i].name];
    ScheduleArrival(i);
  }
  for (size_t i = 0; i < scenario_.changes.size(); ++i)
    Schedule(kStart + scenario_.changes[i].at, EventKind::kChange, i);
  Schedule(kStart + kShareEvery, EventKind::kShare, 0);
}

void PoolSimulation::Schedule(base::TimePoint at,
                              EventKind kind,
                              uint64_t subject,
                              uint64_t attempt) {
  events_.push({at, ++last_order_, kind, subject, attempt});
}

SimulationResult PoolSimulation::Run() {
  while (!events_.empty() && events_.top().at < kStart + scenario_.length) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    Handle(event);
  }
  return result_;
}

void PoolSimulation::Handle(const Event& event) {
  switch (event.kind) {
    case EventKind::kArrival:
      Arrive(event.subject);
      return;
    case EventKind::kServed:
      EndService(event.attempt);
      return;
    case EventKind::kDeadline:
      Expire(event.subject);
      return;
    case EventKind::kShare:
      ShareLoads();
      return;
    case EventKind::kChange:
      Apply(scenario_.changes[event.subject]);
      return;
  }
}

void PoolSimulation::ScheduleArrival(size_t index) {
  const Traffic& traffic = scenario_.traffic[index];
  const double gap = -std::log(1.0 - random_.Fraction()) / traffic.per_second;
  const auto at = std::max(now_, kStart + traffic.from) +
                  base::Duration(static_cast<int64_t>(gap * kMicroseconds));
  const bool is_over =
      traffic.until.count() > 0 && at >= kStart + traffic.until;
  if (!is_over)
    Schedule(at, EventKind::kArrival, index);
}

void PoolSimulation::Arrive(size_t index) {
  ScheduleArrival(index);
  const uint64_t run = ++last_run_;
  RunState& state = runs_[run];
  state.traffic = index;
  state.host = random_.Below(scenario_.hosts);
  state.arrived = now_;
  state.deadline = now_ + scenario_.traffic[index].deadline;
  // Runs whose deadline lies after the end have no result.
  if (TrafficResult* result = ResultOf(state); result != nullptr)
    ++result->runs;
  if (IsQuarantined(state)) {
    if (TrafficResult* result = ResultOf(state); result != nullptr)
      ++result->refused;
    EndRun(run, false);
    return;
  }
  Schedule(state.deadline, EventKind::kDeadline, run);
  OfferStage(run);
}

bool PoolSimulation::IsQuarantined(const RunState& state) const {
  if (scenario_.policy == PolicyKind::kBaseline)
    return false;
  const Traffic& traffic = scenario_.traffic[state.traffic];
  const PoolScheduler& host = hosts_[state.host];
  WorkClass claim{traffic.rank, {traffic.name}};
  std::vector<StageForecast> forecasts;
  for (size_t i = 0; i < scenario_.stages; ++i) {
    forecasts.push_back({host.EstimatedWait(claim),
                         host.EstimateOf(StageOf(i), scenario_.service, now_)});
    claim.progress = Progress::kUnderWay;
  }
  return std::holds_alternative<DeadlineUnreachable>(
      DecideAdmission(forecasts, state.deadline - now_));
}

bool PoolSimulation::IsCounted(const RunState& state) const {
  if (state.arrived < kStart + scenario_.warm_up ||
      state.deadline >= kStart + scenario_.length)
    return false;
  return std::ranges::none_of(
      scenario_.changes, [&](const EndpointChange& change) {
        const auto at = kStart + change.at;
        return state.deadline >= at &&
               state.arrived < at + scenario_.after_change;
      });
}

TrafficResult* PoolSimulation::ResultOf(const RunState& state) {
  if (!IsCounted(state))
    return nullptr;
  return &result_.traffic[scenario_.traffic[state.traffic].name];
}

void PoolSimulation::OfferStage(uint64_t run) {
  const RunState& state = runs_.at(run);
  const Traffic& traffic = scenario_.traffic[state.traffic];
  Work work;
  work.run = base::RunId{run};
  work.rank = traffic.rank;
  work.team = {traffic.name};
  work.stage = StageOf(state.stage);
  work.service =
      hosts_[state.host].EstimateOf(work.stage, scenario_.service, now_);
  for (size_t i = state.stage + 1; i < scenario_.stages; ++i)
    work.service_after += hosts_[state.host]
                              .EstimateOf(StageOf(i), scenario_.service, now_)
                              .typical;
  work.offered = now_;
  work.deadline = state.deadline;
  work.progress = state.stage == 0 ? Progress::kNew : Progress::kUnderWay;
  work.avoided = state.avoided;
  const size_t host = state.host;
  if (hosts_[host].Offer(std::move(work), now_) == OfferOutcome::kQueueFull) {
    EndRun(run, false);
    return;
  }
  DispatchAll(host);
}

void PoolSimulation::DispatchAll(size_t host) {
  while (const auto dispatch = hosts_[host].NextDispatch(now_))
    Send(host, *dispatch);
  for (const base::RunId run : hosts_[host].TakeExpired())
    EndRun(static_cast<uint64_t>(run), false);
}

void PoolSimulation::Send(size_t /*host*/, const Dispatch& dispatch) {
  const auto run = static_cast<uint64_t>(dispatch.run);
  RunState& state = runs_.at(run);
  const uint64_t attempt = ++last_attempt_;
  state.attempt = attempt;
  state.endpoint = std::stoul(dispatch.endpoint.value);
  state.sent = now_;
  ++(state.tries++ == 0 ? result_.first_tries : result_.retries);
  EndpointState& endpoint = endpoints_[state.endpoint];
  const double factor = (0.5 + random_.Fraction()) * endpoint.slowdown;
  const auto mean = base::Duration(scenario_.service);
  attempts_[attempt] = {run, state.endpoint,
                        base::Duration(static_cast<int64_t>(
                            static_cast<double>(mean.count()) * factor)),
                        false};
  if (endpoint.mode == EndpointMode::kSilent)
    return;
  if (endpoint.mode == EndpointMode::kRefusing)
    FailLater(attempt);
  else if (endpoint.serving < scenario_.slots)
    Serve(attempt);
  else
    endpoint.waiting.push_back(attempt);
}

void PoolSimulation::Serve(uint64_t attempt) {
  AttemptState& state = attempts_.at(attempt);
  state.is_serving = true;
  ++endpoints_[state.endpoint].serving;
  Schedule(now_ + state.service, EventKind::kServed, state.run, attempt);
}

void PoolSimulation::FailLater(uint64_t attempt) {
  Schedule(now_ + kRefusal, EventKind::kServed, attempts_.at(attempt).run,
           attempt);
}

void PoolSimulation::EndService(uint64_t attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end())
    return;
  const AttemptState state = found->second;
  attempts_.erase(found);
  EndpointState& endpoint = endpoints_[state.endpoint];
  if (state.is_serving) {
    --endpoint.serving;
    while (!endpoint.waiting.empty() && endpoint.serving < scenario_.slots) {
      const uint64_t next = endpoint.waiting.front();
      endpoint.waiting.pop_front();
      if (attempts_.contains(next))
        Serve(next);
    }
  }
  const auto run = runs_.find(state.run);
  // The endpoint serves the request to its end although no run waits for it any
  // more.
  if (run == runs_.end() || run->second.attempt != attempt)
    return;
  if (endpoint.mode == EndpointMode::kSilent)
    return;
  if (endpoint.mode == EndpointMode::kRefusing) {
    HandleFailure(state.run);
    return;
  }
  run->second.spent += state.service;
  HandleAnswer(state.run);
}

void PoolSimulation::EndAttempt(uint64_t run, AttemptVerdict verdict) {
  RunState& state = runs_.at(run);
  AttemptReport report;
  report.run = base::RunId{run};
  report.endpoint = {std::to_string(state.endpoint)};
  report.verdict = verdict;
  report.latency = now_ - state.sent;
  hosts_[state.host].Finish(report, now_);
  state.attempt = 0;
}

void PoolSimulation::HandleAnswer(uint64_t run) {
  EndAttempt(run, AttemptVerdict::kSucceeded);
  RunState& state = runs_.at(run);
  const size_t host = state.host;
  state.tries = 0;
  state.avoided.clear();
  if (++state.stage < scenario_.stages)
    OfferStage(run);
  else
    EndRun(run, true);
  DispatchAll(host);
}

void PoolSimulation::HandleFailure(uint64_t run) {
  EndAttempt(run, AttemptVerdict::kUnreachable);
  RunState& state = runs_.at(run);
  const size_t host = state.host;
  state.avoided.push_back({std::to_string(state.endpoint)});
  if (state.tries < kMaxTries)
    OfferStage(run);
  else
    EndRun(run, false);
  DispatchAll(host);
}

void PoolSimulation::Expire(uint64_t run) {
  const auto found = runs_.find(run);
  if (found == runs_.end())
    return;
  RunState& state = found->second;
  const size_t host = state.host;
  if (state.attempt != 0) {
    // The endpoint finishes the requests that it has begun.
    const auto it = attempts_.find(state.attempt);
    if (it != attempts_.end() && it->second.is_serving)
      state.spent += now_ - state.sent;
    else
      attempts_.erase(state.attempt);
    EndAttempt(run, AttemptVerdict::kTimedOut);
  } else {
    hosts_[host].Withdraw(base::RunId{run});
  }
  EndRun(run, false);
  DispatchAll(host);
}

void PoolSimulation::EndRun(uint64_t run, bool is_in_time) {
  const RunState& state = runs_.at(run);
  if (TrafficResult* result = ResultOf(state); result != nullptr) {
    result->in_time += is_in_time ? 1 : 0;
    (is_in_time ? result->served : result->wasted) += state.spent;
  }
  runs_.erase(run);
}

void PoolSimulation::ShareLoads() {
  for (size_t from = 0; from < hosts_.size(); ++from) {
    for (size_t to = 0; to < hosts_.size(); ++to) {
      if (from != to)
        hosts_[to].NotePeerLoad({std::to_string(from)},
                                hosts_[from].Load().in_flight, now_);
    }
  }
  for (size_t i = 0; i < hosts_.size(); ++i)
    DispatchAll(i);
  Schedule(now_ + kShareEvery, EventKind::kShare, 0);
}

void PoolSimulation::Apply(const EndpointChange& change) {
  EndpointState& endpoint = endpoints_[change.endpoint];
  endpoint.slowdown = change.slowdown;
  endpoint.mode = change.mode;
}

}  // namespace bilberry::policy
