// Runs one case of the review: starts the stand-ins and the entry hosts, plays
// the case, ends what it started, and exits with the case's result.

#include <iostream>
#include <map>
#include <string>

#include "cases.h"

int main(int argc, char** argv) {
  using bilberry::review::Run;
  constexpr int kArguments = 6;
  if (argc != kArguments) {
    std::cerr << "bilberryreview CASE PROGRAM FOLDER RECORD TROUBLE\n";
    return bilberry::review::kNotRun;
  }
  const std::map<std::string, int (*)(Run&)> cases{
      {"foreign-pieces", bilberry::review::RunForeignPieces},
      {"foreign-failure", bilberry::review::RunForeignFailure},
      {"smuggled-request", bilberry::review::RunSmuggledRequest},
      {"long-bodies", bilberry::review::RunLongBodies},
      {"trailing-space", bilberry::review::RunTrailingSpace},
  };
  const auto found = cases.find(argv[1]);
  if (found == cases.end())
    return bilberry::review::kNotRun;
  bilberry::review::Record record(argv[4]);
  Run run{argv[2], argv[3], std::string(argv[5]) != "0", record};
  return found->second(run);
}
