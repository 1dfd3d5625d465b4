#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "LibBase/time.h"

namespace bilberry::load {

// Requests per second that the stand-in pool of the pipeline "stock" can serve
// as Meta/experiment.sh starts it: 3 endpoints with 4 slots and 80 ms per
// request.
inline constexpr double kStockCapacity = 150.0;

// Requests of one kind, arriving at random times.
struct Flow {
  std::string label;  // Flows of one label are counted together.
  std::string pipeline = "stock";
  std::string team;
  std::string rank;       // Requested rank; empty for the pipeline's own.
  double capacities = 0;  // Rate as a multiple of kStockCapacity.
  // Begin and end as fractions of the run.
  double from = 0;
  double to = 1;
  // Sends at this interval, like a single caller that keeps retrying.
  std::optional<base::Duration> period;
  std::string extra;  // JSON members added to the body.
};

// A control request to a pool's stand-in.
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

// All experiments in the order in which the page of measurements lists them.
const std::vector<Experiment>& Experiments();

// Null if no experiment has this name.
const Experiment* FindExperiment(const std::string& name);

// The send time of one request, relative to the start of the run.
struct Arrival {
  base::Duration time{};
  size_t flow = 0;
};

// The send times of all requests in order of time; the same seed gives the same
// times.
std::vector<Arrival> ScheduleOf(const Experiment& experiment,
                                base::Duration length,
                                uint64_t seed);

}  // namespace bilberry::load
