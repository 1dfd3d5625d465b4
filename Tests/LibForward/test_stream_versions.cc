#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "LibForward/node_bench.h"

// Streams in pools whose endpoints have different software versions.
namespace bilberry::forward {
namespace {

using std::chrono::seconds;

std::shared_ptr<const ForwardConfiguration> ResumableStreams() {
  auto configuration = *NodeBench::MakeConfiguration();
  configuration.pipelines[0].may_resume = true;
  configuration.pipelines[0].max_attempts = 3;
  return std::make_shared<const ForwardConfiguration>(configuration);
}

// The store's table of streams, which all hosts share.
struct StreamTable {
  std::map<std::pair<std::string, std::string>, StreamRow> rows;  // Part, key.
  bool is_failing = false;

  bool Has(const std::string& key) const {
    return std::ranges::any_of(
        rows, [&key](const auto& it) { return it.first.second == key; });
  }

  Event AnswerTo(const ReadStreamRows& read) const {
    if (is_failing)
      return StreamRowsFailed{read.id, "answered 503"};
    StreamRowsRead answer{read.id, {}};
    for (const auto& [place, row] : rows) {
      if (place.first == read.part && (!read.key || place.second >= *read.key))
        answer.rows.push_back(row);
    }
    if (read.key && answer.rows.size() > 1)
      answer.rows.resize(1);
    return answer;
  }
  Event AnswerTo(const WriteStreamRows& write) {
    if (is_failing)
      return StreamRowsFailed{write.id, "answered 503"};
    for (const StreamRow& it : write.written)
      rows[{write.part, it.key}] = it;
    for (const std::string& it : write.removed)
      rows.erase({write.part, it});
    return StreamRowsWritten{write.id};
  }
};

// A host whose engines are named by their software version: v1-a, v2-b; other
// endpoints make pieces.
class VersionBench : public NodeBench {
 public:
  explicit VersionBench(const std::vector<std::string>& endpoints)
      : VersionBench(endpoints, own_table_) {}
  VersionBench(const std::vector<std::string>& endpoints, StreamTable& table)
      : NodeBench(ResumableStreams(), Options(), RowsOf(endpoints)),
        listed_(endpoints),
        table_(table) {
    RunFor(milliseconds(10));
    // Enough requests to earn retries.
    for (uint64_t caller = 100; caller < 140; ++caller)
      EndWhole(Send(caller));
    RunFor(milliseconds(500));
  }

  // Runs with the store answering the calls for rows of streams.
  void RunFor(milliseconds time) {
    const base::TimePoint end = now + time;
    while (now < end) {
      PassTo(now + milliseconds(5));
      AnswerStoreCalls();
    }
  }
  // The store answers the calls for rows of streams and those for endpoints,
  // the latter only while the host isn't cut off from it.
  void AnswerStoreCalls() {
    for (; answered_ < actions.size(); ++answered_) {
      const Action action = actions[answered_];
      if (const auto* read = std::get_if<ReadStreamRows>(&action))
        Feed(AnswerTo(*read));
      else if (const auto* write = std::get_if<WriteStreamRows>(&action))
        Feed(AnswerTo(*write));
      else if (const auto* list = std::get_if<ListTable>(&action))
        is_calling_ |= list->feed == FeedKind::kEndpoints;
      else if (const auto* follow = std::get_if<FollowTable>(&action))
        is_calling_ |= follow->feed == FeedKind::kEndpoints;
    }
    if (is_calling_ && !is_cut) {
      is_calling_ = false;
      Feed(TableListed{FeedKind::kEndpoints, RowsOf(listed_), false, version});
    }
  }
  // Time passes without any of the host's code running.
  void StandStill(milliseconds time) { now += time; }

  // Begins a stream at an endpoint of this version; returns its name.
  std::string BeginAt(const std::string& wanted) {
    for (uint64_t caller = 1000;; ++caller) {
      REQUIRE(caller < 1100);
      const SendAttempt send = Send(caller);
      Begin(send);
      if (VersionOf(send.endpoint) == wanted)
        return send.request->request_id;
    }
  }

