#include "LibSoak/host_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <climits>
#include <csignal>
#include <utility>

namespace bilberry::soak {

namespace {

constexpr int kExitNoProgram = 127;
constexpr unsigned kFirstOtherDescriptor = STDERR_FILENO + 1;
constexpr mode_t kLogMode = 0644;

}  // namespace

HostProcess::HostProcess(std::string program,
                         std::string settings,
                         std::string log)
    : program_(std::move(program)),
      settings_(std::move(settings)),
      log_(std::move(log)) {}

HostProcess::~HostProcess() {
  if (!is_alive())
    return;
  Signal(SIGKILL);
  waitpid(pid_, nullptr, 0);
}

bool HostProcess::Start() {
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0)
    ExecProgram(parent);
  return pid_ > 0;
}

void HostProcess::ExecProgram(pid_t parent) const {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log =
      open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode);
  if (getppid() != parent || log < 0)
    _exit(kExitNoProgram);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  // An inherited socket would stay open after its owner closes it.
  close_range(kFirstOtherDescriptor, UINT_MAX, CLOSE_RANGE_CLOEXEC);
  execl(program_.c_str(), program_.c_str(), "--settings", settings_.c_str(),
        nullptr);
  _exit(kExitNoProgram);
}

void HostProcess::Signal(int signal) const {
  if (is_alive())
    kill(pid_, signal);
}

std::optional<ProcessEnd> HostProcess::TakeEnd() {
  int status = 0;
  if (!is_alive() || waitpid(pid_, &status, WNOHANG) != pid_)
    return std::nullopt;
  pid_ = 0;
  if (WIFSIGNALED(status))
    return ProcessEnd{0, WTERMSIG(status)};
  return ProcessEnd{WEXITSTATUS(status), 0};
}

}  // namespace bilberry::soak
