#include <cxxopts.hpp>
#include <random>
#include <sstream>

#include "LibDeclare/configuration_difference.h"
#include "LibDeclare/configuration_parser.h"
#include "LibMembership/configuration_head.h"
#include "LibOperator/commands.h"
#include "LibOperator/session.h"

namespace bilberry::operators {

namespace {

using membership::ConfigurationHead;
using Outcome = transport::PlatformClient::Outcome;

constexpr int kWriteTries = 5;

struct Head {
  ConfigurationHead head;
  base::RowVersion version = base::RowVersion::kAbsent;
};

std::string DrawChangeId() {
  std::random_device device;
  std::ostringstream text;
  text << std::hex << device() << device() << device();
  return text.str();
}

std::optional<Head> ReadHead(Session& session,
                             const base::SocketAddress& platform) {
  const Outcome outcome = session.Ask(
      platform, base::ReadRow{std::string(membership::kConfigurationHeadKey)});
  const auto* answer = std::get_if<base::PlatformAnswer>(&outcome);
  const auto* read =
      answer == nullptr ? nullptr : std::get_if<base::RowRead>(answer);
  if (read == nullptr)
    return std::nullopt;
  // Not modified since "absent" means that there is no row.
  if (!read->row || read->row->version == base::RowVersion::kAbsent)
    return Head{};
  auto head = membership::ParseHead(read->row->value);
  if (!head)
    return std::nullopt;
  return Head{std::move(head.value()), read->row->version};
}

std::string RevisionText(base::Revision revision) {
  return std::to_string(static_cast<uint64_t>(revision));
}

// Moves the head. A lost answer is settled by trying again: if the first try
// took effect, the row carries this change's id.
ExitCode MoveHead(Session& session,
                  const base::SocketAddress& platform,
                  const Head& seen,
                  const ConfigurationHead& next,
                  Console& console) {
  base::WriteRows write;
  write.writes.push_back({std::string(membership::kConfigurationHeadKey),
                          seen.version, membership::PrintHead(next)});
  for (int i = 0; i < kWriteTries; ++i) {
    const Outcome outcome = session.Ask(platform, write);
    const auto* answer = std::get_if<base::PlatformAnswer>(&outcome);
    const auto* written =
        answer == nullptr ? nullptr : std::get_if<base::RowsWritten>(answer);
    if (written == nullptr)
      continue;
    const base::TableWriteResult& result = written->results.front();
    const auto present = membership::ParseHead(result.row.value);
    if (result.was_applied || (present && present.value() == next)) {
      console.out << "revision " << RevisionText(next.revision)
                  << " is accepted\n";
      return ExitCode::kDone;
    }
    return console.Complain(ExitCode::kConflict,
                            "another change came first; nothing was changed");
  }
  return console.Complain(ExitCode::kUnreachable,
                          "the platform does not answer; change " +
                              next.change +
                              " may yet be accepted: look with status");
}

// The configuration in force, or nothing when it can't be had or read.
std::optional<declare::Configuration> FetchConfiguration(
    Session& session,
    const base::SocketAddress& platform,
    const ConfigurationHead& head) {
  const Outcome outcome = session.Ask(platform, base::FetchObject{head.object});
  const auto* answer = std::get_if<base::PlatformAnswer>(&outcome);
  const auto* fetched =
      answer == nullptr ? nullptr : std::get_if<base::ObjectFetched>(answer);
  if (fetched == nullptr || !fetched->content)
    return std::nullopt;
  auto parsed = declare::ParseConfiguration(*fetched->content);
  if (!parsed.faults.empty())
    return std::nullopt;
  return std::move(parsed.configuration);
}

// Prints what the change does to the configuration in force.
ExitCode PrintDifferences(Session& session,
                          const base::SocketAddress& platform,
                          const ConfigurationHead& head,
                          const declare::Configuration& next,
                          Console& console) {
  std::optional<declare::Configuration> present = declare::Configuration();
  if (head.revision != base::Revision{})
    present = FetchConfiguration(session, platform, head);
  if (!present)
    return console.Complain(ExitCode::kUnreachable,
                            "the configuration in force can't be read, so "
                            "that nothing was changed; apply without "
                            "--expect-revision to replace it unseen");
  const auto differences = declare::Compare(*present, next);
  console.out << differences.size() << " fields differ from revision "
              << RevisionText(head.revision) << "\n";
  for (const declare::Difference& difference : differences)
    console.out << "  " << ToText(difference) << "\n";
  return ExitCode::kDone;
}

ExitCode Apply(const SoundConfiguration& sound,
               const base::SocketAddress& platform,
               std::optional<uint64_t> expected,
               Console& console) {
  auto session = Session::Create();
  if (!session)
    return console.Complain(ExitCode::kUnreachable, ToText(session.error()));
  const auto seen = ReadHead(*session.value(), platform);
  if (!seen)
    return console.Complain(
        ExitCode::kUnreachable,
        "the platform does not answer; nothing was changed");
  const auto revision = static_cast<uint64_t>(seen->head.revision);
  if (expected && *expected != revision)
    return console.Complain(
        ExitCode::kConflict,
        "revision " + std::to_string(revision) + " is in force, not " +
            std::to_string(*expected) + "; nothing was changed");
  if (expected) {
    const ExitCode code = PrintDifferences(
        *session.value(), platform, seen->head, sound.configuration, console);
    if (code != ExitCode::kDone)
      return code;
  }
  ConfigurationHead next;
  next.revision = base::Revision{revision + 1};
  next.change = DrawChangeId();
  next.object =
      "configuration/" + std::to_string(revision + 1) + "-" + next.change;
  const Outcome stored = session.value()->Ask(
      platform, base::StoreObject{next.object, sound.document});
  if (!std::holds_alternative<base::PlatformAnswer>(stored))
    return console.Complain(
        ExitCode::kUnreachable,
        "the object store does not answer; nothing was changed");
  return MoveHead(*session.value(), platform, *seen, next, console);
}

}  // namespace

ExitCode RunApply(int argc, const char* const* argv, Console& console) {
  cxxopts::Options options("bilberryctl apply",
                           "Puts a configuration in force everywhere.");
  options.add_options()("file", "The configuration",
                        cxxopts::value<std::string>())(
      "platform", "IP:PORT of the platform", cxxopts::value<std::string>())(
      "expect-revision", "The revision that this change was made from",
      cxxopts::value<uint64_t>())("help", "Print this");
  const auto flags = options.parse(argc, argv);
  if (flags.count("help") > 0) {
    console.out << options.help();
    return ExitCode::kDone;
  }
  if (flags.count("file") == 0 || flags.count("platform") == 0)
    return console.Complain(ExitCode::kUsage,
                            "--file and --platform are needed");
  const auto platform =
      AddressOf("platform", flags["platform"].as<std::string>(), console);
  if (!platform)
    return ExitCode::kUsage;
  const auto read =
      ReadSoundConfiguration(flags["file"].as<std::string>(), console);
  if (const auto* code = std::get_if<ExitCode>(&read))
    return *code;
  std::optional<uint64_t> expected;
  if (flags.count("expect-revision") > 0)
    expected = flags["expect-revision"].as<uint64_t>();
  return Apply(std::get<SoundConfiguration>(read), *platform, expected,
               console);
}

}  // namespace bilberry::operators
