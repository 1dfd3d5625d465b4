#include "Fakes/node_harness.h"

#include <utility>

#include "LibBase/overloaded.h"
#include "LibMembership/configuration_head.h"

namespace bilberry::fakes {

namespace {

constexpr const char* kSmallConfiguration = R"({
  "deployment": "small", "zones": ["zone-a"],
  "ranks": {
    "urgent": {"minimum_share_percent": 50, "attainment_target_percent": 99},
    "ordinary": {"minimum_share_percent": 20, "attainment_target_percent": 99},
    "background": {"minimum_share_percent": 5, "attainment_target_percent": 90}
  },
  "pools": [
    {"name": "engines", "kind": "engine", "workers": 1, "slots_per_worker": 4},
    {"name": "desk", "kind": "service", "workers": 1, "slots_per_worker": 4}
  ],
  "pipelines": [
    {"name": "quotation", "rank": "ordinary", "deadline_ms": 3000, "stages": [
      {"name": "encode", "kind": "encode", "pool": "engines",
       "path": "/encode", "expected_ms": 10},
      {"name": "retrieve", "kind": "retrieve", "pool": "desk",
       "path": "/retrieve", "expected_ms": 10},
      {"name": "rerank", "kind": "rerank", "pool": "engines",
       "path": "/rerank", "expected_ms": 10},
      {"name": "generate", "kind": "generate", "pool": "engines",
       "path": "/generate", "expected_ms": 100, "delivery": "streamed"}]},
    {"name": "stock", "rank": "urgent", "deadline_ms": 1000, "stages": [
      {"name": "query", "kind": "call", "pool": "desk", "path": "/stock",
       "expected_ms": 10}]},
    {"name": "booking", "rank": "urgent", "deadline_ms": 3000, "stages": [
      {"name": "book", "kind": "call", "pool": "desk", "path": "/book",
       "expected_ms": 10, "repeatability": "at-most-once"}]},
    {"name": "deposit", "rank": "urgent", "deadline_ms": 3000, "stages": [
      {"name": "price", "kind": "call", "pool": "desk", "path": "/price",
       "expected_ms": 10},
      {"name": "reserve", "kind": "call", "pool": "desk", "path": "/reserve",
       "expected_ms": 10, "repeatability": "at-most-once"},
      {"name": "charge", "kind": "call", "pool": "desk", "path": "/charge",
       "expected_ms": 10, "repeatability": "at-most-once"},
      {"name": "receipt", "kind": "call", "pool": "desk", "path": "/receipt",
       "expected_ms": 10}]}
  ],
  "teams": [{"name": "t"}, {"name": "u"}]
})";

}  // namespace

NodeHarness::NodeHarness(PlatformStore& store, node::NodeOptions options)
    : store_(store), node_(std::move(options)) {}

void NodeHarness::Feed(node::Event event) {
  queue_.push_back(std::move(event));
  RunQueue();
}

void NodeHarness::RunQueue() {
  while (!queue_.empty()) {
    node::Event event = std::move(queue_.front());
    queue_.pop_front();
    for (node::Action& action : node_.Handle(std::move(event), now_))
      Perform(std::move(action));
  }
}

void NodeHarness::Perform(node::Action action) {
  std::visit(
      base::Overloaded{
          [this](node::SendToPlatform& it) { ServePlatform(it); },
          [this](node::SendToEndpoint& it) { sent_.push_back(std::move(it)); },
          [this](node::AnswerCaller& it) { answers_.push_back(std::move(it)); },
          [this](node::SendToPeer& it) {
            peer_calls_.push_back(std::move(it));
          },
          [this](node::AnswerPeer& it) {
            peer_answers_.push_back(std::move(it));
          },
          [this](auto& it) { others_.emplace_back(std::move(it)); },
      },
      action);
}

void NodeHarness::ServePlatform(const node::SendToPlatform& action) {
  using base::PlatformFailure;
  switch (behavior_) {
    case PlatformBehavior::kHealthy:
      queue_.emplace_back(node::PlatformAnswered{action.operation,
                                                 store_.Apply(action.request)});
      return;
    case PlatformBehavior::kUnreachable:
      queue_.emplace_back(
          node::PlatformFailed{action.operation, PlatformFailure::kNotSent});
      return;
    case PlatformBehavior::kAnswerLost:
      store_.Apply(action.request);
      queue_.emplace_back(
          node::PlatformFailed{action.operation, PlatformFailure::kUnknown});
      return;
    case PlatformBehavior::kRequestLost:
      queue_.emplace_back(
          node::PlatformFailed{action.operation, PlatformFailure::kUnknown});
      return;
    case PlatformBehavior::kHeld:
      held_.push_back(action);
      return;
    case PlatformBehavior::kEffectLate:
      late_.push_back(action.request);
      queue_.emplace_back(
          node::PlatformFailed{action.operation, PlatformFailure::kUnknown});
      return;
  }
}

