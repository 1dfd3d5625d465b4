// The platform's stand-in as a process.

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

#include "Standins/platform_standin.h"

namespace {

constexpr std::chrono::milliseconds kLongestWait{100};
volatile std::sig_atomic_t stop_was_ordered = 0;

int Run(const cxxopts::ParseResult& flags) {
  using bilberry::base::SocketAddress;
  bilberry::transport::Reactor reactor;
  const std::string ip = flags["ip"].as<std::string>();
  auto standin = bilberry::standins::PlatformStandin::Create(
      reactor, SocketAddress{ip, flags["port"].as<uint16_t>()},
      SocketAddress{ip, flags["control-port"].as<uint16_t>()});
  if (!standin) {
    std::cerr << "platformstandin: " << ToText(standin.error()) << "\n";
    return 3;
  }
  std::signal(SIGTERM, [](int) { stop_was_ordered = 1; });
  std::signal(SIGPIPE, SIG_IGN);
  while (stop_was_ordered == 0)
    reactor.RunOnce(kLongestWait);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("platformstandin",
                           "Stands in for the platform: table, object store "
                           "and host list, in memory.");
  options.add_options()("ip", "Address to listen at",
                        cxxopts::value<std::string>())(
      "port", "Port of the service",
      cxxopts::value<uint16_t>()->default_value("7000"))(
      "control-port", "Port of the orders",
      cxxopts::value<uint16_t>()->default_value("7001"))("help", "Print this");
  options.add_options()("version", "Print the version");
  try {
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    if (flags.count("version") > 0) {
      std::cout << "platformstandin " BILBERRY_VERSION "\n";
      return 0;
    }
    return Run(flags);
  } catch (const cxxopts::exceptions::exception& exception) {
    std::cerr << "platformstandin: " << exception.what() << "\n";
    return 2;
  }
}
