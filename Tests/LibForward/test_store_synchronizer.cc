#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibForward/store_synchronizer.h"

namespace bilberry::forward {
namespace {

using std::chrono::milliseconds;

base::TimePoint At(int64_t ms) {
  return base::TimePoint(milliseconds(ms));
}

enum class Outage {
  kSilent,       // No call is answered, including open long polls.
  kRefusing,     // Each call is rejected at once.
  kSlow,         // Answers take 700 ms.
  kAnswersLost,  // Every second answer is lost.
  kForgetful,    // The history is lost repeatedly.
};

// One host's StoreSynchronizer against a simulated store in virtual time, in
// steps of one millisecond.
class StoreBench {
 public:
  static constexpr milliseconds kAnswerTime{4};
  static constexpr milliseconds kSlowAnswerTime{700};
  static constexpr milliseconds kTimeoutSlack{1000};

  explicit StoreBench(uint64_t seed)
      : context_(Options(seed)), synchronizer_(context_) {
    rows_[FeedKind::kConfiguration] = Configuration(1);
    rows_[FeedKind::kEndpoints] = Endpoint(0);
    rows_[FeedKind::kHosts] = Host(0);
  }

  void BeginOutage(Outage outage) {
    outage_ = outage;
    if (outage != Outage::kSilent)
      return;
    for (auto& [feed, call] : calls_)
      call.is_lost = true;
  }
  void EndOutage() { outage_.reset(); }

  // Changes the table of each feed.
  void ChangeAll() {
    ++changes_;
    ++version_;
    rows_[FeedKind::kConfiguration] = Configuration(changes_ + 1);
    rows_[FeedKind::kEndpoints] = Endpoint(changes_);
    rows_[FeedKind::kHosts] = Host(changes_);
  }
  bool KnowsAll() const {
    return synchronizer_.configuration() != nullptr &&
           synchronizer_.configuration()->revision == changes_ + 1 &&
           std::ranges::any_of(synchronizer_.endpoints(),
                               [this](const ListedEndpoint& it) {
                                 return it.name.value == NameOf(changes_);
                               }) &&
           std::ranges::any_of(synchronizer_.hosts(),
                               [this](const PeerHost& it) {
                                 return it.name.value == NameOf(changes_);
                               });
  }

  void RunUntil(int64_t ms) {
    for (; now_ms_ < ms; ++now_ms_)
      Step();
  }
  // Runs until all changes are known and returns the time that took; empty if
  // it exceeds `limit`.
  std::optional<milliseconds> TimeUntilAllKnown(milliseconds limit) {
    const int64_t begin = now_ms_;
    while (now_ms_ - begin <= limit.count()) {
      if (KnowsAll())
        return milliseconds(now_ms_ - begin);
      Step();
      ++now_ms_;
    }
    return std::nullopt;
  }
  uint64_t call_count() const { return call_count_; }

 private:
  struct Call {
    std::variant<ListTable, FollowTable> action;
    int64_t began = 0;
    bool is_lost = false;
  };

  static ForwardOptions Options(uint64_t seed) {
    ForwardOptions options;
    options.own = {{"own"}, {"10.0.0.1", 1}, {"z"}, 1, 0};
    options.seed = seed;
    return options;
  }
  static std::string NameOf(uint64_t change) {
    return "n" + std::to_string(change);
  }
  static FeedRow Configuration(uint64_t revision) {
    ForwardConfiguration configuration;
    configuration.revision = revision;
    return {"config",
            std::make_shared<const ForwardConfiguration>(configuration)};
  }
  static FeedRow Endpoint(uint64_t change) {
    const std::string name = NameOf(change);
    return {name, ListedEndpoint{{name}, {"p"}, {"z"}, {"10.0.1.1", 80}}};
  }
  static FeedRow Host(uint64_t change) {
    const std::string name = NameOf(change);
    return {name, PeerHost{{name}, {"10.0.0.2", 1}, {"z"}, 1, 0}};
  }

  void Step() {
    AnswerCalls();
    if (outage_ == Outage::kForgetful && now_ms_ % 170 == 0)
      forgotten_until_ = version_ + 1;
    synchronizer_.HandleTimer(At(now_ms_));
    for (Action& action : context_.TakeActions()) {
      if (const auto* list = std::get_if<ListTable>(&action))
        Begin(list->feed, *list);
      if (const auto* follow = std::get_if<FollowTable>(&action))
        Begin(follow->feed, *follow);
      if (std::holds_alternative<WriteOwnRow>(action))
        synchronizer_.Handle(OwnRowWritten{}, At(now_ms_));
    }
  }

