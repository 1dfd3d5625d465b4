// The command-line tool of operators.

#include <csignal>
#include <iostream>

#include "LibOperator/commands.h"
#include "LibTransport/log_writer.h"

int main(int argc, char** argv) {
  bilberry::transport::InitializeLog(argv[0]);
  std::signal(SIGPIPE, SIG_IGN);
  bilberry::operators::Console console{std::cout, std::cerr};
  return static_cast<int>(
      bilberry::operators::RunCommandLine(argc, argv, console));
}
