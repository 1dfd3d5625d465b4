#include "LibSoak/soak_run.h"

#include <unistd.h>

#include <filesystem>
#include <utility>

#include "Standins/platform_messages.h"

namespace bilberry::soak {

namespace {

using standins::LinkState;
using std::chrono::milliseconds;
using Plan = FaultKind;
using StoreFault = standins::FaultKind;

constexpr milliseconds kTurn{5};
constexpr milliseconds kGrace{4000};
// All faults of a plan end within this time.
constexpr milliseconds kRecoveryTimeout{20'000};
constexpr milliseconds kStoreDelay{700};
constexpr milliseconds kWriteDelay{4000};
// Within this time after a restoration, lost rows have been written again.
constexpr milliseconds kRewriteTime{500};
// Time in which all hosts learn of a deadly request, and some more.
constexpr milliseconds kDeadlyTime{2500};
constexpr size_t kCallersPerHost = 4;
constexpr size_t kMaxViolations = 200;
constexpr const char* kStoreIp = ".250";
constexpr const char* kEndpointIp = ".251";
constexpr uint16_t kStorePort = 7000;

// A loopback network derived from the process id, so that concurrent runs don't
// collide.
std::string OwnNet() {
  constexpr pid_t kFirstOctet = 16;
  constexpr pid_t kOctets = 200;
  constexpr pid_t kNumbers = 250;
  const pid_t pid = getpid();
  return "127." + std::to_string(kFirstOctet + pid / kNumbers % kOctets) + "." +
         std::to_string(pid % kNumbers);
}

Bounds BoundsOfRun() {
  Bounds bounds;
  bounds.grace = kGrace;
  return bounds;
}

LinkState LinkStateOf(Plan kind) {
  switch (kind) {
    case Plan::kLinkOneWayOut:
      return LinkState::kOneWayOut;
    case Plan::kLinkOneWayBack:
      return LinkState::kOneWayBack;
    case Plan::kLinkReset:
    case Plan::kStoreLinkReset:
      return LinkState::kRefusing;
    case Plan::kLinkSlow:
      return LinkState::kSlow;
    default:
      return LinkState::kSilent;
  }
}

}  // namespace

SoakRun::SoakRun(SoakOptions options)
    : options_(std::move(options)),
      plan_(DrawFaultPlan(options_.seed, options_.span)),
      checker_(BoundsOfRun(), {}) {}

base::Result<std::unique_ptr<SoakRun>> SoakRun::Create(SoakOptions options) {
  std::unique_ptr<SoakRun> run(new SoakRun(std::move(options)));
  TRY(run->SetUp());
  return run;
}

base::Result<void> SoakRun::SetUp() {
  std::error_code ec;
  std::filesystem::remove_all(options_.folder, ec);
  std::filesystem::create_directories(options_.folder, ec);
  if (ec)
    return base::Error{ec, base::Step::kReport, options_.folder, ec.message()};
  const std::string net = OwnNet();
  TRY(store, standins::RowStoreStandin::Create(reactor_,
                                               {net + kStoreIp, kStorePort}));
  store_ = std::move(store);
  ChangeConfiguration();
  TRY(endpoints, EndpointFleet::Create(reactor_, *store_, checker_, trail_,
                                       net + kEndpointIp, {}));
  endpoints_ = std::move(endpoints);
  TRY(hosts,
      HostFleet::Create(reactor_, checker_, trail_,
                        {options_.hosts, options_.program, options_.folder, net,
                         store_->address(), kGrace, options_.injected_defect}));
  hosts_ = std::move(hosts);
  for (const CallerAddresses& addresses : hosts_->addresses()) {
    for (size_t i = 0; i < kCallersPerHost; ++i)
      callers_.push_back(std::make_unique<Caller>(
          reactor_, checker_, trail_, keys_, deadly_, addresses.host,
          i % 2 == 0 ? addresses.direct : addresses.via_relay,
          callers_.size() + 1));
  }
  return base::Success();
}

std::vector<std::string> SoakRun::logs() const {
  std::vector<std::string> logs;
  for (const std::string& name : hosts_->names())
    logs.push_back(options_.folder + "/" + name + ".log");
  return logs;
}

void SoakRun::RunTurn() {
  reactor_.RunOnce(kTurn);
  const base::TimePoint now = reactor_.Now();
  endpoints_->Poll(now);
  hosts_->Reap(now);
}

bool SoakRun::RunUntil(const std::function<bool()>& is_done,
                       milliseconds longest) {
  const base::TimePoint end = reactor_.Now() + longest;
  while (!is_done()) {
    if (reactor_.Now() >= end || is_interrupted_() ||
        checker_.violations().size() > kMaxViolations)
      return false;
    RunTurn();
  }
  return true;
}

bool SoakRun::HasRecovered() {
  checker_.CheckRecovery(reactor_.Now());
  return checker_.has_recovered();
}

void SoakRun::Run(const std::function<bool()>& is_interrupted) {
  is_interrupted_ = is_interrupted;
  for (const auto& caller : callers_)
    caller->Begin();
  const auto recover = [this] {
    checker_.BeginRecovery(hosts_->names(), reactor_.Now());
    RunUntil([this] { return HasRecovered(); }, kRecoveryTimeout);
  };
  recover();
  hosts_->InjectDefect();
  for (const PlannedFault& fault : plan_)
    timers_.After(fault.at, [this, fault] { Begin(fault); });
  RunUntil([] { return false; }, options_.span);
  RunUntil([this] { return checker_.is_undisturbed(reactor_.Now()); },
           kRecoveryTimeout);
  recover();
  hosts_->StopAll();
  RunUntil([this] { return hosts_->are_all_gone(); }, kGrace * 2);
}

void SoakRun::Begin(const PlannedFault& fault) {
  trail_.Add(reactor_.Now(), "fault: " + ToText(fault));
  switch (fault.kind) {
    case Plan::kConfiguration:
      ChangeConfiguration();
      return;
    case Plan::kKeyWithdrawn:
      ChangeKey();
      return;
    case Plan::kStoreDown:
    case Plan::kStoreSlow:
    case Plan::kStoreFrozen:
    case Plan::kStoreLosesAnswers:
    case Plan::kStoreForgets:
    case Plan::kStoreRestored:
    case Plan::kStorePerformsLate:
      BeginAtStore(fault);
      return;
    case Plan::kEndpointLeaves:
    case Plan::kEndpointDies:
    case Plan::kEndpointMisbehaves:
      BeginAtEndpoint(fault);
      return;
    case Plan::kDeadlyRequest:
      BeginDeadlyRequest(fault);
      return;
    default:
      BeginAtHost(fault);
      return;
  }
}

void SoakRun::BeginAtHost(const PlannedFault& fault) {
  switch (fault.kind) {
    case Plan::kStop:
      hosts_->Stop(fault.target, fault.lasts);
      return;
    case Plan::kReload:
      hosts_->Reload(fault.target);
      return;
    case Plan::kKill:
      hosts_->Kill(fault.target, fault.lasts);
      return;
    case Plan::kFreeze:
      hosts_->Freeze(fault.target, fault.lasts);
      return;
    case Plan::kStoreLinkSilent:
    case Plan::kStoreLinkReset:
      hosts_->Disturb(fault.target, HostLink::kStore, LinkStateOf(fault.kind),
                      fault.lasts);
      return;
    default:
      hosts_->Disturb(fault.target, HostLink::kCallers, LinkStateOf(fault.kind),
                      fault.lasts);
      return;
  }
}

void SoakRun::BeginAtStore(const PlannedFault& fault) {
  switch (fault.kind) {
    case Plan::kStoreDown:
      DisturbStore({StoreFault::kDown}, fault.lasts);
      return;
    case Plan::kStoreSlow:
      DisturbStore({StoreFault::kSlow, kStoreDelay}, fault.lasts);
      return;
    case Plan::kStoreFrozen:
      DisturbStore({StoreFault::kFrozen}, fault.lasts);
      return;
    case Plan::kStoreLosesAnswers:
      DisturbStore({StoreFault::kAnswerLost}, fault.lasts);
      return;
    case Plan::kStoreRestored:
      RestoreStoreAfter(fault.lasts);
      return;
    case Plan::kStorePerformsLate:
      PerformWritesLate(fault.lasts);
      return;
    default:
      store_->ForgetHistory();
      checker_.BeginDisturbance(kStorePart);
      checker_.EndDisturbance(kStorePart, reactor_.Now());
      return;
  }
}

// What is written in the meantime is lost. The operators' and endpoints' rows
// are written again soon afterwards.
void SoakRun::RestoreStoreAfter(milliseconds time) {
  checker_.BeginDisturbance(kStorePart);
  timers_.After(time, [this, copy = store_->TakeCopy()] {
    store_->Restore(copy);
    timers_.After(kRewriteTime, [this] {
      checker_.EndDisturbance(kStorePart, reactor_.Now());
    });
  });
}

void SoakRun::PerformWritesLate(milliseconds lasts) {
  checker_.BeginDisturbance(kStorePart);
  store_->PerformLate(kWriteDelay, lasts);
  timers_.After(lasts + kWriteDelay, [this] {
    checker_.EndDisturbance(kStorePart, reactor_.Now());
  });
}

// A new fault replaces the previous one, and stays until the timer of the last
// one expires.
void SoakRun::DisturbStore(standins::Fault fault, milliseconds lasts) {
  checker_.BeginDisturbance(kStorePart);
  store_->InjectFault(fault);
  timers_.After(lasts, [this, n = ++last_store_fault_] {
    if (n == last_store_fault_)
      store_->InjectFault({});
    checker_.EndDisturbance(kStorePart, reactor_.Now());
  });
}

void SoakRun::BeginAtEndpoint(const PlannedFault& fault) {
  switch (fault.kind) {
    case Plan::kEndpointLeaves:
      endpoints_->Leave(fault.target);
      return;
    case Plan::kEndpointDies:
      endpoints_->Die(fault.target, fault.lasts);
      return;
    default:
      endpoints_->Misbehave(fault.target, fault.lasts);
      return;
  }
}

void SoakRun::BeginDeadlyRequest(const PlannedFault& fault) {
  const auto kind =
      fault.target % 2 == 0 ? RequestKind::kRead : RequestKind::kBook;
  const std::string number = std::to_string(++last_deadly_);
  deadly_ = DeadlyRequest{
      kind, "/" + std::string(ToText(kind)) + "/" + kDeadlyMark + number};
  timers_.After(fault.lasts + kDeadlyTime, [this, n = last_deadly_] {
    if (n == last_deadly_)
      deadly_.reset();
  });
}

void SoakRun::ChangeConfiguration() {
  store_->Put(standins::kOperatorRows, standins::kConfigurationRow,
              standins::KeyedConfiguration(++revision_,
                                           {keys_.lasting, keys_.changing}));
}

void SoakRun::ChangeKey() {
  keys_.withdrawn = keys_.changing;
  keys_.changing = "key-c" + std::to_string(++last_key_);
  ChangeConfiguration();
  const base::TimePoint now = reactor_.Now();
  checker_.NoteKeyAdded(keys_.changing, now);
  checker_.NoteKeyWithdrawn(*keys_.withdrawn, now);
  trail_.Add(now, *keys_.withdrawn + " is withdrawn");
}

}  // namespace bilberry::soak