  void Begin(FeedKind feed, std::variant<ListTable, FollowTable> action) {
    ++call_count_;
    Call call{std::move(action), now_ms_, false};
    call.is_lost = outage_ == Outage::kSilent ||
                   (outage_ == Outage::kAnswersLost && call_count_ % 2 == 0);
    calls_[feed] = std::move(call);
  }

  void AnswerCalls() {
    for (const FeedKind feed : kFeedKinds) {
      const auto it = calls_.find(feed);
      if (it != calls_.end())
        AnswerIfDue(feed, it->second);
    }
  }

  void AnswerIfDue(FeedKind feed, const Call& call) {
    const auto* follow = std::get_if<FollowTable>(&call.action);
    const milliseconds wait =
        follow == nullptr ? milliseconds(0) : follow->wait;
    const milliseconds taken(now_ms_ - call.began);
    const milliseconds timeout = wait + kTimeoutSlack;
    if (call.is_lost || taken >= timeout) {
      if (taken >= timeout)
        Finish(feed, TableCallFailed{feed, "Timeout was reached"});
      return;
    }
    const milliseconds answer_time =
        outage_ == Outage::kSlow ? kSlowAnswerTime : kAnswerTime;
    if (taken < answer_time)
      return;
    if (outage_ == Outage::kRefusing) {
      Finish(feed, TableCallFailed{feed, "answered 503"});
      return;
    }
    if (follow == nullptr) {
      Finish(feed, TableListed{feed, {rows_.at(feed)}, false, version_});
      return;
    }
    if (follow->version < forgotten_until_ && follow->version < version_) {
      Finish(feed, TableHistoryLost{feed});
      return;
    }
    const bool has_changed = follow->version < version_;
    if (has_changed)
      Finish(feed, TableChanged{feed, {rows_.at(feed)}, version_});
    else if (taken >= wait + answer_time)
      Finish(feed, TableChanged{feed, {}, version_});
  }

  template <typename Answer>
  void Finish(FeedKind feed, Answer answer) {
    calls_.erase(feed);
    synchronizer_.Handle(std::move(answer), At(now_ms_));
  }

