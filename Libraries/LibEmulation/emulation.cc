#include "LibEmulation/emulation.h"

#include <algorithm>
#include <utility>

namespace bilberry::emulation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Lets the hosts discover each other before the first callers arrive.
constexpr seconds kDiscoveryTime{2};
// Lets the last callers and their retries complete.
constexpr seconds kDrainTime{60};
constexpr milliseconds kStoreDelay{4};
// Time in which a host that was frozen or partitioned catches up.
constexpr seconds kCatchUpTime{3};
// Timeout of a store sync request to a host that doesn't answer.
constexpr milliseconds kStoreSyncTimeout{600};
// As the shell's.
constexpr milliseconds kConnectTimeout{400};
constexpr milliseconds kUserTimeout{1500};
// Ids of callers whose requests other hosts pass on.
constexpr uint64_t kFirstCarriedCaller = uint64_t{1} << 63;
// Incarnation of all endpoints; none of them restarts.
constexpr base::Incarnation kIncarnation{1};
// One-way delay between a caller and its host.
constexpr milliseconds kCallerDelay{1};
// Rate at which endpoints fetch results.
constexpr double kFetchBytesPerMicrosecond = 1250;
constexpr uint16_t kPort = 80;
constexpr int kUnavailable = 503;
constexpr int kMisdirected = 421;
constexpr uint64_t kHostsPerByte = 250;

base::SocketAddress AddressOf(int network, size_t index) {
  return {"10." + std::to_string(network) + "." +
              std::to_string(index / kHostsPerByte) + "." +
              std::to_string(index % kHostsPerByte + 1),
          kPort};
}

// Attempt numbers are unique only within their host.
uint64_t AttemptKey(size_t host, const base::AttemptId& attempt) {
  constexpr uint64_t kMostAttempts = 100'000'000;
  return host * kMostAttempts + attempt.number;
}

}  // namespace

Emulation::Emulation(LoadScenario scenario, EmulationOptions options)
    : scenario_(std::move(scenario)),
      options_(options),
      random_(options.seed),
      configuration_(ConfigurationOf(scenario_)),
      callers_(timeline_, scenario_, report_, options.seed + 1) {
  report_.scenario = scenario_.name;
  report_.hosts = scenario_.hosts;
  report_.lasted = scenario_.lasts;
  AddPieceEndpoints();
  AddEngines();
  AddHosts();
}

base::ZoneName Emulation::ZoneOf(size_t index) const {
  return {"zone-" + std::to_string(index % scenario_.zones)};
}

base::Duration Emulation::DelayBetween(const base::ZoneName& left,
                                       const base::ZoneName& right) const {
  return left == right ? scenario_.in_zone : scenario_.between_zones;
}

void Emulation::AddPieceEndpoints() {
  size_t index = 0;
  for (const PiecePool& pool : scenario_.piece_pools) {
    PoolTally& tally = report_.pools[pool.name];
    tally.endpoints = pool.endpoints;
    tally.pieces_per_call = pool.limits.pieces_per_call;
    for (uint32_t i = 0; i < pool.endpoints; ++i) {
      const forward::ListedEndpoint listed{
          {pool.name + "-" + std::to_string(i)},
          {pool.name},
          ZoneOf(i),
          AddressOf(1, index++),
          forward::EndpointState::kServing,
          kIncarnation};
      piece_endpoints_.push_back(std::make_unique<EmulatedPieceEndpoint>(
          timeline_, listed, pool.limits, tally, random_.Next()));
      piece_endpoints_by_address_[listed.address] =
          piece_endpoints_.back().get();
      notices_.Add(listed.name, i);
      cold_endpoints_.Add(listed, i);
    }
  }
}

void Emulation::AddEngines() {
  for (uint32_t i = 0; i < scenario_.engines.endpoints; ++i) {
    const forward::ListedEndpoint listed{
        {scenario_.engines.name + "-" + std::to_string(i)},
        {scenario_.engines.name},
        ZoneOf(i),
        AddressOf(2, i),
        forward::EndpointState::kServing,
        kIncarnation};
    engines_.push_back(std::make_unique<EmulatedEngine>(
        listed, scenario_.engines, i, options_.seed));
    engines_by_name_[listed.name] = engines_.back().get();
    notices_.Add(listed.name, i);
    cold_endpoints_.Add(listed, i);
  }
}

HostKind Emulation::KindOf(uint32_t host) const {
  for (const HostKind& kind : scenario_.host_kinds) {
    if (host < kind.count)
      return kind;
    host -= kind.count;
  }
  return {};
}

void Emulation::AddHosts() {
  for (uint32_t i = 0; i < scenario_.hosts; ++i) {
    Host host;
    const HostKind kind = KindOf(i);
    host.self = {{"host-" + std::to_string(i)},
                 AddressOf(3, i),
                 ZoneOf(i),
                 kind.cores,
                 kind.link_mbps};
    forward::ForwardOptions options;
    options.own = host.self;
    options.incarnation = base::Incarnation{i + 1};
    options.seed = random_.Next();
    options.shares_calls = options_.shares_calls;
    if (scenario_.retry_allowance > 0)
      options.retry_allowance = scenario_.retry_allowance;
    options.cold_bound = {scenario_.cold_factor, scenario_.cold_allowance};
    host.node = std::make_unique<forward::ForwardNode>(options);
    hosts_.push_back(std::move(host));
  }
}

