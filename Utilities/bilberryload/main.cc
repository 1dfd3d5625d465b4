// The load and experiment tool.

#include <cxxopts.hpp>
#include <iostream>

#include "LibTransport/json_text.h"
#include "LibTransport/program.h"
#include "emulate_command.h"
#include "experiment_command.h"
#include "load_generator.h"
#include "report_error.h"

namespace {

using bilberry::load::LoadGenerator;
using bilberry::load::LoadPlan;
using bilberry::load::LoadResult;

constexpr uint64_t kMaxRequests = 10'000'000;
constexpr uint32_t kMaxCallers = 10'000;

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "bilberryload",
      "Sends requests and prints their outcomes as JSON.\n"
      "Exit codes: 0 all were answered, 1 some were not, 2 bad flags.");
  auto add = options.add_options();
  add("target", "IP:PORT of each entry host, used round-robin",
      cxxopts::value<std::vector<std::string>>());
  add("pipeline", "The pipeline to ask for", cxxopts::value<std::string>());
  add("path", "Instead of a pipeline: a path, such as an endpoint's",
      cxxopts::value<std::string>());
  add("team", "The team that the requests name",
      cxxopts::value<std::string>()->default_value(""));
  add("body", "The body", cxxopts::value<std::string>()->default_value("{}"));
  add("requests", "How many requests",
      cxxopts::value<uint64_t>()->default_value("1000"));
  add("callers", "Number of concurrent callers",
      cxxopts::value<uint32_t>()->default_value("1"));
  bilberry::load::AddExperimentFlags(options);
  bilberry::load::AddEmulationFlags(options);
  return options;
}

bool FillPlan(const cxxopts::ParseResult& flags, LoadPlan& plan) {
  if (flags.count("target") == 0 ||
      flags.count("pipeline") + flags.count("path") != 1) {
    std::cerr << "bilberryload: --target and one of --pipeline and --path are "
                 "needed\n";
    return false;
  }
  for (const auto& text : flags["target"].as<std::vector<std::string>>()) {
    const auto address = bilberry::base::ParseSocketAddress(text);
    if (!address) {
      std::cerr << "bilberryload: --target must be IP:PORT\n";
      return false;
    }
    plan.targets.push_back(*address);
  }
  plan.path = flags.count("path") > 0
                  ? flags["path"].as<std::string>()
                  : "/v1/pipelines/" + flags["pipeline"].as<std::string>();
  plan.headers = {
      {bilberry::transport::kTeamHeader, flags["team"].as<std::string>()},
      {bilberry::transport::kAttemptIdHeader, "load"}};
  plan.body = flags["body"].as<std::string>();
  plan.requests = flags["requests"].as<uint64_t>();
  plan.callers = flags["callers"].as<uint32_t>();
  if (plan.requests == 0 || plan.requests > kMaxRequests || plan.callers == 0 ||
      plan.callers > kMaxCallers) {
    std::cerr << "bilberryload: --requests must be from 1 to 10000000 and "
                 "--callers from 1 to 10000\n";
    return false;
  }
  return true;
}

void Print(const LoadResult& result) {
  Json::Value out;
  const double seconds = std::chrono::duration<double>(result.elapsed).count();
  out["elapsed_s"] = seconds;
  out["answered_per_s"] = static_cast<double>(result.latency.count()) / seconds;
  for (const auto& [name, fraction] :
       {std::pair{"p50_us", 0.50}, std::pair{"p95_us", 0.95},
        std::pair{"p99_us", 0.99}})
    out[name] =
        static_cast<Json::Int64>(result.latency.Quantile(fraction).count());
  for (const auto& [status, count] : result.statuses)
    out["statuses"][std::to_string(status)] = static_cast<Json::UInt64>(count);
  std::cout << bilberry::transport::PrintCompact(out) << "\n";
}

int RunCommand(const cxxopts::ParseResult& flags) {
  const auto command = flags["command"].as<std::string>();
  if (command == "experiment")
    return bilberry::load::RunExperiment(flags);
  if (command == "emulate")
    return bilberry::load::RunEmulation(flags);
  return bilberry::load::ReportError("there is no command \"" + command + "\"");
}

int Run(const cxxopts::ParseResult& flags) {
  if (flags.count("command") > 0)
    return RunCommand(flags);
  LoadPlan plan;
  if (!FillPlan(flags, plan))
    return bilberry::transport::kExitUsage;
  const uint64_t wanted = plan.requests;
  bilberry::transport::Reactor reactor;
  auto http = bilberry::transport::HttpClient::Create(reactor);
  if (!http) {
    std::cerr << "bilberryload: " << ToText(http.error()) << "\n";
    return 1;
  }
  const LoadResult result =
      LoadGenerator(reactor, *http.value(), std::move(plan)).Run();
  Print(result);
  return result.latency.count() == wanted ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  return bilberry::transport::RunProgram(argc, argv, MakeOptions(), Run);
}
