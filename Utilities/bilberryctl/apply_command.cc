#include <array>
#include <cxxopts.hpp>
#include <iostream>
#include <random>
#include <sstream>
#include <utility>

#include "LibBase/overloaded.h"
#include "LibMembership/configuration_change.h"
#include "commands.h"
#include "session.h"

namespace bilberry::ctl {

namespace {

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

std::string RevisionText(base::Revision revision) {
  return "revision " + std::to_string(static_cast<uint64_t>(revision));
}

ExitCode Tell(const membership::ChangeOutcome& outcome) {
  return std::visit(
      base::Overloaded{
          [](const membership::ChangeAccepted& it) {
            std::cout << RevisionText(it.revision) << " is accepted\n";
            return ExitCode::kDone;
          },
          [](const membership::ChangeLost& it) {
            return Complain(
                ExitCode::kConflict,
                "another change came first: " + RevisionText(it.in_force) +
                    " is in force; nothing was changed");
          },
          [](const membership::ChangeOutdated& it) {
            return Complain(ExitCode::kConflict,
                            RevisionText(it.in_force) +
                                " is in force, not the expected one; nothing "
                                "was changed");
          },
          [](const membership::ChangeNotTried& it) {
            return Complain(ExitCode::kUnreachable,
                            it.reason + "; nothing was changed");
          },
          [](const membership::ChangeUndecided& it) {
            return Complain(ExitCode::kUnreachable,
                            "change " + it.change +
                                " may have been accepted, or may yet be: look "
                                "with status");
          },
      },
      outcome);
}

ExitCode Apply(const std::string& document,
               const base::SocketAddress& platform,
               std::optional<base::Revision> expected) {
  auto session = Session::Create();
  if (!session)
    return Complain(ExitCode::kUnreachable, ToText(session.error()));
  membership::ConfigurationChange change(document, DrawChangeId(), expected);
  while (auto request = change.NextRequest())
    change.HandleReply(session.value()->Ask(platform, std::move(*request)));
  return Tell(*change.outcome());
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
  std::optional<base::Revision> expected;
  if (flags.count("expect-revision") > 0)
    expected = base::Revision{flags["expect-revision"].as<uint64_t>()};
  return Apply(*document, *platform, expected);
}

}  // namespace bilberry::ctl
