#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibSoak/event_trail.h"
#include "LibSoak/host_process.h"
#include "LibSoak/injected_defect.h"
#include "LibSoak/invariant_checker.h"
#include "LibTransport/timer_queue.h"
#include "Standins/relay.h"

namespace bilberry::soak {

// The links of a host that a fault can affect.
enum class HostLink { kCallers, kStore };

// The addresses of a host: its own, and that of the relay in front of it.
struct CallerAddresses {
  std::string host;
  base::SocketAddress direct;
  base::SocketAddress via_relay;
};

struct HostFleetOptions {
  size_t hosts = 3;
  std::string program;
  std::string folder;  // For settings and logs.
  std::string net;     // The first three octets of all IP addresses.
  base::SocketAddress store;
  std::chrono::milliseconds grace{4000};
  InjectedDefect injected_defect = InjectedDefect::kNone;
};

// Entry host processes, each with relays on its links to callers and to the
// store.
class HostFleet {
 public:
  static base::Result<std::unique_ptr<HostFleet>> Create(
      transport::Reactor& reactor,
      InvariantChecker& checker,
      EventTrail& trail,
      HostFleetOptions options);

  std::vector<CallerAddresses> addresses() const;
  std::set<std::string> names() const;
  bool are_all_gone() const;

  // Records the processes that have ended and schedules their restart.
  void Reap(base::TimePoint now);

  // Start a fault. Faults have no effect on a host that is down or stopping;
  // those that end do so after `lasts`.
  void Stop(uint64_t target, std::chrono::milliseconds lasts);
  void Kill(uint64_t target, std::chrono::milliseconds lasts);
  void Freeze(uint64_t target, std::chrono::milliseconds lasts);
  void Reload(uint64_t target);
  void Disturb(uint64_t target,
               HostLink which,
               standins::LinkState state,
               std::chrono::milliseconds lasts);
  // Stops all hosts without a restart.
  void StopAll();
  // Call after the hosts have begun to serve.
  void InjectDefect();

 private:
  enum class State { kUp, kStopping, kKilled, kGone };

  struct Host {
    std::string name;
    CallerAddresses addresses;
    std::unique_ptr<HostProcess> process;
    std::unique_ptr<standins::Relay> callers_link;
    std::unique_ptr<standins::Relay> store_link;
    State state = State::kGone;
    uint64_t incarnation = 0;
    bool is_frozen = false;
    base::TimePoint started;
    base::TimePoint ordered;
    std::chrono::milliseconds gone_for{0};
    // Planned work and disturbances that end at the next start.
    uint32_t open_work = 0;
    uint32_t open_disturbances = 0;
  };

  HostFleet(transport::Reactor& reactor,
            InvariantChecker& checker,
            EventTrail& trail,
            HostFleetOptions options);

  base::Result<void> Add(size_t number);
  std::string WriteSettings(const Host& host,
                            size_t number,
                            const base::SocketAddress& store) const;
  base::Result<void> Start(Host& host);
  void StartAgain(Host& host);
  bool CanBeSignalled(const Host& host) const;
  void NoteEnd(Host& host, const ProcessEnd& end, base::TimePoint now);
  Host& Pick(uint64_t target) { return *hosts_.at(target % hosts_.size()); }
  void Log(const Host& host, const std::string& what);

  transport::Reactor& reactor_;
  transport::TimerQueue timers_;
  InvariantChecker& checker_;
  EventTrail& trail_;
  HostFleetOptions options_;
  bool is_ending_ = false;
  std::vector<std::unique_ptr<Host>> hosts_;
};

}  // namespace bilberry::soak
