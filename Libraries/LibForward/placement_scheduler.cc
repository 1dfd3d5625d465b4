#include "LibForward/placement_scheduler.h"

#include <algorithm>

#include "LibBase/overloaded.h"
#include "LibForward/placement_policy.h"

namespace bilberry::forward {

namespace {

constexpr double kMeanWeight = 0.05;
// Bounds how long a host with a wrong deadline holds memory here.
constexpr std::chrono::minutes kMaxRunTime{60};

// The session's part is the last shared one.
std::string SessionOf(const std::vector<PrefixPart>& prefix) {
  return prefix.size() < 2 ? "" : prefix[prefix.size() - 2].id;
}

}  // namespace

void PlacementScheduler::SetEndpoints(
    std::span<const ListedEndpoint> endpoints) {
  std::map<base::EndpointName, EndpointLoad> present;
  for (const ListedEndpoint& listed : endpoints) {
    const auto known = loads_.find(listed.name);
    if (known == loads_.end() ||
        known->second.listed().incarnation != listed.incarnation) {
      present.emplace(listed.name, EndpointLoad(listed));
      continue;
    }
    // The node moves as a whole, so that pointers in `runs_` stay valid.
    const auto moved = present.insert(loads_.extract(known));
    if (moved.inserted)
      moved.position->second.SetListed(listed);
  }
  std::vector<PlacedRunId> gone;
  for (const auto& run : runs_) {
    const bool is_gone = std::ranges::any_of(loads_, [&run](const auto& it) {
      return &it.second == run.second.load;
    });
    if (is_gone)
      gone.push_back(run.first);
  }
  for (const PlacedRunId& id : gone)
    Forget(id);
  loads_ = std::move(present);
}

void PlacementScheduler::Forget(const PlacedRunId& id) {
  const auto it = runs_.find(id);
  deadlines_.erase({it->second.deadline, id});
  runs_.erase(it);
}

void PlacementScheduler::Withdraw(const PlacedRunId& id) {
  const auto it = runs_.find(id);
  if (it == runs_.end())
    return;
  it->second.load->Withdraw(id);
  Forget(id);
}

void PlacementScheduler::ForgetExpired(base::TimePoint now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    Withdraw(PlacedRunId(deadlines_.begin()->second));
}

void PlacementScheduler::Add(EndpointLoad& load,
                             const PlacementRun& run,
                             const PlacementPrompt& prompt,
                             base::TimePoint now) {
  const base::TimePoint deadline =
      now + std::clamp<base::Duration>(run.until_deadline, base::Duration(0),
                                       kMaxRunTime);
  const uint64_t before = load.tokens_to_prefill();
  load.Add(run, prompt, now);
  const auto tokens = static_cast<double>(load.tokens_to_prefill() - before);
  mean_tokens_ += kMeanWeight * (tokens - mean_tokens_);
  runs_[run.id] = {&load, deadline};
  deadlines_.emplace(deadline, run.id);
}

PlacementDecision PlacementScheduler::Place(
    const PlacementRequest& request,
    std::span<const base::EndpointName> candidates,
    base::TimePoint now) {
  ForgetExpired(now);
  const PlacementRun& run = request.run;
  // The same request may arrive twice.
  Withdraw(run.id);
  const PlacementPrompt prompt = ToPlacementPrompt(run.prefix);
  const base::TimePoint sent =
      now + std::max(run.until_sent, base::Duration(0));
  std::vector<EndpointLoad*> loads;
  std::vector<PlacementCandidate> evaluated;
  for (const base::EndpointName& name : candidates) {
    const auto it = loads_.find(name);
    if (it == loads_.end() ||
        std::ranges::find(request.avoided, name) != request.avoided.end())
      continue;
    loads.push_back(&it->second);
    evaluated.push_back(it->second.Evaluate(prompt, run.max_pause, sent, slots_,
                                            estimator_, now));
  }
  if (loads.empty())
    return NoPlacement{};
  const size_t best = PlacementPolicy::Choose(
      {run.until_sent, run.until_target, SessionOf(run.prefix)}, evaluated);
  EndpointLoad& load = *loads[best];
  Add(load, run, prompt, now);
  return Placed{load.listed().name, load.listed().incarnation,
                evaluated[best].first_event};
}

void PlacementScheduler::NoteHeld(const PlacedRunId& id,
                                  const RunHeld& held,
                                  base::TimePoint now) {
  const auto load = loads_.find(held.endpoint);
  if (load == loads_.end())
    return;
  const auto known = runs_.find(id);
  if (known == runs_.end() || known->second.load != &load->second) {
    Withdraw(id);
    PlacementRun run = held.run;
    run.id = id;
    Add(load->second, run, ToPlacementPrompt(run.prefix), now);
  }
  if (held.has_begun)
    load->second.BeginHeld(id, now);
}

void PlacementScheduler::Apply(const RunReport& report, base::TimePoint now) {
  ForgetExpired(now);
  const PlacedRunId& id = report.id;
  if (const auto* held = std::get_if<RunHeld>(&report.progress)) {
    NoteHeld(id, *held, now);
    return;
  }
  const auto it = runs_.find(id);
  if (it == runs_.end())
    return;
  EndpointLoad& load = *it->second.load;
  std::visit(base::Overloaded{
                 [&](const RunBegun& begun) {
                   load.Begin(id, begun.first_event, estimator_, now);
                 },
                 [&](const RunEnded& ended) {
                   load.End(id, ended.longest_pause, estimator_, now);
                   Forget(id);
                 },
                 [&](const RunMoved&) { Withdraw(id); }, [](const RunHeld&) {}},
             report.progress);
}

base::Duration PlacementScheduler::ExpectedWait(base::TimePoint now) const {
  std::optional<base::Duration> least;
  for (const auto& [name, load] : loads_) {
    if (load.listed().state != EndpointState::kServing)
      continue;
    const base::Duration wait =
        load.FirstEventOf(mean_tokens_, slots_, estimator_, now);
    least = std::min(least.value_or(wait), wait);
  }
  return least.value_or(base::Duration(0));
}

std::vector<EndpointPlacementStatus> PlacementScheduler::Status(
    base::TimePoint now) const {
  std::vector<EndpointPlacementStatus> status;
  for (const auto& [name, load] : loads_)
    status.push_back(
        {{},
         name,
         load.runs(),
         load.tokens_to_prefill(),
         load.PaceAt(estimator_, now),
         load.FirstEventOf(mean_tokens_, slots_, estimator_, now)});
  return status;
}

}  // namespace bilberry::forward
