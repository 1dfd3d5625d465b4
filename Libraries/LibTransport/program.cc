#include "LibTransport/program.h"

#include <csignal>
#include <iostream>
#include <utility>

#include "LibTransport/log_writer.h"

namespace bilberry::transport {

namespace {

volatile std::sig_atomic_t stop_was_ordered = 0;
volatile std::sig_atomic_t reload_was_ordered = 0;

void NoteStop(int /*signal*/) {
  stop_was_ordered = 1;
}

void NoteReload(int /*signal*/) {
  reload_was_ordered = 1;
}

void InstallSignals() {
  std::signal(SIGHUP, NoteReload);
  std::signal(SIGTERM, NoteStop);
  std::signal(SIGINT, NoteStop);
  // A caller that closes early is told by the write's error instead.
  std::signal(SIGPIPE, SIG_IGN);
}

}  // namespace

int RunProgram(int argc,
               char** argv,
               cxxopts::Options options,
               const std::function<int(const cxxopts::ParseResult&)>& run) {
  InitializeLog(argv[0]);
  InstallSignals();
  options.add_options()("help", "Print this help")("version",
                                                   "Print the version");
  try {
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    if (flags.count("version") > 0) {
      std::cout << options.program() << " " BILBERRY_VERSION "\n";
      return 0;
    }
    return run(flags);
  } catch (const cxxopts::exceptions::exception& exception) {
    std::cerr << options.program() << ": " << exception.what() << "\n";
    return kExitUsage;
  }
}

bool IsStopRequested() {
  return stop_was_ordered != 0;
}

bool TakeReloadRequest() {
  const bool was_ordered = reload_was_ordered != 0;
  reload_was_ordered = 0;
  return was_ordered;
}

}  // namespace bilberry::transport