void NodeHarness::ReleaseHeld() {
  for (const node::SendToPlatform& action : std::exchange(held_, {}))
    ServePlatform(action);
  RunQueue();
}

void NodeHarness::ReleaseHeldAs(PlatformBehavior behavior) {
  const PlatformBehavior kept = std::exchange(behavior_, behavior);
  for (const node::SendToPlatform& action : std::exchange(held_, {}))
    ServePlatform(action);
  behavior_ = kept;
  RunQueue();
}

void NodeHarness::ApplyLate() {
  for (const base::PlatformRequest& request : std::exchange(late_, {}))
    store_.Apply(request);
}

void NodeHarness::AdvanceTo(base::TimePoint end) {
  for (auto next = node_.NextWakeup(); next && *next <= end;
       next = node_.NextWakeup()) {
    now_ = std::max(now_, *next);
    Feed(node::TimerDue{});
  }
  now_ = std::max(now_, end);
}

base::CallerId NodeHarness::Call(const std::string& pipeline,
                                 const std::optional<std::string>& key,
                                 const std::string& body) {
  node::CallerRequest request;
  request.caller = base::CallerId{++last_caller_};
  request.pipeline = pipeline;
  request.team = "t";
  request.idempotency_key = key;
  request.body = body;
  const base::CallerId caller = request.caller;
  Feed(std::move(request));
  return caller;
}

void NodeHarness::AnswerAttempt(const node::SendToEndpoint& sent,
                                const std::string& body) {
  node::EndpointAnswer answer;
  answer.attempt = sent.attempt;
  answer.echoed_attempt = base::ToText(sent.attempt);
  answer.status = 200;
  answer.body = body;
  Feed(std::move(answer));
}

std::vector<node::SendToEndpoint> NodeHarness::TakeSent() {
  return std::exchange(sent_, {});
}

std::vector<node::AnswerCaller> NodeHarness::TakeAnswers() {
  return std::exchange(answers_, {});
}

std::vector<node::SendToPeer> NodeHarness::TakePeerCalls() {
  return std::exchange(peer_calls_, {});
}

std::vector<node::AnswerPeer> NodeHarness::TakePeerAnswers() {
  return std::exchange(peer_answers_, {});
}

node::Actions NodeHarness::TakeOthers() {
  return std::exchange(others_, {});
}

node::NodeOptions MakeOptions(const std::string& host, uint64_t incarnation) {
  node::NodeOptions options;
  options.settings.host = {host};
  options.settings.zone = {"zone-a"};
  options.settings.callers = {"127.0.0.1", 8080};
  options.settings.peers = {"127.0.0.1", 8081};
  options.settings.platform = {"127.0.0.1", 7000};
  options.settings.operator_token = "token";
  options.incarnation = base::Incarnation{incarnation};
  options.seed = incarnation;
  return options;
}

base::HostEntry MakeEndpoint(const std::string& name, const std::string& pool) {
  base::HostEntry entry;
  entry.name = name;
  entry.pool = {pool};
  entry.zone = {"zone-a"};
  entry.address = {"127.0.0.1", 9000};
  entry.incarnation = base::Incarnation{1};
  return entry;
}

std::string SmallConfiguration() {
  return kSmallConfiguration;
}

void PutConfiguration(PlatformStore& store,
                      uint64_t revision,
                      const std::string& document) {
  const std::string key(membership::kConfigurationHeadKey);
  const std::string change = "change-" + std::to_string(revision);
  const std::string object =
      "configuration/" + std::to_string(revision) + "-" + change;
  store.Apply(base::StoreObject{object, document});
  const auto present = store.rows().find(key);
  base::WriteRows write;
  write.writes.push_back(
      {key,
       present == store.rows().end() ? base::RowVersion::kAbsent
                                     : present->second.version,
       membership::SerializeHead({base::Revision{revision}, object, change})});
  store.Apply(write);
}

void PutSmallDeployment(PlatformStore& store) {
  PutConfiguration(store, 1, kSmallConfiguration);
  store.PutHost(MakeEndpoint("engine-1", "engines"));
  store.PutHost(MakeEndpoint("desk-1", "desk"));
}

}  // namespace bilberry::fakes
