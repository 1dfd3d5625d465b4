#include "LibTransport/program.h"

#include <malloc.h>

#include <csignal>
#include <iostream>
#include <utility>

#include "LibTransport/log_writer.h"

namespace bilberry::transport {

namespace {

constexpr int kReturnedBlockBytes = 256 * 1024;

volatile std::sig_atomic_t stop_was_requested = 0;
volatile std::sig_atomic_t reload_was_requested = 0;

void HandleStopSignal(int /*signal*/) {
  stop_was_requested = 1;
}

void HandleReloadSignal(int /*signal*/) {
  reload_was_requested = 1;
}

void InstallSignalHandlers() {
  std::signal(SIGHUP, HandleReloadSignal);
  std::signal(SIGTERM, HandleStopSignal);
  std::signal(SIGINT, HandleStopSignal);
  // A write to a closed connection fails with EPIPE instead of killing the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
}

}  // namespace

void ReturnFreedBlocks() {
  mallopt(M_MMAP_THRESHOLD, kReturnedBlockBytes);
}

int RunProgram(int argc,
               char** argv,
               cxxopts::Options options,
               const std::function<int(const cxxopts::ParseResult&)>& run) {
  ReturnFreedBlocks();
  InitializeLog(argv[0]);
  InstallSignalHandlers();
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
  return stop_was_requested != 0;
}

bool TakeReloadRequest() {
  const bool was_requested = reload_was_requested != 0;
  reload_was_requested = 0;
  return was_requested;
}

}  // namespace bilberry::transport