  // The version at which a caller's take-up goes on; empty if it is refused.
  std::string TakeUp(const std::string& stream, uint64_t caller) {
    constexpr milliseconds kLongestWait{2500};
    const size_t before = actions.size();
    ForwardedRequest request = Request(caller);
    request.piece_counts = {};
    request.last_event = "0";
    request.resumed_stream = stream;
    Feed(std::move(request));
    AnswerStoreCalls();
    for (const base::TimePoint end = now + kLongestWait;
         !HasEnded(before) && now < end;)
      RunFor(milliseconds(5));
    for (size_t i = before; i < actions.size(); ++i) {
      if (const auto* send = std::get_if<SendAttempt>(&actions[i]))
        return VersionOf(send->endpoint);
    }
    REQUIRE(HasEnded(before));
    const auto* answer = Last<AnswerCaller>();
    REQUIRE(answer != nullptr);
    CHECK(answer->code == LocalAnswerCode::kNoEndpoint);
    CHECK(answer->retry_after.has_value());
    return "";
  }

  static std::string VersionOf(const base::EndpointName& name) {
    return name.value.substr(0, 2);
  }

  static std::vector<FeedRow> RowsOf(const std::vector<std::string>& names) {
    std::vector<FeedRow> rows;
    for (const std::string& it : names) {
      ListedEndpoint endpoint =
          MakeEndpoint(it, it.starts_with('v') ? "llm" : "maker");
      endpoint.software_version = VersionOf(endpoint.name);
      rows.push_back({it, endpoint});
    }
    return rows;
  }
  void ListEndpoints(const std::vector<std::string>& names) {
    SetListed(names);
    Feed(TableListed{FeedKind::kEndpoints, RowsOf(names), false, version});
  }
  // What the store lists from now on, when it is asked.
  void SetListed(const std::vector<std::string>& names) {
    listed_ = names;
    ++version;
  }

  // The attempt sent for a new request.
  SendAttempt Send(uint64_t caller) {
    ForwardedRequest request = Request(caller);
    request.piece_counts = {};
    Feed(std::move(request));
    const auto* sent = Last<SendAttempt>();
    REQUIRE(sent != nullptr);
    return *sent;
  }

  void Begin(const SendAttempt& send) {
    Feed(AttemptChunk{send.attempt, HeadFor(send), "id: 0\n\n"});
  }
  void Break(const SendAttempt& send) {
    Feed(AttemptFailure{send.attempt, AttemptFailureKind::kBroken, "reset"});
    if (Last<CheckEndpointHealth>() != nullptr)
      EndHealthCheck(HealthCheckResult::kSameProcess);
  }
  void EndWhole(const SendAttempt& send) {
    Feed(AttemptAnswer{send.attempt, HeadFor(send), ""});
  }

  uint64_t version = 1;
  bool is_cut = false;

 private:
  Event AnswerTo(const ReadStreamRows& read) const {
    if (is_cut)
      return StreamRowsFailed{read.id, "timeout"};
    return table_.AnswerTo(read);
  }
  Event AnswerTo(const WriteStreamRows& write) {
    if (is_cut)
      return StreamRowsFailed{write.id, "timeout"};
    return table_.AnswerTo(write);
  }
  // Whether a request was sent, or refused, since there were so many actions.
  bool HasEnded(size_t before) const {
    return std::any_of(actions.begin() + static_cast<ptrdiff_t>(before),
                       actions.end(), [](const Action& it) {
                         return std::holds_alternative<SendAttempt>(it) ||
                                std::holds_alternative<AnswerCaller>(it);
                       });
  }

  static AnswerHead HeadFor(const SendAttempt& send) {
    AnswerHead head = GoodHead(send.request->request_id);
    head.content_type = "text/event-stream";
    return head;
  }

