// Prints how long a host takes to decode a configuration, and to find a
// request's route in it, with n, 2n and 4n routes. Finding one costs the same
// with all.

#include <algorithm>
#include <chrono>
#include <cxxopts.hpp>
#include <iomanip>
#include <iostream>
#include <memory>
#include <string>

#include "LibForward/route_index.h"
#include "LibTransport/program.h"
#include "Standins/small_platform.h"
#include "platform/configuration_reader.h"

namespace {

using bilberry::forward::RouteIndex;
using Clock = std::chrono::steady_clock;

constexpr size_t kRoutes = 1'400;
constexpr size_t kFactors[] = {1, 2, 4};
constexpr size_t kLookups = 100'000;
constexpr int kColumn = 12;

template <typename Unit, typename Work>
int64_t TimeOf(Work work) {
  const auto begin = Clock::now();
  work();
  return std::chrono::duration_cast<Unit>(Clock::now() - begin).count();
}

void Measure(size_t routes) {
  const std::string first = bilberry::standins::SmallConfiguration(1, routes);
  const std::string next = bilberry::standins::SmallConfiguration(2, routes);
  bilberry::platform::ConfigurationReader reader;
  bilberry::forward::RowContent content;
  const auto decode = TimeOf<std::chrono::microseconds>(
      [&] { content = reader.Decode(first); });
  const auto decode_next =
      TimeOf<std::chrono::microseconds>([&] { content = reader.Decode(next); });
  RouteIndex index;
  const auto build = TimeOf<std::chrono::microseconds>([&] {
    index = RouteIndex(
        std::get<
            std::shared_ptr<const bilberry::forward::ForwardConfiguration>>(
            content));
  });
  size_t found = 0;
  const auto find = TimeOf<std::chrono::nanoseconds>([&] {
    for (size_t i = 0; i < kLookups; ++i) {
      const std::string path =
          "/more-" + std::to_string(1 + i % routes) + "/leaf";
      found += index.FindPipeline("shop.example", path) == nullptr ? 0 : 1;
    }
  });
  for (const auto value :
       {static_cast<int64_t>(routes), static_cast<int64_t>(first.size()),
        decode, decode_next, build,
        find / static_cast<int64_t>(std::max<size_t>(found, 1))})
    std::cout << std::setw(kColumn) << value;
  std::cout << "\n";
}

int Run(const cxxopts::ParseResult& /*flags*/) {
  for (const char* title :
       {"routes", "bytes", "decode_us", "again_us", "index_us", "find_ns"})
    std::cout << std::setw(kColumn) << title;
  std::cout << "\n";
  for (const size_t factor : kFactors)
    Measure(kRoutes * factor);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options(
      "configurationcosts",
      "Prints what a configuration costs a host, by the number of its routes: "
      "to decode it, to decode the same routes in the next one, to build the "
      "index of its routes, and to find a request's route there.");
  return bilberry::transport::RunProgram(argc, argv, options, Run);
}
