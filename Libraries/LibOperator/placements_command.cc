#include <cxxopts.hpp>
#include <string>
#include <variant>
#include <vector>

#include "LibOperator/commands.h"
#include "LibOperator/host_flags.h"
#include "LibOperator/operator_client.h"
#include "LibOperator/placement_table.h"

namespace bilberry::operators {

namespace {

constexpr int kOk = 200;

ExitCode ReportHost(const base::SocketAddress& host,
                    ExitCode code,
                    const std::string& reason,
                    Console& console) {
  return console.ReportError(code, base::ToText(host) + ": " + reason);
}

// Adds one host's page, or prints why there is none.
ExitCode AddAnswer(const base::SocketAddress& host,
                   const transport::HttpOutcome& outcome,
                   PlacementTable& placements,
                   Console& console) {
  if (const auto* failure = std::get_if<transport::HttpFailure>(&outcome))
    return ReportHost(host, ExitCode::kUnreachable, failure->detail, console);
  const auto& response = std::get<transport::HttpResponse>(outcome);
  if (response.status != kOk)
    return ReportHost(host, ExitCode::kMalformed,
                      "answered " + std::to_string(response.status), console);
  placements.AddPage(base::ToText(host), response.body);
  return ExitCode::kDone;
}

}  // namespace

ExitCode RunPlacements(int argc, const char* const* argv, Console& console) {
  cxxopts::Options options(
      "bilberryctl placements",
      "Prints how loaded the placement owners see the endpoints.");
  options.add_options()("hosts", "IP:PORT of each host's port for peers",
                        cxxopts::value<std::vector<std::string>>())(
      "help", "Print this");
  const auto flags = options.parse(argc, argv);
  if (flags.count("help") > 0) {
    console.out << options.help();
    return ExitCode::kDone;
  }
  if (flags.count("hosts") == 0)
    return console.ReportError(ExitCode::kUsage, "--hosts is missing");
  const auto named = NamedHosts(flags, console);
  if (const auto* code = std::get_if<ExitCode>(&named))
    return *code;
  auto session = OperatorClient::Create();
  if (!session)
    return ReportHostError(session.error(), console);
  const auto& hosts = std::get<HostAddresses>(named);
  const auto outcomes = session.value()->FetchAll(hosts, "/metrics");
  PlacementTable placements;
  ExitCode code = ExitCode::kDone;
  for (size_t i = 0; i < hosts.size(); ++i) {
    const ExitCode added =
        AddAnswer(hosts[i], outcomes[i], placements, console);
    if (added != ExitCode::kDone)
      code = added;
  }
  if (placements.is_empty())
    console.out << "none of these hosts places requests\n";
  else
    console.out << report::PrintText(placements.ToTable()) << "\n";
  return code;
}

}  // namespace bilberry::operators
