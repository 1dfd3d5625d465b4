#include <array>
#include <cxxopts.hpp>
#include <iostream>
#include <random>
#include <sstream>

#include "LibBase/overloaded.h"
#include "LibMembership/configuration_head.h"
#include "commands.h"
#include "session.h"

namespace bilberry::ctl {

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

ExitCode Complain(ExitCode code, const std::string& reason) {
  std::cerr << "bilberryctl apply: " << reason << "\n";
  return code;
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
                  const ConfigurationHead& next) {
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
      std::cout << "revision " << RevisionText(next.revision)
                << " is accepted\n";
      return ExitCode::kDone;
    }
    return Complain(ExitCode::kConflict,
                    "another change came first; nothing was changed");
  }
  return Complain(ExitCode::kUnreachable,
                  "the platform does not answer; change " + next.change +
                      " may yet be accepted: look with status");
}

ExitCode Apply(const std::string& document,
               const base::SocketAddress& platform,
               std::optional<uint64_t> expected) {
  auto session = Session::Create();
  if (!session)
    return Complain(ExitCode::kUnreachable, ToText(session.error()));
  const auto seen = ReadHead(*session.value(), platform);
  if (!seen)
    return Complain(ExitCode::kUnreachable,
                    "the platform does not answer; nothing was changed");
  const auto revision = static_cast<uint64_t>(seen->head.revision);
  if (expected && *expected != revision)
    return Complain(ExitCode::kConflict,
                    "revision " + std::to_string(revision) +
                        " is in force, not " + std::to_string(*expected) +
                        "; nothing was changed");
  ConfigurationHead next;
  next.revision = base::Revision{revision + 1};
  next.change = DrawChangeId();
  next.object =
      "configuration/" + std::to_string(revision + 1) + "-" + next.change;
  const Outcome stored =
      session.value()->Ask(platform, base::StoreObject{next.object, document});
  if (!std::holds_alternative<base::PlatformAnswer>(stored))
    return Complain(ExitCode::kUnreachable,
                    "the object store does not answer; nothing was changed");
  return MoveHead(*session.value(), platform, *seen, next);
}

}  // namespace

ExitCode RunApply(int argc, char** argv) {
  cxxopts::Options options("bilberryctl apply",
                           "Puts a configuration in force everywhere.");
  options.add_options()("file", "The configuration",
                        cxxopts::value<std::string>())(
      "platform", "IP:PORT of the platform", cxxopts::value<std::string>())(
      "expect-revision", "The revision that this change was made from",
      cxxopts::value<uint64_t>())("help", "Print this");
  const auto flags = options.parse(argc, argv);
  if (flags.count("help") > 0) {
    std::cout << options.help();
    return ExitCode::kDone;
  }
  if (flags.count("file") == 0 || flags.count("platform") == 0)
    return Complain(ExitCode::kUsage, "--file and --platform are needed");
  const auto platform =
      AddressOf("platform", flags["platform"].as<std::string>());
  if (!platform)
    return ExitCode::kUsage;
  const auto document = ReadSoundConfiguration(flags["file"].as<std::string>());
  if (!document)
    return ExitCode::kFaulty;
  std::optional<uint64_t> expected;
  if (flags.count("expect-revision") > 0)
    expected = flags["expect-revision"].as<uint64_t>();
  return Apply(*document, *platform, expected);
}

}  // namespace bilberry::ctl