EmulationReport Emulation::Run() {
  for (size_t i = 0; i < hosts_.size(); ++i)
    Deliver(i, forward::TimerDue{});
  timeline_.RunUntil(timeline_.now() + kDiscoveryTime);
  notices_.Begin(timeline_.now());
  cold_endpoints_.Begin(timeline_.now());
  callers_.Begin(
      [this](forward::ForwardedRequest it) { SendToHost(std::move(it)); },
      [this](base::CallerId id) {
        const auto it = host_of_caller_.find(id);
        if (it != host_of_caller_.end())
          DeliverAfter(kCallerDelay, it->second,
                       forward::CallerDisconnected{id});
      });
  for (const HostCrash& loss : scenario_.crashes)
    timeline_.After(loss.at, [this, loss] { CrashHost(loss.host); });
  for (const HostFreeze& freeze : scenario_.freezes)
    timeline_.After(freeze.at, [this, freeze] { Freeze(freeze); });
  for (const HostPartition& cut : scenario_.partitions)
    timeline_.After(cut.at, [this, cut] {
      Host& host = hosts_.at(cut.host);
      host.partitioned_until = timeline_.now() + cut.lasts;
      host.in_touch_from = host.partitioned_until + kCatchUpTime;
      notices_.Exempt(cut.host);
    });
  cuts_.Begin(timeline_.now());
  for (const EndpointCut& cut : scenario_.endpoint_cuts)
    timeline_.After(cut.at, [this, cut] { BreakAttempts(cut.host); });
  crashes_.Begin(timeline_.now());
  deadly_callers_.Begin(
      [this](forward::ForwardedRequest it) { SendToHost(std::move(it)); });
  BeginEngineEnds();
  timeline_.RunUntil(timeline_.now() + scenario_.lasts);
  report_.store_calls = store_calls_;
  timeline_.RunUntil(timeline_.now() + kDrainTime);
  for (const auto& producer : piece_endpoints_)
    producer->CountUnreadResults();
  for (const Host& host : hosts_) {
    report_.messages += host.messages;
    report_.most_messages = std::max(report_.most_messages, host.messages);
  }
  return std::move(report_);
}

void Emulation::CrashHost(size_t host) {
  hosts_.at(host).is_alive = false;
  std::vector<base::CallerId> callers;
  for (const auto& [caller, at] : host_of_caller_) {
    if (at == host)
      callers.push_back(caller);
  }
  for (const base::CallerId caller : callers)
    callers_.NoteFailed(caller);
}

void Emulation::BeginEngineEnds() {
  for (uint32_t i = 0; i < scenario_.engine_ends.count; ++i) {
    timeline_.After(
        scenario_.engine_ends.at + scenario_.engine_ends.interval * i,
        [this, i] { EndEngine(*engines_.at(i % engines_.size())); });
  }
}

void Emulation::RestartLater(const base::EndpointName& endpoint) {
  timeline_.After(scenario_.restart_time, [this, endpoint] {
    crashes_.NoteRestart(endpoint);
    cold_endpoints_.Relist(endpoint, crashes_.IncarnationOf(endpoint),
                           timeline_.now());
  });
}

void Emulation::EndEngine(EmulatedEngine& engine) {
  if (!crashes_.IsDown(engine.listed().name))
    crashes_.NoteEnd(engine.listed().name);
  std::vector<uint64_t> broken;
  for (const auto& [key, attempt] : attempts_) {
    if (attempt.engine == &engine)
      broken.push_back(key);
  }
  for (const uint64_t key : broken) {
    const Attempt attempt = attempts_.at(key);
    crashes_.NoteBystander(attempt.request_id);
    EndAttempt(key);
    DeliverAfter(
        DelayBetween(hosts_[attempt.host].self.zone, engine.listed().zone),
        attempt.host,
        forward::AttemptFailure{attempt.id,
                                forward::AttemptFailureKind::kBroken,
                                "the engine ended"});
  }
  RestartLater(engine.listed().name);
}

void Emulation::CrashPieceEndpoint(size_t host,
                                   EmulatedPieceEndpoint& producer,
                                   const forward::StageCall& call,
                                   const std::string& request_id) {
  crashes_.NoteCrash(producer.listed().name, request_id, IsInTouch(host),
                     timeline_.now());
  for (const forward::PieceRequest& piece : call.pieces)
    crashes_.NoteBystander(piece.request_id);
  producer.Crash();
  RestartLater(producer.listed().name);
}

// A frozen host looks to others like one with a busy processor.
void Emulation::Freeze(const HostFreeze& freeze) {
  base::TimePoint& busy_until = hosts_.at(freeze.host).busy_until;
  busy_until = std::max(busy_until, timeline_.now()) + freeze.lasts;
  hosts_.at(freeze.host).in_touch_from = busy_until + kCatchUpTime;
  notices_.Exempt(freeze.host);
}

bool Emulation::IsInTouch(size_t host) const {
  return timeline_.now() >= hosts_[host].in_touch_from;
}

base::Duration Emulation::ConnectTimeOf(size_t host) const {
  const bool refuses = std::ranges::any_of(
      scenario_.endpoint_cuts,
      [host](const EndpointCut& it) { return it.host == host && it.refuses; });
  return refuses ? base::Duration(milliseconds(2)) : kConnectTimeout;
}

