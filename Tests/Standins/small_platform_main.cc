// Runs the small platform's stand-in as a process.

#include <cxxopts.hpp>
#include <iostream>

#include "LibTransport/program.h"
#include "Standins/small_platform.h"

namespace {

constexpr std::chrono::milliseconds kLongestWait{100};

int Run(const cxxopts::ParseResult& flags) {
  bilberry::transport::Reactor reactor;
  auto platform = bilberry::standins::SmallPlatform::Create(
      reactor, {flags["ip"].as<std::string>(), flags["port"].as<uint16_t>()});
  if (!platform) {
    std::cerr << "smallplatformstandin: " << ToText(platform.error()) << "\n";
    return 3;
  }
  while (!bilberry::transport::IsStopRequested())
    reactor.RunOnce(kLongestWait);
  return 0;
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("smallplatformstandin",
                           "Stands in for the users' platform: its store with "
                           "a small configuration, and three pools.");
  options.add_options()("ip", "Address to listen at",
                        cxxopts::value<std::string>())(
      "port", "Port of the store",
      cxxopts::value<uint16_t>()->default_value("7000"));
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  return bilberry::transport::RunProgram(argc, argv, MakeOptions(), Run);
}
