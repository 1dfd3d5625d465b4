#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "LibBase/time.h"

namespace bilberry::load {

// Requests a second that the stand-in pool behind the pipeline "stock" can
// take, as Meta/experiment.sh starts it: 3 endpoints of 4 slots, 80 ms each.
inline constexpr double kStockCapacity = 150.0;

// Requests of one kind, arriving at random times.
struct Flow {
  std::string label;  // Flows of one label are counted together.
  std::string pipeline = "stock";
  std::string team;
  std::string rank;       // As asked for; empty for the pipeline's own.
  double capacities = 0;  // Rate as a multiple of kStockCapacity.
  // When it begins and ends, as fractions of the run.
  double from = 0;
  double to = 1;
  // Sent at even times, as by one caller that tries again and again.
  std::optional<base::Duration> period;
  std::string extra;  // JSON members put into the body.
};

// An order to a pool's stand-in.
struct Order {
  double at = 0;  // As a fraction of the run.
  std::string pool;
  std::string path;
  std::string body;
};

struct Experiment {
  std::string name;
  std::string target;
  std::vector<Flow> flows;
  std::vector<Order> orders;
};

// All experiments, in the order of the page of measurements.
const std::vector<Experiment>& Experiments();

// Null when there is none of that name.
const Experiment* FindExperiment(const std::string& name);

// One request, at a time after the run's beginning.
struct Arrival {
  base::Duration time{};
  size_t flow = 0;
};

// When each request of the experiment is sent, in order of time; the same seed
// gives the same times.
std::vector<Arrival> ScheduleOf(const Experiment& experiment,
                                base::Duration length,
                                uint64_t seed);

}  // namespace bilberry::load
