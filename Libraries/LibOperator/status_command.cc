#include <cxxopts.hpp>

#include "LibOperator/commands.h"
#include "LibOperator/host_flags.h"
#include "LibOperator/operator_client.h"
#include "LibOperator/status_table.h"
#include "LibTransport/json_text.h"
#include "LibTransport/status_codec.h"

namespace bilberry::operators {

namespace {

void PrintJson(const std::vector<HostAnswer>& answers, Console& console) {
  for (const HostAnswer& answer : answers) {
    Json::Value value;
    if (answer.status)
      value = transport::EncodeStatus(answer.status.value());
    else
      value["error"] = ToText(answer.status.error());
    value["address"] = base::ToText(answer.address);
    console.out << transport::PrintCompact(value) << "\n";
  }
}

void PrintTables(const std::vector<HostAnswer>& answers, Console& console) {
  for (const report::TextTable& table : TablesOf(answers))
    console.out << report::PrintText(table) << "\n";
}

std::vector<HostAnswer> AskAll(const HostAddresses& hosts,
                               const std::string& token,
                               OperatorClient& session) {
  const auto results = session.CallAll(hosts, "status", token);
  std::vector<HostAnswer> answers;
  for (size_t i = 0; i < hosts.size(); ++i) {
    if (results[i])
      answers.push_back(
          {hosts[i], transport::DecodeStatus(results[i].value())});
    else
      answers.push_back({hosts[i], results[i].error()});
  }
  return answers;
}

}  // namespace

ExitCode RunStatus(int argc, const char* const* argv, Console& console) {
  cxxopts::Options options("bilberryctl status",
                           "Prints the status of entry hosts.");
  AddHostFlags(options);
  options.add_options()("json", "One JSON object a line, not tables");
  const auto flags = options.parse(argc, argv);
  if (flags.count("help") > 0) {
    console.out << options.help();
    return ExitCode::kDone;
  }
  auto session = OperatorClient::Create();
  if (!session)
    return ReportHostError(session.error(), console);
  const auto hosts = HostsOf(flags, *session.value(), console);
  if (const auto* code = std::get_if<ExitCode>(&hosts))
    return *code;
  const auto answers =
      AskAll(std::get<HostAddresses>(hosts), flags["token"].as<std::string>(),
             *session.value());
  if (flags.count("json") > 0)
    PrintJson(answers, console);
  else
    PrintTables(answers, console);
  ExitCode code = ExitCode::kDone;
  for (const HostAnswer& answer : answers) {
    if (!answer.status)
      code = ReportHostError(answer.status.error(), console);
  }
  return code;
}

}  // namespace bilberry::operators
