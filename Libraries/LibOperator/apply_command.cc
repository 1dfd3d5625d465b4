#include <cxxopts.hpp>
#include <random>
#include <sstream>
#include <utility>

#include "LibBase/overloaded.h"
#include "LibDeclare/configuration_difference.h"
#include "LibDeclare/configuration_parser.h"
#include "LibMembership/configuration_change.h"
#include "LibOperator/commands.h"
#include "LibOperator/operator_client.h"

namespace bilberry::operators {

namespace {

using membership::ConfigurationHead;
using Outcome = transport::PlatformClient::Outcome;

std::string DrawChangeId() {
  std::random_device device;
  std::ostringstream text;
  text << std::hex << device() << device() << device();
  return text.str();
}

std::string RevisionText(base::Revision revision) {
  return "revision " + std::to_string(static_cast<uint64_t>(revision));
}

ExitCode ReportOutcome(const membership::ChangeOutcome& outcome,
                       Console& console) {
  return std::visit(
      base::Overloaded{
          [&](const membership::ChangeAccepted& it) {
            console.out << RevisionText(it.revision) << " is accepted\n";
            return ExitCode::kDone;
          },
          [&](const membership::ChangeConflicted& it) {
            return console.ReportError(
                ExitCode::kConflict,
                "another change came first: " + RevisionText(it.in_force) +
                    " is in force; nothing was changed");
          },
          [&](const membership::ChangeOutdated& it) {
            return console.ReportError(
                ExitCode::kConflict, RevisionText(it.in_force) +
                                         " is in force, not the expected one; "
                                         "nothing was changed");
          },
          [&](const membership::ChangeNotApplied& it) {
            return console.ReportError(ExitCode::kUnreachable,
                                       it.reason + "; nothing was changed");
          },
          [&](const membership::ChangeUndecided& it) {
            return console.ReportError(
                ExitCode::kUnreachable,
                "change " + it.change +
                    " may have been accepted, or may yet be: look with status");
          },
      },
      outcome);
}

template <typename T>
const T* AnswerOf(const Outcome& outcome) {
  const auto* answer = std::get_if<base::PlatformAnswer>(&outcome);
  return answer == nullptr ? nullptr : std::get_if<T>(answer);
}

// The configuration head in force, with revision 0 if none exists; nullopt if
// it can't be read.
std::optional<ConfigurationHead> ReadHead(OperatorClient& session,
                                          const base::SocketAddress& platform) {
  const Outcome outcome = session.Ask(
      platform, base::ReadRow{std::string(membership::kConfigurationHeadKey)});
  const auto* read = AnswerOf<base::RowRead>(outcome);
  if (read == nullptr)
    return std::nullopt;
  // "Not modified" for the absent version means that no row exists.
  if (!read->row || read->row->version == base::RowVersion::kAbsent)
    return ConfigurationHead{};
  auto head = membership::ParseHead(read->row->value);
  if (!head)
    return std::nullopt;
  return std::move(head.value());
}

// The configuration that the head names; nullopt if it can't be fetched or
// parsed.
std::optional<declare::Configuration> FetchConfiguration(
    OperatorClient& session,
    const base::SocketAddress& platform,
    const ConfigurationHead& head) {
  if (head.revision == base::Revision{})
    return declare::Configuration();
  const Outcome outcome = session.Ask(platform, base::FetchObject{head.object});
  const auto* fetched = AnswerOf<base::ObjectFetched>(outcome);
  if (fetched == nullptr || !fetched->content)
    return std::nullopt;
  auto parsed = declare::ParseConfiguration(*fetched->content);
  if (!parsed.faults.empty())
    return std::nullopt;
  return std::move(parsed.configuration);
}

// Prints the differences to the configuration that the change was made from.
// Prints nothing if another revision is in force, because the change itself
// then reports the conflict.
ExitCode PrintDifferences(OperatorClient& session,
                          const base::SocketAddress& platform,
                          base::Revision expected,
                          const declare::Configuration& next,
                          Console& console) {
  const auto head = ReadHead(session, platform);
  if (head && head->revision != expected)
    return ExitCode::kDone;
  const auto present =
      head ? FetchConfiguration(session, platform, *head) : std::nullopt;
  if (!present)
    return console.ReportError(ExitCode::kUnreachable,
                               "the configuration in force can't be read, so "
                               "that nothing was changed; apply without "
                               "--expect-revision to replace it unseen");
  const auto differences = declare::Compare(*present, next);
  console.out << differences.size() << " fields differ from "
              << RevisionText(expected) << "\n";
  for (const declare::Difference& difference : differences)
    console.out << "  " << ToText(difference) << "\n";
  return ExitCode::kDone;
}

ExitCode Apply(const ValidConfiguration& valid,
               const base::SocketAddress& platform,
               std::optional<base::Revision> expected,
               Console& console) {
  auto session = OperatorClient::Create();
  if (!session)
    return console.ReportError(ExitCode::kUnreachable, ToText(session.error()));
  if (expected) {
    const ExitCode code = PrintDifferences(
        *session.value(), platform, *expected, valid.configuration, console);
    if (code != ExitCode::kDone)
      return code;
  }
  membership::ConfigurationChange change(valid.document, DrawChangeId(),
                                         expected);
  while (auto request = change.NextRequest())
    change.HandleReply(session.value()->Ask(platform, std::move(*request)));
  return ReportOutcome(*change.outcome(), console);
}

}  // namespace

ExitCode RunApply(int argc, const char* const* argv, Console& console) {
  cxxopts::Options options("bilberryctl apply",
                           "Puts a configuration in force everywhere.");
  options.add_options()("file", "The configuration",
                        cxxopts::value<std::string>())(
      "platform", "IP:PORT of the platform", cxxopts::value<std::string>())(
      "expect-revision",
      "The revision that this change was made from; prints what differs first",
      cxxopts::value<uint64_t>())("help", "Print this");
  const auto flags = options.parse(argc, argv);
  if (flags.count("help") > 0) {
    console.out << options.help();
    return ExitCode::kDone;
  }
  if (flags.count("file") == 0 || flags.count("platform") == 0)
    return console.ReportError(ExitCode::kUsage,
                               "--file and --platform are needed");
  const auto platform =
      AddressOf("platform", flags["platform"].as<std::string>(), console);
  if (!platform)
    return ExitCode::kUsage;
  const auto read =
      ReadValidConfiguration(flags["file"].as<std::string>(), console);
  if (const auto* code = std::get_if<ExitCode>(&read))
    return *code;
  std::optional<base::Revision> expected;
  if (flags.count("expect-revision") > 0)
    expected = base::Revision{flags["expect-revision"].as<uint64_t>()};
  return Apply(std::get<ValidConfiguration>(read), *platform, expected,
               console);
}

}  // namespace bilberry::operators