  std::vector<std::string> listed_;
  bool is_calling_ = false;  // For endpoints.
  StreamTable own_table_;
  StreamTable& table_;
  size_t answered_ = 0;
};

TEST_SUITE_BEGIN("stream-versions");

TEST_CASE("a host goes on with a broken stream only at the same version") {
  for (uint64_t caller = 1; caller < 30; ++caller) {
    CAPTURE(caller);
    VersionBench bench({"v1-a", "v1-b", "v2-a", "v2-b", "v2-c"});
    const SendAttempt first = bench.Send(caller);
    bench.Begin(first);
    bench.Break(first);
    const auto* rest = bench.Last<SendAttempt>();
    REQUIRE(rest->attempt.number != first.attempt.number);
    CHECK(rest->resume_after == "0");
    CHECK(bench.VersionOf(rest->endpoint) == bench.VersionOf(first.endpoint));
  }
}

TEST_CASE("a stream ends when no other endpoint of its version is left") {
  VersionBench bench({"v1-a", "v2-a", "v2-b", "v2-c"});
  SendAttempt first = bench.Send(1);
  for (uint64_t caller = 2; first.endpoint.value != "v1-a"; ++caller) {
    REQUIRE(caller < 50);
    first = bench.Send(caller);
  }
  bench.Begin(first);
  bench.Break(first);
  CHECK(bench.Last<SendAttempt>()->attempt.number == first.attempt.number);
  REQUIRE(bench.Last<EndStream>() != nullptr);
  CHECK(bench.Last<EndStream>()->outcome == StreamOutcome::kCut);
}

TEST_CASE("a request without a first event goes to any version") {
  bool has_changed_version = false;
  for (uint64_t caller = 1; caller < 30; ++caller) {
    VersionBench bench({"v1-a", "v2-a", "v2-b"});
    const SendAttempt first = bench.Send(caller);
    bench.Break(first);
    const auto* second = bench.Last<SendAttempt>();
    has_changed_version |=
        bench.VersionOf(second->endpoint) != bench.VersionOf(first.endpoint);
  }
  CHECK(has_changed_version);
}

const std::vector<std::string> kBothVersions{"v1-a", "v1-b", "v2-a", "v2-b"};

TEST_CASE("a caller's take-up goes on at the version that began the stream") {
  for (uint64_t caller = 1; caller < 20; ++caller) {
    for (const std::string version : {"v1", "v2"}) {
      CAPTURE(caller);
      StreamTable table;
      VersionBench host(kBothVersions, table);
      const std::string stream = host.BeginAt(version);
      CHECK(host.TakeUp(stream, caller) == version);
      host.RunFor(milliseconds(300));
      // At a host that has just started.
      VersionBench other(kBothVersions, table);
      CHECK(other.TakeUp(stream, caller) == version);
      CHECK(other.TakeUp(stream, caller + 50) == version);
    }
  }
}

TEST_CASE("a stream isn't joined after all hosts were killed") {
  StreamTable table;
  std::string old_stream;
  std::string new_stream;
  {
    VersionBench host(kBothVersions, table);
    old_stream = host.BeginAt("v1");
    new_stream = host.BeginAt("v2");
    host.RunFor(milliseconds(300));
  }
  VersionBench host({"v2-a", "v2-b", "v2-c"}, table);
  CHECK(host.TakeUp(old_stream, 1).empty());
  CHECK(host.TakeUp(new_stream, 2) == "v2");
  // The old version is back.
  host.ListEndpoints({"v1-d", "v2-a"});
  CHECK(host.TakeUp(old_stream, 3) == "v1");
}

TEST_CASE("a stream isn't joined if its version left while no host was up") {
  StreamTable table;
  std::string stream;
  {
    VersionBench host({"v1-a", "v1-b"}, table);
    stream = host.BeginAt("v1");
    host.RunFor(milliseconds(300));
    CHECK_FALSE(table.Has(stream));
  }
  VersionBench host({"v2-a", "v2-b"}, table);
  CHECK(host.TakeUp(stream, 1).empty());
  host.RunFor(std::chrono::minutes(2));
  CHECK(host.TakeUp(stream, 2) == "v2");
}

TEST_CASE("streams from before a second version appeared keep their version") {
  StreamTable table;
  std::string stream;
  {
    VersionBench host({"v1-a", "v1-b"}, table);
    stream = host.BeginAt("v1");
    host.ListEndpoints({"v1-a", "v2-a", "v2-b"});
    host.RunFor(milliseconds(300));
  }
  VersionBench host({"v1-a", "v2-a", "v2-b"}, table);
  CHECK(host.TakeUp(stream, 1) == "v1");
}

// Guards against take-ups that are refused although nothing can be joined.
TEST_CASE("in a pool of one version each take-up goes on") {
  StreamTable table;
  VersionBench host({"v1-a", "v1-b"}, table);
  CHECK(host.TakeUp("unknown", 1) == "v1");
  CHECK(host.TakeUp("", 2) == "v1");
  VersionBench other({"v1-a", "v1-b"}, table);
  table.is_failing = true;
  CHECK(other.TakeUp("unknown", 3) == "v1");
}

TEST_CASE("in a mixed pool a take-up of an unknown stream is refused") {
  StreamTable table;
  VersionBench host(kBothVersions, table);
  CHECK(host.TakeUp("unknown", 1).empty());
  CHECK(host.TakeUp("", 2).empty());
  const std::string stream = host.BeginAt("v2");
  host.RunFor(milliseconds(300));
  VersionBench other(kBothVersions, table);
  table.is_failing = true;
  CHECK(other.TakeUp(stream, 3).empty());
  table.is_failing = false;
  CHECK(other.TakeUp(stream, 4) == "v2");
}

TEST_CASE("rows of streams are written only while a pool is mixed") {
  StreamTable table;
  VersionBench host({"v1-a", "v1-b"}, table);
  const std::string first = host.BeginAt("v1");
  host.RunFor(milliseconds(300));
  CHECK_FALSE(table.Has(first));
  host.ListEndpoints(kBothVersions);
  const SendAttempt send = host.Send(3);
  host.Begin(send);
  host.RunFor(milliseconds(300));
  CHECK(table.Has(first));
  CHECK(table.Has("r3"));
  host.EndWhole(send);
  host.RunFor(seconds(6));
  CHECK_FALSE(table.Has("r3"));
  host.RunFor(std::chrono::minutes(2));
  CHECK_FALSE(table.Has(first));
}

// Guards against streams that break moments after their first event, or whose
// hosts are killed then, and can't be taken up.
TEST_CASE("a stream's row is in the store moments after its first event") {
  StreamTable table;
  VersionBench host(kBothVersions, table);
  host.RunFor(seconds(1));
  for (uint64_t caller = 1; caller < 30; ++caller) {
    CAPTURE(caller);
    host.Begin(host.Send(caller));
    host.RunFor(milliseconds(60));
    CHECK(table.Has("r" + std::to_string(caller)));
    host.RunFor(milliseconds(static_cast<int64_t>(caller) * 7));
  }
}

TEST_CASE("rows of streams are written again when the store rejects them") {
  StreamTable table;
  VersionBench host(kBothVersions, table);
  table.is_failing = true;
  const std::string stream = host.BeginAt("v1");
  host.RunFor(seconds(1));
  CHECK_FALSE(table.Has(stream));
  table.is_failing = false;
  host.RunFor(seconds(1));
  CHECK(table.Has(stream));
}

TEST_CASE("rows of streams are written again when the store was restored") {
  StreamTable table;
  VersionBench host(kBothVersions, table);
  host.Feed(TableChanged{FeedKind::kHosts, {}, 9, 1});
  const std::string stream = host.BeginAt("v1");
  host.RunFor(seconds(1));
  table.rows.clear();
  host.Feed(TableChanged{FeedKind::kHosts, {}, 2, 2});
  host.RunFor(seconds(1));
  CHECK(table.Has(stream));
  CHECK(table.Has("llm"));
}

// The report of issue 66: streams joined at a host that was out of step while
// endpoints of a new version joined.
TEST_CASE("a host that is cut off joins no stream of a version it can't know") {
  for (const int64_t cut_for : {0, 100, 900, 3000, 9000, 70'000}) {
    CAPTURE(cut_for);
    StreamTable table;
    VersionBench cut({"v1-a", "v1-b"}, table);
    cut.is_cut = true;
    VersionBench host(kBothVersions, table);
    const std::string stream = host.BeginAt("v2");
    host.RunFor(milliseconds(300));
    cut.RunFor(milliseconds(cut_for));
    CHECK(cut.TakeUp(stream, 1).empty());
    CHECK(cut.TakeUp("", 2).empty());
    // Back in touch, with endpoints of the version that began the stream.
    cut.is_cut = false;
    cut.SetListed(kBothVersions);
    cut.RunFor(seconds(2));
    CHECK(cut.TakeUp(stream, 3) == "v2");
  }
}

TEST_CASE(
    "a host that stood still joins no stream of a version it can't know") {
  for (const bool has_row : {true, false}) {
    CAPTURE(has_row);
    StreamTable table;
    VersionBench frozen({"v1-a", "v1-b"}, table);
    frozen.RunFor(seconds(2));
    VersionBench host(kBothVersions, table);
    const std::string stream = host.BeginAt("v2");
    host.RunFor(milliseconds(300));
    // Rows of a host that is killed at once are never written.
    if (!has_row)
      table.rows.clear();
    frozen.StandStill(seconds(8));
    // An answer to a call that was made before is read only now.
    frozen.Feed(TableListed{FeedKind::kEndpoints,
                            frozen.RowsOf({"v1-a", "v1-b"}), false,
                            frozen.version});
    frozen.SetListed(kBothVersions);
    CHECK(frozen.TakeUp(stream, 1) != "v1");
    frozen.RunFor(seconds(2));
    CHECK(frozen.TakeUp(stream, 2) == (has_row ? "v2" : ""));
  }
}

TEST_CASE("a version that came and went while a host was cut off is known") {
  StreamTable table;
  VersionBench cut({"v1-a", "v1-b"}, table);
  cut.is_cut = true;
  VersionBench host({"v1-a", "v1-b"}, table);
  host.ListEndpoints(kBothVersions);
  host.RunFor(milliseconds(300));
  cut.RunFor(seconds(5));
  cut.is_cut = false;
  cut.RunFor(seconds(2));
  CHECK(cut.TakeUp("unknown", 1).empty());
}

// Guards against take-ups that are refused at hosts in touch (LOST).
TEST_CASE("a host in touch goes on in a pool of one version at any time") {
  StreamTable table;
  VersionBench host({"v1-a", "v1-b"}, table);
  for (uint64_t caller = 1; caller < 40; ++caller) {
    CAPTURE(caller);
    host.RunFor(milliseconds(static_cast<int64_t>(caller) * 7));
    CHECK(host.TakeUp("unknown", caller) == "v1");
  }
}

// Versions that join while a take-up waits for its stages.
TEST_CASE("an unknown stream of a pool of one version goes on at that one") {
  for (uint64_t caller = 1; caller < 20; ++caller) {
    CAPTURE(caller);
    VersionBench host({"m1", "v1-a"});
    ForwardedRequest request = host.Request(caller);
    request.last_event = "0";
    request.resumed_stream = "unknown";
    host.Feed(std::move(request));
    host.AnswerStoreCalls();
    host.ListEndpoints({"m1", "v1-a", "v2-a", "v2-b", "v2-c", "v2-d"});
    host.AnswerStoreCalls();
    host.RunFor(milliseconds(50));
    const auto* call = host.Last<CallStage>();
    REQUIRE(call != nullptr);
    host.EndStage(call->call);
    host.RunFor(milliseconds(50));
    const auto* sent = host.Last<SendAttempt>();
    REQUIRE(sent != nullptr);
    REQUIRE(sent->request->request_id == "r" + std::to_string(caller));
    CHECK(host.VersionOf(sent->endpoint) == "v1");
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::forward