// Data that isn't acknowledged ends a connection.
void Emulation::BreakAttempts(size_t host) {
  std::vector<uint64_t> broken;
  for (const auto& [key, attempt] : attempts_) {
    if (attempt.host == host)
      broken.push_back(key);
  }
  for (const uint64_t key : broken) {
    const base::AttemptId id = attempts_.at(key).id;
    EndAttempt(key);
    DeliverAfter(
        kUserTimeout, host,
        forward::AttemptFailure{id, forward::AttemptFailureKind::kBroken,
                                "the link is cut"});
  }
}

bool Emulation::IsPartitioned(size_t host) const {
  return timeline_.now() < hosts_[host].partitioned_until;
}

void Emulation::Deliver(size_t host, forward::Event event) {
  if (!hosts_[host].is_alive)
    return;
  const forward::Actions actions =
      hosts_[host].node->Handle(std::move(event), timeline_.now());
  for (const forward::Action& action : actions)
    std::visit([this, host](const auto& it) { Execute(host, it); }, action);
  ScheduleWakeup(host);
}

void Emulation::DeliverAfter(base::Duration delay,
                             size_t host,
                             forward::Event event) {
  timeline_.After(delay, [this, host, event = std::move(event)] {
    Process(host, MessageTimeOf(host),
            [this, host, event] { Deliver(host, event); });
  });
}

base::Duration Emulation::MessageTimeOf(size_t host) const {
  return base::Duration(
      static_cast<int64_t>(static_cast<double>(scenario_.message_time.count()) /
                           hosts_[host].self.capacity));
}

void Emulation::Process(size_t host,
                        base::Duration work_time,
                        std::function<void()> work) {
  base::TimePoint& busy_until = hosts_[host].busy_until;
  busy_until = std::max(busy_until, timeline_.now()) + work_time;
  if (busy_until == timeline_.now())
    work();
  else
    timeline_.At(busy_until, std::move(work));
}

void Emulation::ScheduleWakeup(size_t index) {
  Host& host = hosts_[index];
  const auto next = host.node->NextWakeup();
  if (!next || (host.wakes_at && *host.wakes_at <= *next))
    return;
  const base::TimePoint time = std::max(*next, timeline_.now());
  host.wakes_at = time;
  timeline_.At(time, [this, index, time] {
    if (hosts_[index].wakes_at != time)
      return;
    Process(index, base::Duration(0), [this, index] {
      hosts_[index].wakes_at.reset();
      Deliver(index, forward::TimerDue{});
    });
  });
}

std::optional<size_t> Emulation::DrawLiveHost() {
  std::vector<size_t> live;
  for (size_t i = 0; i < hosts_.size(); ++i) {
    if (hosts_[i].is_alive)
      live.push_back(i);
  }
  if (live.empty())
    return std::nullopt;
  // Draws a second number only if callers are spread unevenly, so that the
  // random sequence of all other scenarios stays as it is.
  const bool is_of_few = scenario_.share_at_busy_hosts > 0 &&
                         random_.Fraction() < scenario_.share_at_busy_hosts;
  const size_t few = std::max<size_t>(live.size() / 5, 1);
  return live[random_.Below(is_of_few ? few : live.size())];
}

void Emulation::SendToHost(forward::ForwardedRequest request) {
  const auto host = DrawLiveHost();
  if (!host)
    return;
  host_of_caller_[request.caller] = *host;
  request_of_caller_[request.caller] = request.request_id;
  retries_.NoteRequest(request.request_id, timeline_.now());
  if (std::ranges::all_of(request.piece_counts,
                          [](uint32_t it) { return it == 0; }))
    unsent_[request.caller] = timeline_.now() + kCallerDelay;
  cuts_.NoteRequest(request.caller, *host, timeline_.now());
  DeliverAfter(kCallerDelay, *host, std::move(request));
}

std::optional<size_t> Emulation::FindHost(
    const base::SocketAddress& address) const {
  const auto it = std::ranges::find_if(
      hosts_, [&](const Host& it) { return it.self.address == address; });
  if (it == hosts_.end())
    return std::nullopt;
  return static_cast<size_t>(it - hosts_.begin());
}

void Emulation::DeliverToPeer(size_t from, size_t to, forward::Event event) {
  if (IsPartitioned(from) || IsPartitioned(to))
    return;
  ++hosts_[to].messages;
  DeliverAfter(DelayBetween(hosts_[from].self.zone, hosts_[to].self.zone), to,
               std::move(event));
}

bool Emulation::Reaches(size_t host, const forward::SendAttempt& action) {
  if (IsCut(host)) {
    DeliverAfter(ConnectTimeOf(host), host,
                 forward::AttemptFailure{
                     action.attempt, forward::AttemptFailureKind::kUnreachable,
                     "the link is cut"});
    return false;
  }
  const EmulatedEngine& engine = *engines_by_name_.at(action.endpoint);
  const base::Duration delay =
      DelayBetween(hosts_[host].self.zone, engine.listed().zone);
  if (crashes_.IsDown(action.endpoint)) {
    DeliverAfter(delay * 2, host,
                 forward::AttemptFailure{
                     action.attempt, forward::AttemptFailureKind::kUnreachable,
                     "no process"});
    return false;
  }
  if (crashes_.IncarnationOf(action.endpoint) == action.incarnation)
    return true;
  forward::AnswerHead refusal;
  refusal.status = kMisdirected;
  refusal.echoed_request_id = action.request->request_id;
  refusal.reported_not_run = true;
  DeliverAfter(delay * 2, host,
               forward::AttemptAnswer{action.attempt, refusal, ""});
  return false;
}

