#include "experiment_plan.h"

#include <algorithm>
#include <cmath>

#include "LibBase/random.h"

namespace bilberry::load {

namespace {

constexpr const char* kUrgent = "urgent";
constexpr const char* kOrdinary = "ordinary";
constexpr const char* kBackground = "background";

constexpr const char* kLargeTeams[] = {"hotel-dolomiti", "grand-eventi"};
constexpr const char* kSmallTeams[] = {"parrocchia-san-floriano",
                                       "pro-loco-paluzza", "malga-nuova"};
constexpr size_t kTeamCount = 5;

// A phase of the run with its own load.
struct Part {
  const char* label;
  double capacities;
  double from;
  double to;
};

void AddTeams(std::vector<Flow>& flows, const Flow& model) {
  const auto add = [&](const char* team) {
    Flow flow = model;
    flow.team = team;
    flow.capacities = model.capacities / kTeamCount;
    flows.push_back(flow);
  };
  std::ranges::for_each(kLargeTeams, add);
  std::ranges::for_each(kSmallTeams, add);
}

// Load of one rank, shared evenly among the teams.
Flow Ranked(const char* rank, double capacities) {
  Flow flow;
  flow.label = rank;
  flow.rank = rank;
  flow.capacities = capacities;
  return flow;
}

std::vector<Flow> Mixed(double urgent, double ordinary, double background) {
  std::vector<Flow> flows;
  AddTeams(flows, Ranked(kUrgent, urgent));
  AddTeams(flows, Ranked(kOrdinary, ordinary));
  AddTeams(flows, Ranked(kBackground, background));
  return flows;
}

std::vector<Flow> Steady() {
  return Mixed(0.28, 0.28, 0.14);
}

// Pipelines of other pools, whose service levels must not change.
void AddOthers(std::vector<Flow>& flows) {
  for (const char* pipeline : {"events", "dispatch"}) {
    Flow flow;
    flow.label = pipeline;
    flow.pipeline = pipeline;
    flow.capacities = 0.2;
    AddTeams(flows, flow);
  }
}

Experiment Overload() {
  Experiment overload{
      "overload", "goodput at 5 times at least 90% of goodput at 1", {}, {}};
  for (const Part& part :
       {Part{"1 times", 1.0, 0.0, 0.5}, Part{"5 times", 5.0, 0.5, 1.0}}) {
    Flow flow = Ranked(kOrdinary, part.capacities);
    flow.label = part.label;
    flow.from = part.from;
    flow.to = part.to;
    AddTeams(overload.flows, flow);
  }
  return overload;
}

Experiment LargeTeams() {
  Experiment teams{
      "large-teams", "small teams within 1 point of being alone", {}, {}};
  // The fair share of each of five teams at 0.7 of the capacity.
  constexpr double kShare = 0.14;
  constexpr double kTimes = 10;
  for (const char* team : kSmallTeams) {
    for (const Part& part : {Part{"small alone", kShare, 0.0, 0.4},
                             Part{"small", kShare, 0.4, 1.0}}) {
      Flow flow = Ranked(kOrdinary, part.capacities);
      flow.label = part.label;
      flow.team = team;
      flow.from = part.from;
      flow.to = part.to;
      teams.flows.push_back(flow);
    }
  }
  for (const char* team : kLargeTeams) {
    Flow flow = Ranked(kOrdinary, kShare * kTimes);
    flow.label = "large";
    flow.team = team;
    flow.from = 0.4;
    teams.flows.push_back(flow);
  }
  return teams;
}

Experiment PoolFailing() {
  Experiment failing{"pool-failing",
                     "amplification at most 1.1; other pipelines within 1 "
                     "point of steady",
                     Steady(),
                     {{0.3, "banco", "/faults/all", R"({"kind":"down"})"}}};
  AddOthers(failing.flows);
  return failing;
}

Experiment CrashRequest() {
  Experiment crash{
      "crash-request", "at most 3 endpoints lost to it in all", Steady(), {}};
  Flow flow = Ranked(kUrgent, 0);
  flow.label = "crashing";
  flow.team = kSmallTeams[0];
  flow.period = std::chrono::seconds(1);
  flow.extra = R"("crash":true)";
  crash.flows.push_back(flow);
  return crash;
}

Experiment SilentConnections() {
  Experiment silent{"silent-connections",
                    "no booking doubled; urgent at least 99% outside the "
                    "first 2 s",
                    Steady(),
                    {{0.4, "banco", "/forget/all", ""}}};
  Flow flow;
  flow.label = "booking";
  flow.pipeline = "booking";
  flow.capacities = 0.1;
  AddTeams(silent.flows, flow);
  return silent;
}

std::vector<Experiment> MakeExperiments() {
  std::vector<Experiment> all{
      {"steady",
       "at 0.7 of capacity, at least 99.5% of urgent and 99% of all in time",
       Steady(),
       {}},
      {"background-flood",
       "urgent at least 99%; ordinary within 2 points of steady",
       Mixed(0.28, 0.28, 5.0),
       {}},
      {"urgent-flood",
       "ordinary and background each keep 90% of their declared minimum "
       "share; urgent goodput at least 90% of what capacity allows",
       Mixed(5.0, 0.28, 0.14),
       {}},
      Overload(),
      LargeTeams(),
      {"slow-endpoint",
       "urgent at least 99% outside the first 3 s; calls at most 1.1 times "
       "the first tries",
       Steady(),
       {{0.3, "banco", "/slow/banco-1", "10"},
        {0.6, "banco", "/die/banco-1", ""}}},
      PoolFailing(),
      CrashRequest(),
      SilentConnections(),
      {"slow-stage",
       "stage time spent on runs that then miss at most 5% of all",
       Steady(),
       {{0.4, "banco", "/slow/all", "2"}}},
  };
  return all;
}

base::Duration PartOf(base::Duration length, double fraction) {
  return base::Duration(static_cast<base::Duration::rep>(
      static_cast<double>(length.count()) * fraction));
}

// The time to the next arrival of a Poisson process.
base::Duration GapOf(const Flow& flow, base::Random& random) {
  if (flow.period)
    return *flow.period;
  const double seconds =
      -std::log(1.0 - random.Fraction()) / (flow.capacities * kStockCapacity);
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

const std::vector<Experiment>& Experiments() {
  static const std::vector<Experiment> all = MakeExperiments();
  return all;
}

const Experiment* FindExperiment(const std::string& name) {
  const auto it = std::ranges::find(Experiments(), name, &Experiment::name);
  return it == Experiments().end() ? nullptr : &*it;
}

std::vector<Arrival> ScheduleOf(const Experiment& experiment,
                                base::Duration length,
                                uint64_t seed) {
  std::vector<Arrival> arrivals;
  base::Random random(seed);
  for (size_t i = 0; i < experiment.flows.size(); ++i) {
    const Flow& flow = experiment.flows[i];
    const base::Duration end = PartOf(length, flow.to);
    base::Duration time = PartOf(length, flow.from) + GapOf(flow, random);
    for (; time < end; time += GapOf(flow, random))
      arrivals.push_back({time, i});
  }
  std::ranges::stable_sort(arrivals, {}, &Arrival::time);
  return arrivals;
}

}  // namespace bilberry::load
