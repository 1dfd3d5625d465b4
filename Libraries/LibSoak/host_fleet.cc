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
// Links of host N have the IP number N and this.
constexpr size_t kLinkIps = 100;
constexpr milliseconds kStartTime{1000};
constexpr std::array kZones{"z1", "z2", "z3"};

// Behind a link that swallowed bytes, old connections are never sound again.
LinkState StateAfter(LinkState fault) {
  const bool has_swallowed = fault == LinkState::kSilent ||
                             fault == LinkState::kOneWayOut ||
                             fault == LinkState::kOneWayBack;
  return has_swallowed ? LinkState::kDropsOldConnections : LinkState::kHealthy;
}

}  // namespace

HostFleet::HostFleet(transport::Reactor& reactor,
                     InvariantChecker& book,
                     EventTrail& trail,
                     HostFleetOptions options)
    : reactor_(reactor),
      timers_(reactor),
      book_(book),
      trail_(trail),
      options_(std::move(options)) {}

base::Result<std::unique_ptr<HostFleet>> HostFleet::Create(
    transport::Reactor& reactor,
    InvariantChecker& book,
    EventTrail& trail,
    HostFleetOptions options) {
  std::unique_ptr<HostFleet> fleet(
      new HostFleet(reactor, book, trail, std::move(options)));
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
  host->door = {host->name, {own_ip, kCallersPort}, {link_ip, kCallersPort}};
  TRY(callers, Relay::Create(reactor_, host->door.by_link, host->door.direct));
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
  const std::string& ip = host.door.direct.ip;
  std::string path = options_.folder + "/" + host.name + ".json";
  std::ofstream(path) << "{\"host\": \"" << host.name << "\", \"zone\": \""
                      << kZones.at(number % kZones.size())
                      << "\",\n \"callers\": \""
                      << base::ToText(host.door.direct)
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
  ++host.life;
  return base::Success();
}

std::vector<CallerAddresses> HostFleet::doors() const {
  std::vector<CallerAddresses> doors;
  for (const auto& host : hosts_)
    doors.push_back(host->door);
  return doors;
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

void HostFleet::Tell(const Host& host, const std::string& what) {
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
  Tell(host, how);
  if (host.state == State::kStopping)
    book_.NoteStopped(host.name, end.signal > 0 ? end.signal : end.exit_code,
                      host.ordered, now);
  if (host.state == State::kUp) {
    book_.NoteEndedByItself(host.name, how, now);
    book_.BeginDisturbance(host.name);
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
    book_.NoteEndedByItself(host.name, "can't be started again",
                            reactor_.Now());
    return;
  }
  Tell(host, "is started again");
  for (; host.open_work > 0; --host.open_work)
    book_.EndPlannedWork(host.name, reactor_.Now());
  for (; host.open_disturbances > 0; --host.open_disturbances)
    book_.EndDisturbance(host.name, reactor_.Now());
}

// A process that has hardly begun doesn't handle signals yet.
bool HostFleet::TakesOrders(const Host& host) const {
  return host.state == State::kUp &&
         reactor_.Now() - host.started >= kStartTime;
}

// As the platform does: killed when the grace is over.
void HostFleet::Stop(uint64_t target, milliseconds lasts) {
  Host& host = Pick(target);
  if (!TakesOrders(host))
    return;
  Tell(host, "is ordered to stop");
  book_.BeginPlannedWork(host.name);
  ++host.open_work;
  host.state = State::kStopping;
  host.ordered = reactor_.Now();
  host.gone_for = lasts;
  const bool is_killed = options_.sabotage == InjectedDefect::kKillingStops;
  host.process->Signal(is_killed ? SIGKILL : SIGTERM);
  timers_.After(options_.grace, [this, &host, life = host.life] {
    if (host.life != life || !host.process->is_alive())
      return;
    Tell(host, "is killed, its grace is over");
    host.process->Signal(SIGKILL);
  });
}

void HostFleet::Kill(uint64_t target, milliseconds lasts) {
  Host& host = Pick(target);
  if (host.state != State::kUp && host.state != State::kStopping)
    return;
  Tell(host, "is killed");
  book_.BeginDisturbance(host.name);
  ++host.open_disturbances;
  host.state = State::kKilled;
  host.gone_for = lasts;
  host.process->Signal(SIGKILL);
}

void HostFleet::Freeze(uint64_t target, milliseconds lasts) {
  Host& host = Pick(target);
  if (!host.process->is_alive() || host.is_frozen)
    return;
  Tell(host, "is frozen");
  host.is_frozen = true;
  book_.BeginDisturbance(host.name);
  host.process->Signal(SIGSTOP);
  timers_.After(lasts, [this, &host, life = host.life] {
    if (host.life == life) {
      Tell(host, "is thawed");
      host.is_frozen = false;
      host.process->Signal(SIGCONT);
    }
    book_.EndDisturbance(host.name, reactor_.Now());
  });
}

void HostFleet::Reload(uint64_t target) {
  const Host& host = Pick(target);
  if (!TakesOrders(host))
    return;
  Tell(host, "reads its settings again");
  host.process->Signal(SIGHUP);
}

void HostFleet::Disturb(uint64_t target,
                        HostLink which,
                        LinkState state,
                        milliseconds lasts) {
  Host& host = Pick(target);
  Relay& link =
      which == HostLink::kCallers ? *host.callers_link : *host.store_link;
  Tell(host, "has a fault on a link");
  book_.BeginDisturbance(host.name);
  link.Order(state);
  timers_.After(lasts, [this, &host, &link, state] {
    Tell(host, "has that link back");
    link.Order(StateAfter(state));
    book_.EndDisturbance(host.name, reactor_.Now());
  });
}

void HostFleet::BeginSabotage() {
  for (const auto& host : hosts_) {
    if (options_.sabotage == InjectedDefect::kDoublingLinks)
      host->callers_link->Order(LinkState::kDuplicating);
    if (options_.sabotage == InjectedDefect::kDeafHosts)
      host->store_link->Order(LinkState::kSilent);
  }
}

void HostFleet::StopAll() {
  for (size_t i = 0; i < hosts_.size(); ++i)
    Stop(i, {});
  is_ending_ = true;
}

}  // namespace bilberry::soak