void Emulation::Execute(size_t host,
                        const forward::CheckEndpointHealth& action) {
  if (IsCut(host)) {
    DeliverAfter(ConnectTimeOf(host), host,
                 forward::EndpointHealthChecked{
                     action.endpoint.name, action.endpoint.incarnation,
                     forward::HealthCheckResult::kUnknown});
    return;
  }
  const base::Duration delay =
      DelayBetween(hosts_[host].self.zone, action.endpoint.zone);
  timeline_.After(delay, [this, host, delay, endpoint = action.endpoint] {
    DeliverAfter(
        delay, host,
        forward::EndpointHealthChecked{endpoint.name, endpoint.incarnation,
                                       crashes_.Check(endpoint)});
  });
}

void Emulation::NoteSent(const forward::ForwardedRequest& request) {
  const auto node = unsent_.extract(request.caller);
  if (!node.empty())
    report_.longest_send_wait =
        std::max(report_.longest_send_wait, timeline_.now() - node.mapped());
}

void Emulation::EndAnswerAt(base::TimePoint time,
                            const EmulatedStream& stream) {
  timeline_.At(time, [this, key = stream.key, host = stream.host,
                      attempt = stream.attempt, head = stream.head] {
    if (!attempts_.contains(key))
      return;
    EndAttempt(key);
    DeliverAfter(base::Duration(0), host,
                 forward::AttemptAnswer{attempt, head, ""});
  });
}

// Prefills that arrive before the next event is due put it off.
void Emulation::ContinueStream(EmulatedStream stream) {
  const auto it = attempts_.find(stream.key);
  if (it == attempts_.end())
    return;
  const EmulatedEngine& engine = *it->second.engine;
  const base::TimePoint next = engine.NextEvent(stream.last, stream.event_time);
  if (next > timeline_.now()) {
    timeline_.At(
        next, [this, stream = std::move(stream)] { ContinueStream(stream); });
    return;
  }
  stream.longest_pause = std::max(stream.longest_pause, next - stream.last);
  stream.last = next;
  stream.event_time = engine.EventTimeAt(next);
  --stream.events;
  if (stream.events < 1) {
    callers_.NotePause(it->second.request_id, stream.longest_pause);
    EndAnswerAt(next + stream.delay, stream);
    return;
  }
  // Takes no processing time, like the events of other scenarios, which aren't
  // emulated one by one, but waits for its turn behind the first event.
  timeline_.After(stream.delay, [this, host = stream.host,
                                 attempt = stream.attempt] {
    Process(host, base::Duration(0), [this, host, attempt] {
      Deliver(host, forward::AttemptChunk{attempt, std::nullopt, "id: 0\n\n"});
    });
  });
  ContinueStream(std::move(stream));
}

void Emulation::Execute(size_t host, const forward::SendAttempt& action) {
  NoteSent(*action.request);
  if (!Reaches(host, action))
    return;
  EmulatedEngine* engine = engines_by_name_.at(action.endpoint);
  const base::Duration delay =
      DelayBetween(hosts_[host].self.zone, engine->listed().zone);
  notices_.NoteArrival(host, engine->listed(), timeline_.now() + delay);
  retries_.NoteArrival(action.request->request_id, timeline_.now());
  crashes_.NoteArrival(action.request->request_id, IsInTouch(host),
                       timeline_.now());
  timeline_.After(delay, [this, engine] {
    cold_endpoints_.NoteArrival(engine->listed(), timeline_.now());
  });
  if (notices_.RefusalTimeLeft(engine->listed(), timeline_.now() + delay)) {
    DeliverNotice(host, engine->listed(), timeline_.now(), delay * 2);
    forward::AnswerHead refusal;
    refusal.status = kUnavailable;
    refusal.echoed_request_id = action.request->request_id;
    refusal.reported_not_run = true;
    DeliverAfter(delay * 2, host,
                 forward::AttemptAnswer{action.attempt, refusal, ""});
    return;
  }
  const auto fetch = Fetch(action.inputs, engine->listed().zone);
  if (!fetch) {
    DeliverAfter(delay * 2, host,
                 forward::AttemptFailure{action.attempt,
                                         forward::AttemptFailureKind::kBroken,
                                         "an input is gone"});
    return;
  }
  const EngineTimes times = engine->Run(
      *action.request, callers_.EventsOf(action.request->request_id),
      timeline_.now() + delay + *fetch, prefilled_parts_);
  report_.tokens_prefilled_again += times.tokens_prefilled_again;
  const uint64_t key = AttemptKey(host, action.attempt);
  attempts_[key] = {host, action.request->caller, engine, action.attempt,
                    action.request->request_id};
  if (crashes_.CrashesEngines(action.request->request_id)) {
    CrashEngine(key, crashes_.HasDeadlyPart(action.request->request_id)
                         ? times.first_event
                         : timeline_.now() + delay);
    return;
  }
  forward::AnswerHead head;
  head.status = 200;
  head.echoed_request_id = action.request->request_id;
  head.is_sealed = true;
  const base::AttemptId attempt = action.attempt;
  const base::TimePoint sent_at = timeline_.now();
  timeline_.At(
      times.first_event + delay, [this, key, host, attempt, head, sent_at] {
        if (!attempts_.contains(key))
          return;
        DeliverNotice(host, attempts_[key].engine->listed(), sent_at,
                      base::Duration(0));
        DeliverAfter(base::Duration(0), host,
                     forward::AttemptChunk{attempt, head, "id: 0\n\n"});
      });
  EmulatedStream stream{key, host, attempt, head, delay, times.first_event};
  if (!scenario_.engines.holds_up_streams) {
    EndAnswerAt(times.end + delay, stream);
    return;
  }
  report_.first_events[action.endpoint.value].push_back(times.first_event +
                                                        delay - sent_at);
  stream.events = callers_.EventsOf(action.request->request_id);
  timeline_.At(times.first_event, [this, engine, stream]() mutable {
    stream.event_time = engine->EventTimeAt(stream.last);
    ContinueStream(stream);
  });
}

