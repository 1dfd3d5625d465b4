#pragma once

#include <sys/types.h>

#include <optional>
#include <string>

namespace bilberry::soak {

// The exit code of a process, or the signal that ended it.
struct ProcessEnd {
  int exit_code = 0;
  int signal = 0;
};

// Runs a program as a child process and allows restarts. The process is killed
// with this object and when the parent process ends for any reason.
class HostProcess {
 public:
  // `settings` is the path of the settings file; the output is appended to the
  // file `log`.
  HostProcess(std::string program, std::string settings, std::string log);
  ~HostProcess();
  HostProcess(const HostProcess&) = delete;
  HostProcess& operator=(const HostProcess&) = delete;

  // False if the process can't be created.
  bool Start();
  bool is_alive() const { return pid_ > 0; }
  // 0 unless the process is alive.
  pid_t pid() const { return pid_; }
  void Signal(int signal) const;
  // Returns the process' end once; nullopt before that.
  std::optional<ProcessEnd> TakeEnd();

 private:
  [[noreturn]] void ExecProgram(pid_t parent) const;

  std::string program_;
  std::string settings_;
  std::string log_;
  pid_t pid_ = 0;
};

}  // namespace bilberry::soak