  ForwardContext context_;
  StoreSynchronizer synchronizer_;
  std::map<FeedKind, FeedRow> rows_;
  std::map<FeedKind, Call> calls_;
  std::optional<Outage> outage_;
  uint64_t changes_ = 0;
  uint64_t version_ = 1;
  uint64_t forgotten_until_ = 0;
  uint64_t call_count_ = 0;
  int64_t now_ms_ = 1;
};

// Bound on the time until changes written during an outage are known. Hosts aim
// at half of it.
constexpr milliseconds kMaxUpdateTime{2000};

TEST_CASE(
    "changes made during an outage of the store are known soon after it") {
  for (const Outage outage : {Outage::kSilent, Outage::kRefusing, Outage::kSlow,
                              Outage::kAnswersLost, Outage::kForgetful}) {
    // The begin of the outage determines which feed's call is answered first.
    for (int64_t begins = 20'000; begins < 31'000; begins += 370) {
      CAPTURE(static_cast<int>(outage));
      CAPTURE(begins);
      StoreBench bench(static_cast<uint64_t>(begins));
      bench.RunUntil(begins);
      REQUIRE(bench.KnowsAll());
      bench.BeginOutage(outage);
      bench.RunUntil(begins + 8000);
      bench.ChangeAll();
      bench.EndOutage();
      const auto known = bench.TimeUntilAllKnown(milliseconds(20'000));
      REQUIRE(known.has_value());
      CHECK(*known <= kMaxUpdateTime);
    }
  }
}

TEST_CASE(
    "a healthy store is not called more often than the intervals demand") {
  StoreBench bench(1);
  bench.RunUntil(60'000);
  const uint64_t before = bench.call_count();
  bench.RunUntil(120'000);
  // Endpoints every 0.9 s, the configuration every 10 s, hosts every 20 s.
  CHECK(bench.call_count() - before <= 67 + 6 + 3 + 3);
}

// A host of a large fleet, which polls a relay instead of following the store.
class FollowerBench {
 public:
  FollowerBench() : context_(Options()), synchronizer_(context_) {
    synchronizer_.HandleTimer(now_);
    synchronizer_.Handle(
        TableListed{FeedKind::kEndpoints, {Listed("e1")}, false, 100}, now_);
    std::vector<FeedRow> hosts;
    for (int i = 0; i < 30; ++i) {
      const std::string name = "h" + std::to_string(i);
      hosts.push_back({name, PeerHost{{name}, {"10.0.0.2", 1}, {"z"}, 1, 0}});
    }
    synchronizer_.Handle(TableListed{FeedKind::kHosts, hosts, false, 100},
                         now_);
    synchronizer_.Handle(TableChanged{FeedKind::kConfiguration, {}, 100}, now_);
    synchronizer_.ChooseRelays();
    context_.TakeActions();
  }

  static FeedRow Listed(const std::string& name) {
    return {name, ListedEndpoint{{name}, {"p"}, {"z"}, {"10.0.1.1", 80}}};
  }
  static StoreSyncResponse ResponseOf(uint64_t version,
                                      std::vector<FeedRow> rows) {
    StoreSyncResponse response;
    response.tables = {{FeedKind::kEndpoints, version, false, std::move(rows)},
                       {FeedKind::kHosts, version, false, {}}};
    return response;
  }

  // Runs for `ms` milliseconds; returns the actions in order.
  std::vector<Action> RunFor(int64_t ms) {
    for (const base::TimePoint end = now_ + milliseconds(ms); now_ < end;
         now_ += milliseconds(10))
      synchronizer_.HandleTimer(now_);
    return context_.TakeActions();
  }
  void Receive(StoreSyncReceived event) {
    synchronizer_.Handle(std::move(event), now_);
  }

  void AnswerEndpoints(uint64_t version, std::vector<FeedRow> rows) {
    synchronizer_.Handle(
        TableChanged{FeedKind::kEndpoints, std::move(rows), version}, now_);
  }
  void AnswerConfiguration(uint64_t version) {
    synchronizer_.Handle(TableChanged{FeedKind::kConfiguration, {}, version},
                         now_);
  }
  void AnswerHosts() {
    synchronizer_.Handle(TableChanged{FeedKind::kHosts, {}, 103}, now_);
  }
  // Returns the age of the table copy that this host would pass on.
  base::Duration ReportedAge() {
    synchronizer_.Handle(PeerStoreSyncRequested{PeerExchangeId{1}, {}}, now_);
    for (const Action& it : context_.TakeActions()) {
      if (const auto* answer = std::get_if<AnswerStoreSync>(&it))
        return answer->response.age;
    }
    return base::Duration(0);
  }

  bool Knows(const std::string& name) const {
    return std::ranges::any_of(
        synchronizer_.endpoints(),
        [&name](const ListedEndpoint& it) { return it.name.value == name; });
  }

 private:
  static ForwardOptions Options() {
    ForwardOptions options;
    options.own = {{"small"}, {"10.0.0.1", 1}, {"z"}, 0.1, 0};
    return options;
  }

  ForwardContext context_;
  StoreSynchronizer synchronizer_;
  base::TimePoint now_{milliseconds(1000)};
};

size_t CallsFor(const std::vector<Action>& actions, FeedKind feed) {
  return static_cast<size_t>(std::ranges::count_if(actions, [feed](auto& it) {
    const auto* follow = std::get_if<FollowTable>(&it);
    return follow != nullptr && follow->feed == feed;
  }));
}

TEST_CASE("a host with a fresh copy from a relay doesn't call the store") {
  FollowerBench bench;
  bench.Receive(StoreSyncReceived{FollowerBench::ResponseOf(101, {})});
  size_t asked = 0;
  for (int i = 0; i < 10; ++i) {
    const auto actions = bench.RunFor(800);
    CHECK(CallsFor(actions, FeedKind::kEndpoints) == 0);
    asked += static_cast<size_t>(std::ranges::count_if(actions, [](auto& it) {
      return std::holds_alternative<RequestStoreSync>(it);
    }));
    bench.Receive(StoreSyncReceived{FollowerBench::ResponseOf(102, {})});
  }
  CHECK(asked >= 9);
  // The relay stops answering.
  CHECK(CallsFor(bench.RunFor(2100), FeedKind::kEndpoints) > 0);
}

TEST_CASE(
    "updates never revert to an older version, and outdated ones are ignored") {
  FollowerBench bench;
  bench.Receive(StoreSyncReceived{
      FollowerBench::ResponseOf(120, {FollowerBench::Listed("e2")})});
  CHECK(bench.Knows("e2"));
  // A second relay with an older version.
  bench.Receive(
      StoreSyncReceived{FollowerBench::ResponseOf(90, {{"e2", RowRemoved{}}})});
  CHECK(bench.Knows("e2"));
  StoreSyncResponse old =
      FollowerBench::ResponseOf(130, {{"e1", RowRemoved{}}});
  old.age = milliseconds(4000);
  bench.Receive(StoreSyncReceived{old});
  // The entry of e1 may only have expired while the store was unreachable.
  CHECK(bench.Knows("e1"));
  CHECK(CallsFor(bench.RunFor(2100), FeedKind::kEndpoints) > 0);
}

// An endpoint that leaves must be noticed within half of its notice period,
// also if the relays that pass on its entry are cut off from the store.
TEST_CASE("a relay's copy is valid for two seconds of total age") {
  FollowerBench bench;
  bench.Receive(StoreSyncReceived{FollowerBench::ResponseOf(101, {})});
  // The relay still answers, but no longer reaches the store.
  for (int64_t age = 100; age < 2000; age += 100) {
    CAPTURE(age);
    CHECK(CallsFor(bench.RunFor(100), FeedKind::kEndpoints) == 0);
    StoreSyncResponse response = FollowerBench::ResponseOf(101, {});
    response.age = milliseconds(age);
    bench.Receive(StoreSyncReceived{response});
  }
  CHECK(CallsFor(bench.RunFor(120), FeedKind::kEndpoints) == 1);
}

// Guards against a store that rejects a zone's relays but serves the other
// hosts: the relays' outdated answers must not delay the removal of endpoints.
TEST_CASE(
    "a removed endpoint is dropped even if the relays don't reach the store") {
  FollowerBench bench;
  REQUIRE(bench.Knows("e1"));
  StoreSyncResponse outdated = FollowerBench::ResponseOf(101, {});
  outdated.age = milliseconds(4000);
  bench.Receive(StoreSyncReceived{outdated});
  bench.AnswerEndpoints(200, {{"e1", RowRemoved{}}});
  // The relay answers every 0.65 s but is cut off from the store; this host's
  // own calls succeed.
  for (uint64_t version = 201; version < 204; ++version) {
    bench.Receive(StoreSyncReceived{outdated});
    bench.RunFor(650);
    bench.AnswerEndpoints(version, {});
  }
  bench.RunFor(10);
  CHECK_FALSE(bench.Knows("e1"));
}

// Guards against a store that answers the calls of one feed and loses those of
// another.
TEST_CASE(
    "answers about other tables don't refresh the age of the endpoint table") {
  FollowerBench bench;
  bench.RunFor(3000);
  bench.AnswerHosts();
  CHECK(bench.ReportedAge() >= milliseconds(3000));
}

TEST_CASE("a host asks for a higher revision at once when a relay reports it") {
  FollowerBench bench;
  bench.Receive(StoreSyncReceived{FollowerBench::ResponseOf(101, {})});
  bench.RunFor(100);
  StoreSyncResponse response = FollowerBench::ResponseOf(102, {});
  response.revision = 7;
  bench.Receive(StoreSyncReceived{response});
  const auto actions = bench.RunFor(20);
  CHECK(std::ranges::any_of(actions, [](const Action& it) {
    const auto* list = std::get_if<ListTable>(&it);
    const auto* follow = std::get_if<FollowTable>(&it);
    return (list != nullptr && list->feed == FeedKind::kConfiguration) ||
           (follow != nullptr && follow->feed == FeedKind::kConfiguration);
  }));
}

// Guards against calls without a pause to a store that lacks what a peer has.
TEST_CASE("a peer's rows that the store lacks cause few calls to the store") {
  FollowerBench bench;
  StoreSyncResponse response = FollowerBench::ResponseOf(102, {});
  response.revision = 7;
  bench.Receive(StoreSyncReceived{response});
  size_t calls = 0;
  for (uint64_t i = 0; i < 500; ++i) {
    const auto actions = bench.RunFor(10);
    if (CallsFor(actions, FeedKind::kConfiguration) == 0)
      continue;
    ++calls;
    // The store holds a call that may wait.
    const auto* follow = std::get_if<FollowTable>(
        &*std::ranges::find_if(actions, [](const Action& it) {
          return std::holds_alternative<FollowTable>(it);
        }));
    if (follow->wait == milliseconds(0))
      bench.AnswerConfiguration(110 + i);
  }
  CHECK(calls <= 3);
}

}  // namespace
}  // namespace bilberry::forward