void Emulation::CrashEngine(uint64_t attempt, base::TimePoint at) {
  timeline_.At(at, [this, attempt] {
    const auto it = attempts_.find(attempt);
    if (it == attempts_.end())
      return;
    EmulatedEngine* engine = it->second.engine;
    crashes_.NoteCrash(engine->listed().name, it->second.request_id,
                       IsInTouch(it->second.host), timeline_.now());
    EndEngine(*engine);
  });
}

void Emulation::DeliverNotice(size_t host,
                              const forward::ListedEndpoint& endpoint,
                              base::TimePoint sent_at,
                              base::Duration delay) {
  const forward::EndpointNotice notice =
      notices_.NoticeFor(host, endpoint, timeline_.now());
  if (!notice.is_empty() || hosts_[host].node->KnowsLimitOf(endpoint.name))
    DeliverAfter(delay, host,
                 forward::EndpointNoticeReceived{
                     endpoint.name, endpoint.incarnation, notice, sent_at});
}

void Emulation::EndAttempt(uint64_t number) {
  const auto node = attempts_.extract(number);
  if (!node.empty())
    node.mapped().engine->NoteEnded();
}

void Emulation::Execute(size_t host, const forward::CarryRequest& action) {
  const auto to = FindHost(action.address);
  if (!to || !hosts_[*to].is_alive || IsPartitioned(host) ||
      IsPartitioned(*to)) {
    DeliverAfter(kConnectTimeout, host,
                 forward::AttemptFailure{
                     action.attempt, forward::AttemptFailureKind::kUnreachable,
                     "no answer"});
    return;
  }
  forward::ForwardedRequest request = *action.request;
  request.caller = base::CallerId{kFirstCarriedCaller + ++last_carried_};
  request.is_carried = true;
  request.budget = action.left;
  carried_[request.caller] = {host, *to, action.attempt, request.request_id};
  ++report_.carried_requests;
  DeliverToPeer(host, *to, std::move(request));
}

void Emulation::AnswerCarried(const CarriedRequest& carried,
                              forward::Event answer) {
  DeliverToPeer(carried.carrier, carried.from, std::move(answer));
}

std::optional<Emulation::CarriedRequest> Emulation::TakeCarried(
    base::CallerId caller) {
  auto node = carried_.extract(caller);
  if (node.empty())
    return std::nullopt;
  return std::move(node.mapped());
}

void Emulation::Execute(size_t host, const forward::ProbeEndpoint& action) {
  const bool is_connected =
      !IsCut(host) && !crashes_.IsDown(action.endpoint.name);
  DeliverAfter(
      IsCut(host)
          ? ConnectTimeOf(host)
          : DelayBetween(hosts_[host].self.zone, action.endpoint.zone) * 2,
      host,
      forward::EndpointProbed{action.endpoint.name, timeline_.now(),
                              is_connected});
}

void Emulation::Execute(size_t /*host*/,
                        const forward::StreamToCaller& action) {
  const auto it = carried_.find(action.caller);
  if (it != carried_.end())
    AnswerCarried(
        it->second,
        forward::AttemptChunk{it->second.attempt, std::nullopt, action.bytes});
}

void Emulation::Execute(size_t host, const forward::CancelAttempt& action) {
  EndAttempt(AttemptKey(host, action.attempt));
  const auto it = std::ranges::find_if(carried_, [&](const auto& entry) {
    return entry.second.from == host &&
           entry.second.attempt.number == action.attempt.number;
  });
  if (it == carried_.end())
    return;
  const auto [caller, carried] = *it;
  carried_.erase(it);
  DeliverToPeer(host, carried.carrier, forward::CallerDisconnected{caller});
}

void Emulation::Execute(size_t /*host*/, const forward::AnswerCaller& action) {
  if (const auto carried = TakeCarried(action.caller)) {
    if (action.code == forward::LocalAnswerCode::kCutOff) {
      AnswerCarried(*carried,
                    forward::AttemptFailure{
                        carried->attempt,
                        forward::AttemptFailureKind::kUnreachable, "declined"});
      return;
    }
    forward::AnswerHead head;
    head.status = kUnavailable;
    head.echoed_request_id = carried->request_id;
    AnswerCarried(*carried, forward::AttemptAnswer{carried->attempt, head, ""});
    return;
  }
  host_of_caller_.erase(action.caller);
  cuts_.NoteAnswered(action.caller, false);
  const bool may_have_run =
      action.code == forward::LocalAnswerCode::kAttemptFailed ||
      action.code == forward::LocalAnswerCode::kTimeout ||
      action.code == forward::LocalAnswerCode::kStageFailed;
  if (may_have_run)
    callers_.NoteFailed(action.caller);
  else
    callers_.NoteRefused(action.caller, action.retry_after);
}

