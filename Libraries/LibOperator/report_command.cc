#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>

#include "LibOperator/commands.h"
#include "LibOperator/host_flags.h"
#include "LibOperator/operator_client.h"
#include "LibReport/report_page.h"
#include "LibReport/report_tables.h"
#include "LibTransport/json_text.h"
#include "LibTransport/report_codec.h"

namespace bilberry::operators {

namespace {

constexpr const char* kPageTitle = "Service levels and error budgets";

struct MergedReport {
  report::ServiceReport report;
  // Error of the last host that failed to answer.
  ExitCode code = ExitCode::kDone;
};

MergedReport AskAll(const HostAddresses& hosts,
                    const std::string& token,
                    OperatorClient& session,
                    Console& console) {
  MergedReport merged;
  for (const auto& result : session.CallAll(hosts, "report", token)) {
    if (!result) {
      merged.code = ReportHostError(result.error(), console);
      continue;
    }
    const auto report = transport::DecodeReport(result.value());
    if (!report) {
      merged.code = ReportHostError(report.error(), console);
      continue;
    }
    merged.report.Merge(report.value());
  }
  return merged;
}

// Writes to a temporary file and renames it so that an incomplete page is never
// visible.
bool WriteWhole(const std::string& path, const std::string& text) {
  const std::string partial = path + ".partial";
  std::ofstream file(partial, std::ios::binary);
  file << text;
  file.close();
  if (file && std::rename(partial.c_str(), path.c_str()) == 0)
    return true;
  std::remove(partial.c_str());
  return false;
}

ExitCode Print(const report::ServiceReport& report,
               const cxxopts::ParseResult& flags,
               Console& console) {
  if (flags.count("html") > 0) {
    const std::string path = flags["html"].as<std::string>();
    if (!WriteWhole(path, report::PrintPage(report, kPageTitle)))
      return console.ReportError(ExitCode::kUnwritable,
                                 path + " can't be written; name another file");
  }
  if (flags.count("json") > 0) {
    console.out << transport::PrintCompact(transport::EncodeSummary(report))
                << "\n";
    return ExitCode::kDone;
  }
  console.out << report.hosts << " entry hosts, revision " << report.revision
              << "\n\n";
  for (const report::TextTable& table : report::TablesOf(report))
    console.out << report::PrintText(table) << "\n";
  return ExitCode::kDone;
}

}  // namespace

ExitCode RunReport(int argc, const char* const* argv, Console& console) {
  cxxopts::Options options(
      "bilberryctl report",
      "Prints deadlines met, burn rates, time and cost over all entry hosts.");
  AddHostFlags(options);
  options.add_options()("json", "One JSON object, not tables")(
      "html", "Also write a page with plots to this file",
      cxxopts::value<std::string>());
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
  const MergedReport merged =
      AskAll(std::get<HostAddresses>(hosts), flags["token"].as<std::string>(),
             *session.value(), console);
  if (merged.report.hosts == 0)
    return merged.code;
  const ExitCode printed = Print(merged.report, flags, console);
  return printed == ExitCode::kDone ? merged.code : printed;
}

}  // namespace bilberry::operators
