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
  kSilent,       // Calls, also those that are held, are never answered.
  kRefusing,     // Each call is refused at once.
  kSlow,         // Answers take most of a second.
  kAnswersLost,  // Each second answer.
  kForgetful,    // The history is lost again and again.
};

// One host's StoreSynchronizer against a store that changes in virtual time,
// played in steps of one millisecond.
class StoreBench {
 public:
  static constexpr milliseconds kAnswerTime{4};
  static constexpr milliseconds kSlowAnswerTime{700};
  static constexpr milliseconds kTimeoutSlack{1000};

  explicit StoreBench(uint64_t seed)
      : context_(Options(seed)), desk_(context_) {
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

  // Writes something new into the table of each feed.
  void ChangeAll() {
    ++changes_;
    ++version_;
    rows_[FeedKind::kConfiguration] = Configuration(changes_ + 1);
    rows_[FeedKind::kEndpoints] = Endpoint(changes_);
    rows_[FeedKind::kHosts] = Host(changes_);
  }
  bool KnowsAll() const {
    return desk_.configuration() != nullptr &&
           desk_.configuration()->revision == changes_ + 1 &&
           std::ranges::any_of(desk_.endpoints(),
                               [this](const ListedEndpoint& it) {
                                 return it.name.value == NameOf(changes_);
                               }) &&
           std::ranges::any_of(desk_.hosts(), [this](const PeerHost& it) {
             return it.name.value == NameOf(changes_);
           });
  }

  void RunUntil(int64_t ms) {
    for (; now_ms_ < ms; ++now_ms_)
      Step();
  }
  // How long from now on until all is known; empty if not by `limit`.
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
    std::variant<ListTable, FollowTable> order;
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
    desk_.HandleTimer(At(now_ms_));
    for (Action& action : context_.TakeActions()) {
      if (const auto* list = std::get_if<ListTable>(&action))
        Begin(list->feed, *list);
      if (const auto* follow = std::get_if<FollowTable>(&action))
        Begin(follow->feed, *follow);
      if (std::holds_alternative<WriteOwnRow>(action))
        desk_.Handle(OwnRowWritten{});
    }
  }

  void Begin(FeedKind feed, std::variant<ListTable, FollowTable> order) {
    ++call_count_;
    Call call{std::move(order), now_ms_, false};
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
    const auto* follow = std::get_if<FollowTable>(&call.order);
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
    desk_.Handle(std::move(answer), At(now_ms_));
  }

  ForwardContext context_;
  StoreSynchronizer desk_;
  std::map<FeedKind, FeedRow> rows_;
  std::map<FeedKind, Call> calls_;
  std::optional<Outage> outage_;
  uint64_t changes_ = 0;
  uint64_t version_ = 1;
  uint64_t forgotten_until_ = 0;
  uint64_t call_count_ = 0;
  int64_t now_ms_ = 1;
};

// The platform's bound for what was written while its store was away; hosts aim
// at half of it.
constexpr milliseconds kKnownWithin{2000};

TEST_CASE("what changed while the store was away is known soon after") {
  for (const Outage outage : {Outage::kSilent, Outage::kRefusing, Outage::kSlow,
                              Outage::kAnswersLost, Outage::kForgetful}) {
    // Whichever feed's call comes back first depends on when the outage begins.
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
      CHECK(*known <= kKnownWithin);
    }
  }
}

