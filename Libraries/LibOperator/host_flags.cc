#include "LibOperator/host_flags.h"

namespace bilberry::operators {

namespace {

std::variant<HostAddresses, ExitCode> ListedHosts(
    const base::SocketAddress& platform,
    OperatorClient& session,
    Console& console) {
  const auto outcome = session.Ask(platform, base::PollHosts{});
  const auto* answer = std::get_if<base::PlatformAnswer>(&outcome);
  const auto* polled =
      answer == nullptr ? nullptr : std::get_if<base::HostsPolled>(answer);
  if (polled == nullptr)
    return console.ReportError(
        ExitCode::kUnreachable,
        "the platform does not answer; name the hosts with --hosts");
  HostAddresses hosts;
  for (const base::HostEntry& entry : polled->changed) {
    if (entry.kind == base::HostKind::kEntryHost &&
        entry.state != base::HostState::kGone)
      hosts.push_back(entry.address);
  }
  if (hosts.empty())
    return console.ReportError(
        ExitCode::kUnreachable,
        "the platform lists no entry host; name the hosts "
        "with --hosts");
  return hosts;
}

}  // namespace

std::variant<HostAddresses, ExitCode> NamedHosts(
    const cxxopts::ParseResult& flags,
    Console& console) {
  HostAddresses hosts;
  for (const auto& text : flags["hosts"].as<std::vector<std::string>>()) {
    const auto address = AddressOf("hosts", text, console);
    if (!address)
      return ExitCode::kUsage;
    hosts.push_back(*address);
  }
  return hosts;
}

void AddHostFlags(cxxopts::Options& options) {
  auto add = options.add_options();
  add("hosts", "IP:PORT of each host's port for peers",
      cxxopts::value<std::vector<std::string>>());
  add("platform", "IP:PORT of the platform, whose list names the hosts",
      cxxopts::value<std::string>());
  add("token", "The operator token", cxxopts::value<std::string>());
  add("help", "Print this");
}

std::variant<HostAddresses, ExitCode> HostsOf(const cxxopts::ParseResult& flags,
                                              OperatorClient& session,
                                              Console& console) {
  if (flags.count("token") == 0)
    return console.ReportError(ExitCode::kUsage, "--token is missing");
  if (flags.count("hosts") + flags.count("platform") == 0)
    return console.ReportError(ExitCode::kUsage,
                               "--hosts or --platform is missing");
  if (flags.count("hosts") > 0)
    return NamedHosts(flags, console);
  const auto platform =
      AddressOf("platform", flags["platform"].as<std::string>(), console);
  if (!platform)
    return ExitCode::kUsage;
  return ListedHosts(*platform, session, console);
}

ExitCode ReportHostError(const base::Error& error, Console& console) {
  if (error.code == base::ErrorCode::kRefused)
    return console.ReportError(ExitCode::kRefused, ToText(error));
  if (error.code == base::ErrorCode::kMalformed)
    return console.ReportError(ExitCode::kMalformed, ToText(error));
  return console.ReportError(ExitCode::kUnreachable, ToText(error));
}

}  // namespace bilberry::operators