// A refusal that a peer has given.
void Emulation::Execute(size_t /*host*/, const forward::ForwardAnswer& action) {
  host_of_caller_.erase(action.caller);
  cuts_.NoteAnswered(action.caller, false);
  callers_.NoteRefused(action.caller, std::nullopt);
}

void Emulation::Execute(size_t /*host*/, const forward::BeginStream& action) {
  if (const auto it = carried_.find(action.caller); it != carried_.end()) {
    AnswerCarried(it->second,
                  forward::AttemptChunk{it->second.attempt, action.head, ""});
    return;
  }
  callers_.NoteBegun(action.caller);
}

void Emulation::Execute(size_t /*host*/, const forward::EndStream& action) {
  if (const auto carried = TakeCarried(action.caller)) {
    if (action.outcome == forward::StreamOutcome::kCut) {
      AnswerCarried(*carried,
                    forward::AttemptFailure{
                        carried->attempt, forward::AttemptFailureKind::kBroken,
                        "the peer's stream broke off"});
      return;
    }
    forward::AnswerHead head;
    head.status = 200;
    head.echoed_request_id = carried->request_id;
    head.is_sealed = true;
    AnswerCarried(*carried, forward::AttemptAnswer{carried->attempt, head, ""});
    return;
  }
  host_of_caller_.erase(action.caller);
  cuts_.NoteAnswered(action.caller,
                     action.outcome == forward::StreamOutcome::kWhole);
  if (action.outcome == forward::StreamOutcome::kWhole) {
    crashes_.NoteAnswered(request_of_caller_[action.caller]);
    callers_.NoteDone(action.caller);
  } else {
    callers_.NoteFailed(action.caller);
  }
}

std::optional<base::Duration> Emulation::Fetch(
    const std::vector<forward::StageResult>& results,
    const base::ZoneName& reader) {
  uint64_t bytes = 0;
  base::Duration delay{0};
  for (const forward::StageResult& result : results) {
    const auto producer = piece_endpoints_by_address_.find(result.producer);
    if (producer == piece_endpoints_by_address_.end())
      return std::nullopt;
    const StoredResult* stored = producer->second->Read(result.handle);
    if (stored == nullptr)
      return std::nullopt;
    bytes += stored->bytes;
    const base::ZoneName& zone = producer->second->listed().zone;
    delay = std::max(delay, DelayBetween(zone, reader) * 2);
    if (zone != reader)
      report_.bytes_between_zones += stored->bytes;
  }
  return delay + base::Duration(static_cast<int64_t>(
                     static_cast<double>(bytes) / kFetchBytesPerMicrosecond));
}

PieceWork Emulation::Inspect(const EmulatedPieceEndpoint& producer,
                             const forward::PieceRequest& piece) {
  PieceWork work;
  const auto* results =
      std::get_if<std::vector<forward::StageResult>>(&piece.input);
  work.fetch_time = results == nullptr
                        ? base::Duration(0)
                        : Fetch(*results, producer.listed().zone);
  if (const PieceDemand* demand =
          callers_.DemandOf(piece.request_id, piece.stage)) {
    work.work_factor = demand->work_factor;
    work.result_bytes = demand->result_bytes;
  }
  return work;
}

void Emulation::Execute(size_t host, const forward::CallStage& action) {
  if (IsCut(host)) {
    DeliverAfter(ConnectTimeOf(host), host,
                 forward::StageCallEnded{
                     action.call.id, forward::StageCallFailure::kUnreachable});
    return;
  }
  EmulatedPieceEndpoint* producer =
      piece_endpoints_by_address_.at(action.call.address);
  const base::Duration delay =
      DelayBetween(hosts_[host].self.zone, producer->listed().zone);
  const forward::StageCallId id = action.call.id;
  const base::TimePoint sent_at = timeline_.now();
  timeline_.After(
      delay, [this, host, producer, delay, id, sent_at, call = action.call] {
        if (crashes_.IsDown(producer->listed().name)) {
          DeliverAfter(delay, host,
                       forward::StageCallEnded{
                           id, forward::StageCallFailure::kUnreachable});
          return;
        }
        notices_.NoteArrival(host, producer->listed(), timeline_.now());
        cold_endpoints_.NoteArrival(producer->listed(), timeline_.now());
        if (notices_.RefusalTimeLeft(producer->listed(), timeline_.now())) {
          DeliverNotice(host, producer->listed(), sent_at, delay);
          DeliverAfter(
              delay, host,
              forward::StageCallEnded{id, forward::StageCallFailure::kNotRun});
          return;
        }
        producer->Submit(
            call,
            [this, producer](const forward::PieceRequest& it) {
              return Inspect(*producer, it);
            },
            [this, host, producer, delay, id,
             sent_at](forward::StageCallOutcome outcome) {
              DeliverNotice(host, producer->listed(), sent_at, delay);
              DeliverAfter(delay, host,
                           forward::StageCallEnded{id, std::move(outcome)});
            });
        for (const forward::PieceRequest& it : call.pieces) {
          if (crashes_.CrashesPieceEndpoints(it.request_id)) {
            CrashPieceEndpoint(host, *producer, call, it.request_id);
            return;
          }
        }
      });
}