TEST_CASE("a sound store is asked no more often because one feed was lost") {
  StoreBench bench(1);
  bench.RunUntil(60'000);
  const uint64_t before = bench.call_count();
  bench.RunUntil(120'000);
  // Endpoints each 0.9 s, the configuration each 10 s, hosts each 20 s.
  CHECK(bench.call_count() - before <= 67 + 6 + 3 + 3);
}

// A host of a large fleet, in which others follow the store for it.
class FollowerBench {
 public:
  FollowerBench() : context_(Options()), desk_(context_) {
    desk_.HandleTimer(now_);
    desk_.Handle(TableListed{FeedKind::kEndpoints, {Listed("e1")}, false, 100},
                 now_);
    std::vector<FeedRow> hosts;
    for (int i = 0; i < 30; ++i) {
      const std::string name = "h" + std::to_string(i);
      hosts.push_back({name, PeerHost{{name}, {"10.0.0.2", 1}, {"z"}, 1, 0}});
    }
    desk_.Handle(TableListed{FeedKind::kHosts, hosts, false, 100}, now_);
    desk_.Handle(TableChanged{FeedKind::kConfiguration, {}, 100}, now_);
    desk_.ChooseRelays();
    context_.TakeActions();
  }

  static FeedRow Listed(const std::string& name) {
    return {name, ListedEndpoint{{name}, {"p"}, {"z"}, {"10.0.1.1", 80}}};
  }
  static StoreSyncResponse NewsOf(uint64_t version, std::vector<FeedRow> rows) {
    StoreSyncResponse news;
    news.tables = {{FeedKind::kEndpoints, version, false, std::move(rows)},
                   {FeedKind::kHosts, version, false, {}}};
    return news;
  }

  // Plays until `ms` later and gives the actions, in order.
  std::vector<Action> RunFor(int64_t ms) {
    for (const base::TimePoint end = now_ + milliseconds(ms); now_ < end;
         now_ += milliseconds(10))
      desk_.HandleTimer(now_);
    return context_.TakeActions();
  }
  void Hear(StoreSyncReceived event) { desk_.Handle(std::move(event), now_); }

  void AnswerEndpoints(uint64_t version, std::vector<FeedRow> rows) {
    desk_.Handle(TableChanged{FeedKind::kEndpoints, std::move(rows), version},
                 now_);
  }
  void AnswerHosts() {
    desk_.Handle(TableChanged{FeedKind::kHosts, {}, 103}, now_);
  }
  // Of the news that this host would pass on.
  base::Duration AgeTold() {
    desk_.Handle(PeerStoreSyncRequested{PeerExchangeId{1}, {}}, now_);
    for (const Action& it : context_.TakeActions()) {
      if (const auto* answer = std::get_if<AnswerStoreSync>(&it))
        return answer->news.age;
    }
    return base::Duration(0);
  }

  bool Knows(const std::string& name) const {
    return std::ranges::any_of(
        desk_.endpoints(),
        [&name](const ListedEndpoint& it) { return it.name.value == name; });
  }

 private:
  static ForwardOptions Options() {
    ForwardOptions options;
    options.own = {{"small"}, {"10.0.0.1", 1}, {"z"}, 0.1, 0};
    return options;
  }

  ForwardContext context_;
  StoreSynchronizer desk_;
  base::TimePoint now_{milliseconds(1000)};
};

size_t CallsFor(const std::vector<Action>& actions, FeedKind feed) {
  return static_cast<size_t>(std::ranges::count_if(actions, [feed](auto& it) {
    const auto* follow = std::get_if<FollowTable>(&it);
    return follow != nullptr && follow->feed == feed;
  }));
}

TEST_CASE("a host that hears fresh news doesn't ask the store") {
  FollowerBench bench;
  bench.Hear(StoreSyncReceived{FollowerBench::NewsOf(101, {})});
  size_t asked = 0;
  for (int i = 0; i < 10; ++i) {
    const auto actions = bench.RunFor(800);
    CHECK(CallsFor(actions, FeedKind::kEndpoints) == 0);
    asked += static_cast<size_t>(std::ranges::count_if(actions, [](auto& it) {
      return std::holds_alternative<RequestStoreSync>(it);
    }));
    bench.Hear(StoreSyncReceived{FollowerBench::NewsOf(102, {})});
  }
  CHECK(asked >= 9);
  // None is heard any more.
  CHECK(CallsFor(bench.RunFor(2100), FeedKind::kEndpoints) > 0);
}

TEST_CASE("news never takes a host back, and old news is not relied on") {
  FollowerBench bench;
  bench.Hear(StoreSyncReceived{
      FollowerBench::NewsOf(120, {FollowerBench::Listed("e2")})});
  CHECK(bench.Knows("e2"));
  // Another peer, which knows less.
  bench.Hear(
      StoreSyncReceived{FollowerBench::NewsOf(90, {{"e2", RowRemoved{}}})});
  CHECK(bench.Knows("e2"));
  StoreSyncResponse old = FollowerBench::NewsOf(130, {{"e1", RowRemoved{}}});
  old.age = milliseconds(4000);
  bench.Hear(StoreSyncReceived{old});
  // It may have lapsed while the store was away.
  CHECK(bench.Knows("e1"));
  CHECK(CallsFor(bench.RunFor(2100), FeedKind::kEndpoints) > 0);
}

// An endpoint that leaves has to be noticed within half of its notice, also
// when the peers that pass on its entry are cut off from the store.
TEST_CASE("what a peer knew is relied on for two seconds in all") {
  FollowerBench bench;
  bench.Hear(StoreSyncReceived{FollowerBench::NewsOf(101, {})});
  // The peer answers on, and hears nothing of the store any more.
  for (int64_t age = 100; age < 2000; age += 100) {
    CAPTURE(age);
    CHECK(CallsFor(bench.RunFor(100), FeedKind::kEndpoints) == 0);
    StoreSyncResponse news = FollowerBench::NewsOf(101, {});
    news.age = milliseconds(age);
    bench.Hear(StoreSyncReceived{news});
  }
  CHECK(CallsFor(bench.RunFor(120), FeedKind::kEndpoints) == 1);
}

// Answers a store that turns a zone's relays away and serves the other hosts.
TEST_CASE(
    "an endpoint that is removed goes, whatever peers know of the store") {
  FollowerBench bench;
  REQUIRE(bench.Knows("e1"));
  StoreSyncResponse cut_off = FollowerBench::NewsOf(101, {});
  cut_off.age = milliseconds(4000);
  bench.Hear(StoreSyncReceived{cut_off});
  bench.AnswerEndpoints(200, {{"e1", RowRemoved{}}});
  // The peer answers each 0.65 s and is cut off; the own calls succeed.
  for (uint64_t version = 201; version < 204; ++version) {
    bench.Hear(StoreSyncReceived{cut_off});
    bench.RunFor(650);
    bench.AnswerEndpoints(version, {});
  }
  bench.RunFor(10);
  CHECK_FALSE(bench.Knows("e1"));
}

// The store answers one call and loses another.
TEST_CASE("answers about other tables don't make news of endpoints newer") {
  FollowerBench bench;
  bench.RunFor(3000);
  bench.AnswerHosts();
  CHECK(bench.AgeTold() >= milliseconds(3000));
}

TEST_CASE("a host that hears of a higher revision asks for it at once") {
  FollowerBench bench;
  bench.Hear(StoreSyncReceived{FollowerBench::NewsOf(101, {})});
  bench.RunFor(100);
  StoreSyncResponse news = FollowerBench::NewsOf(102, {});
  news.revision = 7;
  bench.Hear(StoreSyncReceived{news});
  const auto actions = bench.RunFor(20);
  CHECK(std::ranges::any_of(actions, [](const Action& it) {
    const auto* list = std::get_if<ListTable>(&it);
    const auto* follow = std::get_if<FollowTable>(&it);
    return (list != nullptr && list->feed == FeedKind::kConfiguration) ||
           (follow != nullptr && follow->feed == FeedKind::kConfiguration);
  }));
}

}  // namespace
}  // namespace bilberry::forward
