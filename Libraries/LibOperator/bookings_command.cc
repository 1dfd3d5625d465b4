#include <algorithm>
#include <cxxopts.hpp>

#include "LibOperator/booking_table.h"
#include "LibOperator/commands.h"
#include "LibOperator/operator_client.h"

namespace bilberry::operators {

namespace {

constexpr uint32_t kMaxRows = 1'000'000;
constexpr const char* kPlatformUnreachable =
    "the platform does not answer; try again later";

template <typename T>
const T* AnswerOf(const transport::PlatformClient::Outcome& outcome) {
  const auto* answer = std::get_if<base::PlatformAnswer>(&outcome);
  return answer == nullptr ? nullptr : std::get_if<T>(answer);
}

ExitCode PrintBookings(const base::SocketAddress& platform, Console& console) {
  auto session = OperatorClient::Create();
  if (!session)
    return console.ReportError(ExitCode::kUnreachable, ToText(session.error()));
  const auto listed = session.value()->Ask(
      platform, base::ListRows{std::string(kBookingPrefix), kMaxRows});
  const auto* rows = AnswerOf<base::RowsListed>(listed);
  const auto polled = session.value()->Ask(platform, base::PollHosts{});
  const auto* hosts = AnswerOf<base::HostsPolled>(polled);
  if (rows == nullptr || hosts == nullptr)
    return console.ReportError(ExitCode::kUnreachable, kPlatformUnreachable);
  const OpenBookings open = FindOpenBookings(rows->rows, hosts->changed);
  console.out << report::PrintText(open.table);
  if (open.malformed_keys.empty())
    return ExitCode::kDone;
  for (const std::string& key : open.malformed_keys)
    console.ReportError(
        ExitCode::kMalformed,
        "row " + key + " is not a valid booking record; inspect it");
  return ExitCode::kMalformed;
}

}  // namespace

ExitCode RunBookings(int argc, const char* const* argv, Console& console) {
  cxxopts::Options options(
      "bilberryctl bookings",
      "Prints the bookings that are claimed and without an outcome. Those "
      "whose claimer is gone stay so until an operator has asked the "
      "endpoint's own books.");
  options.add_options()("platform", "IP:PORT of the platform",
                        cxxopts::value<std::string>())("help", "Print this");
  const auto flags = options.parse(argc, argv);
  if (flags.count("help") > 0) {
    console.out << options.help();
    return ExitCode::kDone;
  }
  if (flags.count("platform") == 0)
    return console.ReportError(ExitCode::kUsage, "--platform is missing");
  const auto platform =
      AddressOf("platform", flags["platform"].as<std::string>(), console);
  return platform ? PrintBookings(*platform, console) : ExitCode::kUsage;
}

}  // namespace bilberry::operators
