// Runs the platform's stand-in as a process.

#include <cxxopts.hpp>
#include <iostream>

#include "LibTransport/program.h"
#include "Standins/platform_standin.h"

namespace {

constexpr std::chrono::milliseconds kLongestWait{100};

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
  while (!bilberry::transport::IsStopRequested())
    reactor.RunOnce(kLongestWait);
  return 0;
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("platformstandin",
                           "Stands in for the platform: table, object store "
                           "and host list, in memory.");
  options.add_options()("ip", "Address to listen at",
                        cxxopts::value<std::string>())(
      "port", "Port of the service",
      cxxopts::value<uint16_t>()->default_value("7000"))(
      "control-port", "Control port",
      cxxopts::value<uint16_t>()->default_value("7001"));
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  return bilberry::transport::RunProgram(argc, argv, MakeOptions(), Run);
}