void Emulation::Execute(size_t host, const forward::FreeResults& action) {
  if (IsCut(host))
    return;
  EmulatedPieceEndpoint* producer =
      piece_endpoints_by_address_.at(action.free_request.address);
  const base::Duration delay =
      DelayBetween(hosts_[host].self.zone, producer->listed().zone);
  const base::TimePoint sent_at = timeline_.now();
  timeline_.After(delay, [this, host, producer, delay, sent_at,
                          free_request = action.free_request] {
    notices_.CountAgainstLimit(host, producer->listed(), timeline_.now());
    cold_endpoints_.NoteArrival(producer->listed(), timeline_.now());
    DeliverNotice(host, producer->listed(), sent_at, delay);
    producer->Free(free_request.handles);
    DeliverAfter(delay, host, forward::ResultsFreed{free_request});
  });
}

void Emulation::Execute(size_t host, const forward::SendPeerJob& action) {
  const auto to = FindHost(action.address);
  if (!to)
    return;
  const forward::PeerExchangeId exchange{++last_exchange_};
  peer_jobs_[exchange] = {host, *to, action.id};
  exchanges_[{host, action.id}] = exchange;
  DeliverToPeer(host, *to, forward::PeerJobRequested{exchange, action.job});
}

void Emulation::Execute(size_t host, const forward::CancelPeerJob& action) {
  const auto it = exchanges_.find({host, action.id});
  if (it == exchanges_.end())
    return;
  const forward::PeerExchangeId exchange = it->second;
  exchanges_.erase(it);
  const size_t to = peer_jobs_.at(exchange).dispatcher;
  peer_jobs_.erase(exchange);
  DeliverToPeer(host, to, forward::PeerJobCancelled{exchange});
}

void Emulation::Execute(size_t host, const forward::AnswerPeerJob& action) {
  const auto node = peer_jobs_.extract(action.exchange);
  if (node.empty())
    return;
  const PeerJob& peer_job = node.mapped();
  exchanges_.erase({peer_job.requester, peer_job.id});
  DeliverToPeer(
      host, peer_job.requester,
      forward::PeerJobEnded{peer_job.id, action.outcome, action.backlog});
}

void Emulation::Execute(size_t host,
                        const forward::ReleasePeerResults& action) {
  if (const auto to = FindHost(action.address))
    DeliverToPeer(host, *to,
                  forward::PeerResultsReleased{action.at, action.results});
}

void Emulation::Execute(size_t host, const forward::ProbePeer& action) {
  const uint64_t probe = ++last_probe_;
  open_probes_.insert(probe);
  timeline_.After(action.timeout, [this, host, probe, name = action.host] {
    if (open_probes_.erase(probe) > 0)
      Deliver(host, forward::PeerProbeFailed{name, "no answer"});
  });
  const auto to = FindHost(action.address);
  if (!to || !hosts_[*to].is_alive || IsPartitioned(host) || IsPartitioned(*to))
    return;
  ++hosts_[*to].messages;
  // A host that is cut off says so, which counts as no answer.
  if (hosts_[*to].node->is_cut_off())
    return;
  const base::Duration delay =
      DelayBetween(hosts_[host].self.zone, hosts_[*to].self.zone);
  timeline_.After(delay, [this, host, to, delay, probe, name = action.host] {
    Process(*to, MessageTimeOf(*to), [this, host, delay, probe, name] {
      timeline_.After(delay, [this, host, probe, name] {
        if (open_probes_.erase(probe) > 0)
          DeliverAfter(base::Duration(0), host,
                       forward::PeerProbeAnswered{name});
      });
    });
  });
}

std::vector<forward::FeedRow> Emulation::RowsOf(forward::FeedKind feed) const {
  std::vector<forward::FeedRow> rows;
  switch (feed) {
    case forward::FeedKind::kConfiguration:
      rows.push_back({"configuration", configuration_});
      break;
    case forward::FeedKind::kEndpoints:
      rows = cold_endpoints_.RowsAt(timeline_.now());
      break;
    case forward::FeedKind::kHosts:
      for (const forward::PeerHost& host : host_rows_)
        rows.push_back({host.name.value, host});
      break;
  }
  return rows;
}

void Emulation::Execute(size_t host, const forward::RequestPermit& action) {
  const auto to = FindHost(action.address);
  const forward::PeerExchangeId exchange{++last_exchange_};
  permit_requesters_[exchange] = {host, action.id};
  timeline_.After(forward::kPermitTimeout, [this, exchange] {
    const auto node = permit_requesters_.extract(exchange);
    if (node.empty())
      return;
    const auto& [requester, id] = node.mapped();
    DeliverAfter(base::Duration(0), requester,
                 forward::PermitRequestFailed{id, "no answer"});
  });
  if (to)
    DeliverToPeer(host, *to,
                  forward::PeerPermitRequested{exchange, action.request});
}

void Emulation::Execute(size_t host, const forward::AnswerPermit& action) {
  const auto node = permit_requesters_.find(action.exchange);
  if (node == permit_requesters_.end() || IsPartitioned(host))
    return;
  const auto [requester, id] = node->second;
  permit_requesters_.erase(node);
  DeliverToPeer(host, requester, forward::PermitAnswered{id, action.answer});
}

