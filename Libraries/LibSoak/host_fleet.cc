#include "LibSoak/host_fleet.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <utility>

namespace bilberry::soak {

namespace {

using standins::LinkState;
using standins::Relay;
using std::chrono::milliseconds;

constexpr uint16_t kCallersPort = 8080;
constexpr uint16_t kReadinessPort = 8081;
constexpr uint16_t kPeersPort = 8082;
constexpr uint16_t kStorePort = 7000;
// Last number of the IP address of host N's links: N plus this.
constexpr size_t kLinkIps = 100;
constexpr milliseconds kStartTime{1000};
constexpr std::array kZones{"z1", "z2", "z3"};

// After a link has dropped bytes, its old connections can't be used again.
LinkState StateAfter(LinkState fault) {
  const bool has_swallowed = fault == LinkState::kSilent ||
                             fault == LinkState::kOneWayOut ||
                             fault == LinkState::kOneWayBack;
  return has_swallowed ? LinkState::kDropsOldConnections : LinkState::kHealthy;
}

}  // namespace

HostFleet::HostFleet(transport::Reactor& reactor,
                     InvariantChecker& checker,
                     EventTrail& trail,
                     HostFleetOptions options)
    : reactor_(reactor),
      timers_(reactor),
      checker_(checker),
      trail_(trail),
      options_(std::move(options)) {}

base::Result<std::unique_ptr<HostFleet>> HostFleet::Create(
    transport::Reactor& reactor,
    InvariantChecker& checker,
    EventTrail& trail,
    HostFleetOptions options) {
  std::unique_ptr<HostFleet> fleet(
      new HostFleet(reactor, checker, trail, std::move(options)));
  for (size_t i = 1; i <= fleet->options_.hosts; ++i) {
    TRY(fleet->Add(i));
  }
  return fleet;
}

base::Result<void> HostFleet::Add(size_t number) {
  auto host = std::make_unique<Host>();
  const std::string own_ip = options_.net + "." + std::to_string(number);
  const std::string link_ip =
      options_.net + "." + std::to_string(kLinkIps + number);
  host->name = "entry-" + std::to_string(number);
  host->addresses = {
      host->name, {own_ip, kCallersPort}, {link_ip, kCallersPort}};
  TRY(callers, Relay::Create(reactor_, host->addresses.via_relay,
                             host->addresses.direct));
  host->callers_link = std::move(callers);
  TRY(store, Relay::Create(reactor_, {link_ip, kStorePort}, options_.store));
  host->store_link = std::move(store);
  host->process = std::make_unique<HostProcess>(
      options_.program,
      WriteSettings(*host, number, host->store_link->address()),
      options_.folder + "/" + host->name + ".log");
  TRY(Start(*host));
  hosts_.push_back(std::move(host));
  return base::Success();
}

std::string HostFleet::WriteSettings(const Host& host,
                                     size_t number,
                                     const base::SocketAddress& store) const {
  const std::string& ip = host.addresses.direct.ip;
  std::string path = options_.folder + "/" + host.name + ".json";
  std::ofstream(path) << "{\"host\": \"" << host.name << "\", \"zone\": \""
                      << kZones.at(number % kZones.size())
                      << "\",\n \"callers\": \""
                      << base::ToText(host.addresses.direct)
                      << "\", \"readiness\": \""
                      << base::ToText({ip, kReadinessPort})
                      << "\",\n \"peers\": \"" << base::ToText({ip, kPeersPort})
                      << "\", \"store\": \"" << base::ToText(store)
                      << "\",\n \"stop_grace_s\": "
                      << std::chrono::duration_cast<std::chrono::seconds>(
                             options_.grace)
                             .count()
                      << "}\n";
  return path;
}

base::Result<void> HostFleet::Start(Host& host) {
  if (!host.process->Start())
    return base::Error{base::ErrorCode::kSystem, base::Step::kListen, host.name,
                       "can't be started"};
  host.state = State::kUp;
  host.started = reactor_.Now();
  host.is_frozen = false;
  ++host.incarnation;
  return base::Success();
}

std::vector<CallerAddresses> HostFleet::addresses() const {
  std::vector<CallerAddresses> addresses;
  for (const auto& host : hosts_)
    addresses.push_back(host->addresses);
  return addresses;
}

std::set<std::string> HostFleet::names() const {
  std::set<std::string> names;
  for (const auto& host : hosts_)
    names.insert(host->name);
  return names;
}

bool HostFleet::are_all_gone() const {
  return std::ranges::none_of(
      hosts_, [](const auto& it) { return it->process->is_alive(); });
}

void HostFleet::Log(const Host& host, const std::string& what) {
  trail_.Add(reactor_.Now(), host.name + " " + what);
}

void HostFleet::Reap(base::TimePoint now) {
  for (const auto& host : hosts_) {
    if (const auto end = host->process->TakeEnd())
      NoteEnd(*host, *end, now);
  }
}

void HostFleet::NoteEnd(Host& host,
                        const ProcessEnd& end,
                        base::TimePoint now) {
  const std::string how = "ended with code " + std::to_string(end.exit_code) +
                          ", signal " + std::to_string(end.signal);
  Log(host, how);
  if (host.state == State::kStopping)
    checker_.NoteStopped(host.name, end.signal > 0 ? end.signal : end.exit_code,
                         host.ordered, now);
  if (host.state == State::kUp) {
    checker_.NoteUnexpectedExit(host.name, how, now);
    checker_.BeginDisturbance(host.name);
    ++host.open_disturbances;
  }
  host.state = State::kGone;
  if (!is_ending_)
    timers_.After(host.gone_for, [this, &host] { StartAgain(host); });
}

void HostFleet::StartAgain(Host& host) {
  if (is_ending_)
    return;
  if (!Start(host)) {
    checker_.NoteUnexpectedExit(host.name, "can't be restarted",
                                reactor_.Now());
    return;
  }
  Log(host, "is restarted");
  for (; host.open_work > 0; --host.open_work)
    checker_.EndPlannedWork(host.name, reactor_.Now());
  for (; host.open_disturbances > 0; --host.open_disturbances)
    checker_.EndDisturbance(host.name, reactor_.Now());
}

// A process that has just started doesn't handle signals yet.
bool HostFleet::CanBeSignalled(const Host& host) const {
  return host.state == State::kUp &&
         reactor_.Now() - host.started >= kStartTime;
}

// Kills the process after its grace period, as the platform does.
void HostFleet::Stop(uint64_t target, milliseconds lasts) {
  Host& host = Pick(target);
  if (!CanBeSignalled(host))
    return;
  Log(host, "is ordered to stop");
  checker_.BeginPlannedWork(host.name);
  ++host.open_work;
  host.state = State::kStopping;
  host.ordered = reactor_.Now();
  host.gone_for = lasts;
  const bool is_killed =
      options_.injected_defect == InjectedDefect::kKillingStops;
  host.process->Signal(is_killed ? SIGKILL : SIGTERM);
  timers_.After(options_.grace, [this, &host, incarnation = host.incarnation] {
    if (host.incarnation != incarnation || !host.process->is_alive())
      return;
    Log(host, "is killed after its grace period");
    host.process->Signal(SIGKILL);
  });
}

void HostFleet::Kill(uint64_t target, milliseconds lasts) {
  Host& host = Pick(target);
  if (host.state != State::kUp && host.state != State::kStopping)
    return;
  Log(host, "is killed");
  checker_.BeginDisturbance(host.name);
  ++host.open_disturbances;
  host.state = State::kKilled;
  host.gone_for = lasts;
  host.process->Signal(SIGKILL);
}

void HostFleet::Freeze(uint64_t target, milliseconds lasts) {
  Host& host = Pick(target);
  if (!host.process->is_alive() || host.is_frozen)
    return;
  Log(host, "is frozen");
  host.is_frozen = true;
  checker_.BeginDisturbance(host.name);
  host.process->Signal(SIGSTOP);
  timers_.After(lasts, [this, &host, incarnation = host.incarnation] {
    if (host.incarnation == incarnation) {
      Log(host, "is resumed");
      host.is_frozen = false;
      host.process->Signal(SIGCONT);
    }
    checker_.EndDisturbance(host.name, reactor_.Now());
  });
}

void HostFleet::Reload(uint64_t target) {
  const Host& host = Pick(target);
  if (!CanBeSignalled(host))
    return;
  Log(host, "reloads its settings");
  host.process->Signal(SIGHUP);
}

void HostFleet::Disturb(uint64_t target,
                        HostLink which,
                        LinkState state,
                        milliseconds lasts) {
  Host& host = Pick(target);
  Relay& link =
      which == HostLink::kCallers ? *host.callers_link : *host.store_link;
  Log(host, "has a link fault");
  checker_.BeginDisturbance(host.name);
  link.Order(state);
  timers_.After(lasts, [this, &host, &link, state] {
    Log(host, "has its link restored");
    link.Order(StateAfter(state));
    checker_.EndDisturbance(host.name, reactor_.Now());
  });
}

void HostFleet::InjectDefect() {
  for (const auto& host : hosts_) {
    if (options_.injected_defect == InjectedDefect::kDoublingLinks)
      host->callers_link->Order(LinkState::kDuplicating);
    if (options_.injected_defect == InjectedDefect::kDeafHosts)
      host->store_link->Order(LinkState::kSilent);
  }
}

void HostFleet::StopAll() {
  for (size_t i = 0; i < hosts_.size(); ++i)
    Stop(i, {});
  is_ending_ = true;
}

}  // namespace bilberry::soak
