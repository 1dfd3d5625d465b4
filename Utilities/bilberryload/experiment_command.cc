#include "experiment_command.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "LibTransport/json_text.h"
#include "experiment_plan.h"
#include "experiment_report.h"
#include "experiment_run.h"
#include "report_error.h"

namespace bilberry::load {

namespace {

using Texts = std::vector<std::string>;

constexpr uint32_t kMaxSeconds = 600;
constexpr int kExitFailure = 1;

int List() {
  for (const Experiment& experiment : Experiments())
    std::cout << experiment.name << ": " << experiment.target << "\n";
  return 0;
}

// Returns false if an address can't be parsed.
bool FillSite(const cxxopts::ParseResult& flags, ExperimentSite& site) {
  for (const std::string& text : flags["target"].as<Texts>()) {
    const auto address = base::ParseSocketAddress(text);
    if (!address)
      return false;
    site.hosts.push_back(*address);
  }
  for (const std::string& text : flags["pool"].as<Texts>()) {
    const size_t equals = text.find('=');
    if (equals == std::string::npos)
      return false;
    const auto address = base::ParseSocketAddress(text.substr(equals + 1));
    if (!address)
      return false;
    site.pools[text.substr(0, equals)] = *address;
  }
  return true;
}

bool HasPoolsOf(const Experiment& experiment, const ExperimentSite& site) {
  for (const Order& order : experiment.orders) {
    if (!site.pools.contains(order.pool))
      return false;
  }
  return true;
}

std::optional<Json::Value> ReadResult(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return transport::ParseJsonValue(text.str());
}

int Compare(const Experiment& experiment, const Texts& paths) {
  if (paths.size() != 2)
    return ReportError("--compare needs BASELINE.json,PRESENT.json");
  const auto baseline = ReadResult(paths[0]);
  const auto present = ReadResult(paths[1]);
  if (!baseline || !present)
    return ReportError("--compare: a result can't be read");
  PrintComparison(std::cout, experiment, *baseline, *present);
  Json::Value both;
  both["experiment"] = experiment.name;
  both["target"] = experiment.target;
  both["baseline"] = *baseline;
  both["present"] = *present;
  std::cout << transport::PrintCompact(both) << "\n";
  return 0;
}

int Measure(const Experiment& experiment, const cxxopts::ParseResult& flags) {
  ExperimentSite site;
  if (flags.count("target") == 0 || flags.count("pool") == 0 ||
      !FillSite(flags, site))
    return ReportError("--target IP:PORT and --pool NAME=IP:PORT are needed");
  if (!HasPoolsOf(experiment, site))
    return ReportError("--pool is missing for a pool that gets orders");
  const uint32_t seconds = flags["seconds"].as<uint32_t>();
  if (seconds == 0 || seconds > kMaxSeconds)
    return ReportError("--seconds must be from 1 to 600");
  transport::Reactor reactor;
  auto http = transport::HttpClient::Create(reactor);
  if (!http) {
    std::cerr << "bilberryload: " << ToText(http.error()) << "\n";
    return kExitFailure;
  }
  ExperimentRun run(reactor, *http.value(), experiment, std::move(site));
  const ExperimentResult result =
      run.Run(std::chrono::seconds(seconds), flags["seed"].as<uint64_t>());
  std::cout << transport::PrintCompact(EncodeResult(result)) << "\n";
  return 0;
}

}  // namespace

void AddExperimentFlags(cxxopts::Options& options) {
  auto add = options.add_options("experiment");
  add("command", "\"experiment\" or \"emulate\"",
      cxxopts::value<std::string>());
  add("name", "The experiment or the emulated scenario, or \"list\"",
      cxxopts::value<std::string>());
  add("pool", "NAME=IP:PORT of each pool's control port",
      cxxopts::value<Texts>());
  add("seconds", "How long requests are sent",
      cxxopts::value<uint32_t>()->default_value("30"));
  add("seed", "Seed of the arrival times",
      cxxopts::value<uint64_t>()->default_value("1"));
  add("compare", "BASELINE.json,PRESENT.json: print two results",
      cxxopts::value<Texts>());
  options.parse_positional({"command", "name"});
  options.positional_help("[experiment|emulate NAME|list]");
}

int RunExperiment(const cxxopts::ParseResult& flags) {
  if (flags.count("name") == 0)
    return ReportError("usage: experiment NAME, or experiment list");
  const std::string name = flags["name"].as<std::string>();
  if (name == "list")
    return List();
  const Experiment* experiment = FindExperiment(name);
  if (experiment == nullptr)
    return ReportError("there is no experiment \"" + name + "\"");
  if (flags.count("compare") > 0)
    return Compare(*experiment, flags["compare"].as<Texts>());
  return Measure(*experiment, flags);
}

}  // namespace bilberry::load
