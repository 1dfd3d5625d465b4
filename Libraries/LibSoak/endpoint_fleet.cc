#include "LibSoak/endpoint_fleet.h"

#include <algorithm>
#include <array>
#include <utility>

namespace bilberry::soak {

namespace {

using standins::EndpointFault;
using standins::EntryState;
using standins::PieceEndpointStandin;
using std::chrono::milliseconds;

constexpr milliseconds kWriteInterval{1000};
// How long an endpoint that has announced its departure still serves.
constexpr milliseconds kLeaveTime{4000};
// Time before an address is reused, by any pool.
constexpr milliseconds kReuseTime{2000};
// Requests in a row that an endpoint treats wrongly; of broken answers each
// form comes, some of them behind others.
constexpr uint32_t kFaultCount = 3;
constexpr uint32_t kBrokenAnswerCount = 20;
constexpr milliseconds kService{15};
constexpr milliseconds kEventGap{10};

// Software versions that serve side by side in each pool.
constexpr uint64_t kVersions = 2;
constexpr std::array kPools{"desk", "llm", "maker"};
constexpr std::array kZones{"z1", "z2", "z3"};

constexpr std::array kEndpointFaults{
    EndpointFault::kRefuses,      EndpointFault::kFails,
    EndpointFault::kNamesAnother, EndpointFault::kUnsealed,
    EndpointFault::kBreaks,       EndpointFault::kCutsStream,
    EndpointFault::kHangs,        EndpointFault::kSendsBroken};

}  // namespace

EndpointFleet::EndpointFleet(transport::Reactor& reactor,
                             standins::RowStoreStandin& store,
                             InvariantChecker& checker,
                             EventTrail& trail,
                             std::string ip,
                             AnswerShape shape)
    : reactor_(reactor),
      timers_(reactor),
      store_(store),
      checker_(checker),
      trail_(trail),
      ip_(std::move(ip)),
      shape_(shape) {}

base::Result<std::unique_ptr<EndpointFleet>> EndpointFleet::Create(
    transport::Reactor& reactor,
    standins::RowStoreStandin& store,
    InvariantChecker& checker,
    EventTrail& trail,
    std::string ip,
    AnswerShape shape) {
  std::unique_ptr<EndpointFleet> fleet(
      new EndpointFleet(reactor, store, checker, trail, std::move(ip), shape));
  for (const char* pool : kPools) {
    for (const char* zone : kZones) {
      TRY(fleet->Add(pool, zone, 0));
    }
  }
  fleet->WriteAll();
  return fleet;
}

base::Result<void> EndpointFleet::Add(const std::string& pool,
                                      const std::string& zone,
                                      uint16_t port) {
  standins::PieceEndpointModel model;
  model.name.value = pool + "-" + std::to_string(++last_number_);
  model.service = kService;
  model.event_gap = kEventGap;
  model.events = shape_.events;
  model.answer_padding = shape_.padding;
  model.names_requests = true;
  model.software_version = "v" + std::to_string(last_number_ % kVersions + 1);
  model.needs_inputs = pool == "llm";
  model.crash_mark = kDeadlyMark;
  auto member = std::make_unique<Member>();
  TRY(endpoint, PieceEndpointStandin::Create(reactor_, {ip_, port}, model));
  member->endpoint = std::move(endpoint);
  PieceEndpointStandin* raw = member->endpoint.get();
  raw->SetOnDeath([this] { checker_.BeginDisturbance(kEndpointsPart); });
  raw->SetOnRestart([this, raw](const base::EndpointName& earlier) {
    NoteRestarted(earlier, raw->model().name.value);
  });
  member->pool = pool;
  member->zone = zone;
  Write(*member);
  members_.push_back(std::move(member));
  return base::Success();
}

void EndpointFleet::NoteRestarted(const base::EndpointName& earlier,
                                  const std::string& name) {
  trail_.Add(reactor_.Now(), earlier.value + " is back as " + name);
  store_.Remove(standins::kEndpointRows, earlier.value);
  checker_.EndDisturbance(kEndpointsPart, reactor_.Now());
  Member& member = *Find(name);
  if (member.state == EntryState::kReady)
    Write(member);
  else
    timers_.After(milliseconds(0), [this, name] { Remove(name); });
}

// An endpoint that is removed while it is down doesn't come back.
void EndpointFleet::EndOutageOf(const Member& member) {
  if (member.endpoint->is_down())
    checker_.EndDisturbance(kEndpointsPart, reactor_.Now());
}

// If the address is in use by now, takes another one.
void EndpointFleet::AddAgain(const std::string& pool, const std::string& zone) {
  uint16_t port = 0;
  if (!free_ports_.empty()) {
    port = free_ports_.back();
    free_ports_.pop_back();
  }
  if (Add(pool, zone, port) || Add(pool, zone, 0))
    return;
  trail_.Add(reactor_.Now(), "no endpoint could be created for " + pool);
}

void EndpointFleet::FreeLater(uint16_t port) {
  timers_.After(kReuseTime, [this, port] { free_ports_.push_back(port); });
}

void EndpointFleet::Write(Member& member) {
  store_.Put(standins::kEndpointRows, member.endpoint->model().name.value,
             standins::EndpointEntry(*member.endpoint, member.pool, member.zone,
                                     member.state, ++member.sequence));
}

void EndpointFleet::WriteAll() {
  for (const auto& member : members_) {
    if (!member->endpoint->is_down())
      Write(*member);
  }
  timers_.After(kWriteInterval, [this] { WriteAll(); });
}

void EndpointFleet::Poll(base::TimePoint now) {
  for (const auto& member : members_)
    PollMember(*member, now);
}

void EndpointFleet::PollMember(Member& member, base::TimePoint now) {
  const auto& arrivals = member.endpoint->arrivals();
  for (; member.polled < arrivals.size(); ++member.polled) {
    const standins::Arrival& it = arrivals[member.polled];
    const std::string id = standins::RequestIdOf(it);
    const std::string& name = member.endpoint->model().name.value;
    const std::string what = it.has_run ? " runs at " : " is refused by ";
    trail_.Add(now, std::string(id).append(what).append(name));
    if (it.has_run)
      checker_.NoteRun({id, name, member.pool, it.method, it.target, now});
  }
}

EndpointFleet::Member* EndpointFleet::Find(const std::string& name) {
  const auto it = std::ranges::find_if(members_, [&](const auto& member) {
    return member->endpoint->model().name.value == name;
  });
  return it == members_.end() ? nullptr : it->get();
}

EndpointFleet::Member& EndpointFleet::Pick(uint64_t target) {
  std::vector<Member*> ready;
  for (const auto& member : members_) {
    if (member->state == EntryState::kReady)
      ready.push_back(member.get());
  }
  return *ready.at(target % ready.size());
}

void EndpointFleet::Remove(const std::string& name) {
  Member* member = Find(name);
  if (member == nullptr)
    return;
  PollMember(*member, reactor_.Now());
  EndOutageOf(*member);
  FreeLater(member->endpoint->address().port);
  store_.Remove(standins::kEndpointRows, name);
  std::erase_if(members_, [&](const auto& it) { return it.get() == member; });
}

void EndpointFleet::Leave(uint64_t target) {
  Member& member = Pick(target);
  const std::string name = member.endpoint->model().name.value;
  trail_.Add(reactor_.Now(), name + " leaves");
  member.state = EntryState::kDraining;
  Write(member);
  checker_.NoteLeaving(name, reactor_.Now());
  AddAgain(member.pool, member.zone);
  timers_.After(kLeaveTime, [this, name] { Remove(name); });
}

// The dead endpoint's entry stays in the store until the replacement is added.
void EndpointFleet::Die(uint64_t target, milliseconds lasts) {
  Member& member = Pick(target);
  if (std::ranges::count_if(members_, [&](const auto& it) {
        return it->pool == member.pool && it->state == EntryState::kReady;
      }) < 2)
    return;
  const std::string name = member.endpoint->model().name.value;
  trail_.Add(reactor_.Now(), name + " dies");
  checker_.BeginDisturbance(kEndpointsPart);
  EndOutageOf(member);
  FreeLater(member.endpoint->address().port);
  timers_.After(lasts, [this, name, pool = member.pool, zone = member.zone] {
    store_.Remove(standins::kEndpointRows, name);
    AddAgain(pool, zone);
    checker_.EndDisturbance(kEndpointsPart, reactor_.Now());
  });
  PollMember(member, reactor_.Now());
  std::erase_if(members_, [&](const auto& it) { return it.get() == &member; });
}

void EndpointFleet::Misbehave(uint64_t target, milliseconds lasts) {
  Member& member = Pick(target);
  const std::string name = member.endpoint->model().name.value;
  const size_t fault = target / members_.size() % kEndpointFaults.size();
  trail_.Add(reactor_.Now(),
             name + " misbehaves, fault " + std::to_string(fault));
  const EndpointFault kind = kEndpointFaults.at(fault);
  member.endpoint->InjectFault(kind, kind == EndpointFault::kSendsBroken
                                         ? kBrokenAnswerCount
                                         : kFaultCount);
  checker_.BeginDisturbance(kEndpointsPart);
  timers_.After(lasts, [this, name] {
    if (Member* it = Find(name))
      it->endpoint->InjectFault(EndpointFault::kNone, 0);
    checker_.EndDisturbance(kEndpointsPart, reactor_.Now());
  });
}

}  // namespace bilberry::soak
