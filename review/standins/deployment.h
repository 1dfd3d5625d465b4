#pragma once

#include <sys/types.h>

#include <atomic>
#include <fstream>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "channel.h"
#include "store.h"

namespace bilberry::review {

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

// What was sent, answered and run, one line each, with the time in ms.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}

  void Add(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point began_ = Clock::now();
};

// Files and mode of one run.
struct Run {
  std::string program;  // Of an entry host.
  std::string folder;   // A temporary one, for settings and logs.
  bool has_trouble = true;
  Record& record;
};

// Ends this process with the result. Its threads may still use the stand-ins,
// which are therefore not destroyed.
[[noreturn]] int End(Run& run, int result);

// One entry host, as the platform runs it: a process of the deploy file's
// command with settings of a small deployment.
class Host {
 public:
  Host(Run& run, const Store& store, const std::string& name);

  int port() const { return port_; }
  pid_t pid() const { return pid_; }

  void Start();
  void Kill();
  // Whether the process has ended.
  bool HasEnded();
  // Asks the host's readiness address.
  bool IsReady() const;
  bool WaitUntilReady() const;
  // Resident memory of the process, in bytes.
  size_t MemoryBytes() const;

 private:
  Run& run_;
  std::string name_;
  std::string settings_;
  int port_;
  int readiness_port_;
  int peer_port_;
  std::atomic<pid_t> pid_ = 0;
};

// A worker. Answers health checks itself and hands all other requests on.
class Worker {
 public:
  // Returns false to close the channel.
  using Handler = std::function<bool(Channel& channel, const Message& request)>;

  Worker(std::string id, Handler handler);

  const std::string& id() const { return id_; }
  std::string address() const { return acceptor_.address(); }
  // Its entry in the store.
  std::string Entry(const std::string& service) const;

 private:
  void Serve(Channel channel) const;

  std::string id_;
  Handler handler_;
  Acceptor acceptor_;
};

// A route of the desired state; `more` holds further members.
std::string RouteOf(const std::string& name,
                    const std::string& kind,
                    const std::string& service,
                    const std::string& more);
std::string DesiredState(const std::string& routes,
                         const std::string& services);

// A sound requester's request to the route, without the end of its head.
std::string HeadOf(const std::string& method,
                   const std::string& route,
                   const std::string& id,
                   std::chrono::milliseconds deadline);

}  // namespace bilberry::review