void Emulation::Execute(size_t host, const forward::RequestPlacement& action) {
  const auto to = FindHost(action.address);
  ++report_.placements_asked;
  const forward::PeerExchangeId exchange{++last_exchange_};
  placement_requesters_[exchange] = {host, action.id};
  timeline_.After(forward::kPlacementTimeout, [this, exchange] {
    const auto node = placement_requesters_.extract(exchange);
    if (node.empty())
      return;
    const auto& [requester, id] = node.mapped();
    DeliverAfter(base::Duration(0), requester,
                 forward::PlacementRequestFailed{id, "no answer"});
  });
  if (to)
    DeliverToPeer(host, *to,
                  forward::PeerPlacementRequested{exchange, action.request});
}

void Emulation::Execute(size_t host, const forward::AnswerPlacement& action) {
  const auto node = placement_requesters_.find(action.exchange);
  if (node == placement_requesters_.end() || IsPartitioned(host))
    return;
  const auto [requester, id] = node->second;
  placement_requesters_.erase(node);
  DeliverToPeer(host, requester, forward::PlacementAnswered{id, action.answer});
}

void Emulation::Execute(size_t host,
                        const forward::SendPlacementReport& action) {
  if (const auto to = FindHost(action.address))
    DeliverToPeer(host, *to, forward::PeerPlacementReported{action.report});
}

void Emulation::Execute(size_t host, const forward::SendLimitsToPeer& action) {
  if (const auto to = FindHost(action.address))
    DeliverToPeer(host, *to, forward::PeerLimitsReceived{action.limits});
}

void Emulation::Execute(size_t host, const forward::SendNoticesToPeer& action) {
  if (const auto to = FindHost(action.address))
    DeliverToPeer(host, *to, forward::PeerNoticesReceived{action.notices});
}

void Emulation::Execute(size_t host, const forward::RequestStoreSync& action) {
  const auto to = FindHost(action.address);
  if (!to || !hosts_[*to].is_alive || IsPartitioned(host) ||
      IsPartitioned(*to)) {
    DeliverAfter(kStoreSyncTimeout, host,
                 forward::StoreSyncFailed{"no answer", action.kind});
    return;
  }
  const forward::PeerExchangeId exchange{++last_exchange_};
  store_sync_requesters_[exchange] = {host, action.kind};
  DeliverToPeer(host, *to,
                forward::PeerStoreSyncRequested{exchange, action.request});
}

void Emulation::Execute(size_t host, const forward::AnswerStoreSync& action) {
  const auto node = store_sync_requesters_.extract(action.exchange);
  if (node.empty())
    return;
  const auto [requester, kind] = node.mapped();
  DeliverToPeer(host, requester,
                forward::StoreSyncReceived{action.response, kind});
}

void Emulation::Execute(size_t host, const forward::ListTable& action) {
  ++store_calls_;
  DeliverAfter(kStoreDelay, host,
               forward::TableListed{action.feed, RowsOf(action.feed), false,
                                    VersionOf(action.feed)});
}

void Emulation::Execute(size_t host, const forward::FollowTable& action) {
  ++store_calls_;
  const uint64_t version = VersionOf(action.feed);
  if (action.feed == forward::FeedKind::kHosts && action.version < version) {
    DeliverAfter(
        kStoreDelay, host,
        forward::TableChanged{action.feed, RowsOf(action.feed), version});
    return;
  }
  if (action.feed != forward::FeedKind::kEndpoints) {
    DeliverAfter(kStoreDelay + action.wait, host,
                 forward::TableChanged{action.feed, {}, action.version});
    return;
  }
  // A call with changes to return ends at once.
  const base::Duration wait =
      action.version < version ? base::Duration(0) : action.wait;
  timeline_.After(wait, [this, host, known = action.version] {
    DeliverAfter(
        kStoreDelay, host,
        forward::TableChanged{forward::FeedKind::kEndpoints,
                              cold_endpoints_.RowsSince(known, timeline_.now()),
                              cold_endpoints_.VersionAt(timeline_.now())});
  });
}

uint64_t Emulation::VersionOf(forward::FeedKind feed) const {
  return feed == forward::FeedKind::kEndpoints
             ? cold_endpoints_.VersionAt(timeline_.now())
             : host_rows_.size() + 1;
}

void Emulation::Execute(size_t /*host*/, const forward::WriteLog& action) {
  if (action.id == base::LogEventId::kDispatcherLost)
    ++report_.dispatchers_lost;
  if (action.id == base::LogEventId::kRequestQuarantined)
    crashes_.NoteQuarantined(action.fields.front().value);
  if (action.id == base::LogEventId::kPartQuarantined)
    crashes_.NotePartQuarantined(action.fields.front().value);
}

// No host of an emulation stops, so that each write adds a row.
void Emulation::Execute(size_t host, const forward::WriteOwnRow& action) {
  timeline_.After(kStoreDelay, [this, host, row = action.host] {
    host_rows_.push_back(row);
    Deliver(host, forward::OwnRowWritten{std::nullopt, host_rows_.size()});
  });
}

// The emulated store keeps no streams.
void Emulation::Execute(size_t host, const forward::ReadStreamRows& action) {
  DeliverAfter(kStoreDelay, host, forward::StreamRowsRead{action.id, {}});
}

void Emulation::Execute(size_t host, const forward::WriteStreamRows& action) {
  DeliverAfter(kStoreDelay, host, forward::StreamRowsWritten{action.id});
}

}  // namespace bilberry::emulation
