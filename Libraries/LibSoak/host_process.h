#pragma once

#include <sys/types.h>

#include <optional>
#include <string>

namespace bilberry::soak {

// How a process ended: its exit code, or the signal that ended it.
struct ProcessEnd {
  int exit_code = 0;
  int signal = 0;
};

// A program that is run as a child, one life after the other. It dies with this
// object and with this process, however that ends.
class HostProcess {
 public:
  // Settings are given by file; what it writes is added to the log.
  HostProcess(std::string program, std::string settings, std::string log);
  ~HostProcess();
  HostProcess(const HostProcess&) = delete;
  HostProcess& operator=(const HostProcess&) = delete;

  // False if it can't be made.
  bool Start();
  bool is_alive() const { return pid_ > 0; }
  void Signal(int signal) const;
  // Once, when it has ended.
  std::optional<ProcessEnd> TakeEnd();

 private:
  [[noreturn]] void Become(pid_t parent) const;

  std::string program_;
  std::string settings_;
  std::string log_;
  pid_t pid_ = 0;
};

}  // namespace bilberry::soak
