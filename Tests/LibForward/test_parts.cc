#include <doctest/doctest.h>

#include <algorithm>
#include <initializer_list>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "LibForward/cell_chooser.h"
#include "LibForward/cell_plan.h"
#include "LibForward/endpoint_chooser.h"
#include "LibForward/endpoint_directory.h"
#include "LibForward/event_splitter.h"
#include "LibForward/feed_follower.h"
#include "LibForward/host_assignment.h"
#include "LibForward/peer_failure_detector.h"
#include "LibForward/piece_endpoint.h"

namespace bilberry::forward {
namespace {

using std::chrono::milliseconds;

base::TimePoint At(int ms) {
  return base::TimePoint(milliseconds(ms));
}

ListedEndpoint Endpoint(const std::string& name) {
  ListedEndpoint endpoint;
  endpoint.name.value = name;
  endpoint.pool.value = "p";
  return endpoint;
}

FeedRow Listed(const std::string& name) {
  return {name, Endpoint(name)};
}

TEST_CASE("a stream is split into whole events wherever its bytes are cut") {
  const std::string text =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n";
  for (size_t cut = 0; cut <= text.size(); ++cut) {
    CAPTURE(cut);
    EventSplitter splitter;
    std::vector<StreamEvent> events = splitter.Add(text.substr(0, cut));
    for (StreamEvent& it : splitter.Add(text.substr(cut)))
      events.push_back(std::move(it));
    REQUIRE(events.size() == 3);
    CHECK(events[0].id == "1");
    CHECK(events[1].id == "2");
    CHECK_FALSE(events[2].id.has_value());
    CHECK(events[0].bytes + events[1].bytes + events[2].bytes == text);
    CHECK_FALSE(splitter.is_inside_event());
  }
}

TEST_CASE("a stream that ends inside an event is detected") {
  EventSplitter splitter;
  CHECK(splitter.Add("id: 1\ndata: a\n\nid: 2\nda").size() == 1);
  CHECK(splitter.is_inside_event());
}

// Guards against a host that is kept from its other work by short lines without
// end, because each piece is searched together with all lines before it.
TEST_CASE("each byte of a stream is searched once for the end of its event") {
  for (const size_t pieces : {1000, 2000, 4000}) {
    for (const std::string piece : {"\n", ":\n", "x", "data: a\r\n\r\n"}) {
      CAPTURE(pieces);
      CAPTURE(piece);
      EventSplitter splitter;
      splitter.Add("data: begun\n");
      const uint64_t before = splitter.examined_bytes();
      for (size_t i = 0; i < pieces; ++i)
        splitter.Add(piece);
      CHECK(splitter.examined_bytes() - before == pieces * piece.size());
    }
  }
}

TEST_CASE("entries missing after a store outage are kept for two seconds") {
  EndpointDirectory directory;
  CHECK(directory.Apply(true, {Listed("a"), Listed("b")}, At(0)));
  directory.NoteStoreLost();
  directory.NoteStoreBack(At(5000));
  CHECK_FALSE(directory.Apply(true, {Listed("b")}, At(5000)));
  CHECK(directory.endpoints().size() == 2);
  CHECK(directory.NextWakeup() == At(7000));
  CHECK_FALSE(directory.DropMissing(At(6999)));
  CHECK(directory.DropMissing(At(7000)));
  CHECK(directory.endpoints().size() == 1);
}

TEST_CASE("an entry that reappears in time is kept") {
  EndpointDirectory directory;
  directory.Apply(true, {Listed("a")}, At(0));
  directory.NoteStoreLost();
  directory.NoteStoreBack(At(5000));
  directory.Apply(false, {{"a", RowRemoved{}}}, At(5000));
  directory.Apply(false, {Listed("a")}, At(6000));
  CHECK_FALSE(directory.DropMissing(At(8000)));
  CHECK(directory.endpoints().size() == 1);
}

TEST_CASE("a removal takes effect at once if the store had no outage") {
  EndpointDirectory directory;
  directory.Apply(true, {Listed("a")}, At(0));
  CHECK(directory.Apply(false, {{"a", RowRemoved{}}}, At(100)));
  CHECK(directory.is_empty());
}

TEST_CASE("an unreadable entry leaves the known endpoint unchanged") {
  EndpointDirectory directory;
  directory.Apply(true, {Listed("a")}, At(0));
  CHECK_FALSE(directory.Apply(true, {{"a", RowUnreadable{"torn"}}}, At(100)));
  CHECK(directory.endpoints().size() == 1);
}

TEST_CASE(
    "a table is listed once, then followed, and relisted after lost history") {
  FeedFollower follower(FeedKind::kHosts, {milliseconds(0), milliseconds(10)},
                        1);
  auto call = follower.NextCall(At(0));
  REQUIRE(call.has_value());
  CHECK(std::holds_alternative<ListTable>(*call));
  CHECK_FALSE(follower.NextCall(At(1)).has_value());
  // The second page starts after the last row of the first one.
  CHECK_FALSE(follower.HandleListed({FeedKind::kHosts, {Listed("a")}, true, 5})
                  .has_value());
  call = follower.NextCall(At(2));
  CHECK(std::get<ListTable>(*call).start_after == "a");
  const auto update =
      follower.HandleListed({FeedKind::kHosts, {Listed("b")}, false, 9});
  REQUIRE(update.has_value());
  CHECK(update->is_whole);
  CHECK(update->rows.size() == 2);
  // Changes are requested from the first page's version on, since rows of the
  // first page may change before the second page is read.
  CHECK(std::get<FollowTable>(*follower.NextCall(At(3))).version == 5);
  follower.HandleChanged({FeedKind::kHosts, {}, 12});
  CHECK(std::get<FollowTable>(*follower.NextCall(At(4))).version == 12);
  follower.HandleHistoryLost();
  CHECK(std::holds_alternative<ListTable>(*follower.NextCall(At(5))));
}

TEST_CASE("failed calls are retried after growing delays") {
  FeedFollower follower(FeedKind::kHosts, {milliseconds(0), milliseconds(10)},
                        1);
  base::TimePoint now = At(0);
  base::Duration longest{0};
  for (int i = 0; i < 10; ++i) {
    REQUIRE(follower.NextCall(now).has_value());
    follower.HandleFailed(now);
    const base::TimePoint next = *follower.NextWakeup();
    CHECK(next >= now + milliseconds(100));
    longest = std::max(longest, next - now);
    now = next;
  }
  CHECK(longest <= milliseconds(1200));
}

PeerHost Host(const std::string& name, const std::string& zone, double cores) {
  return {{name}, {"10.0.0." + name, 1}, {zone}, cores, cores * 100};
}

std::set<base::PoolName> PoolsOf(std::initializer_list<const char*> names) {
  std::set<base::PoolName> pools;
  for (const char* name : names)
    pools.insert({name});
  return pools;
}

CellPool At(const std::string& zone, const std::string& pool) {
  return {{{zone}}, {pool}};
}

TEST_CASE("hosts agree on a dispatcher, and skip a suspected one") {
  const std::vector<PeerHost> hosts{Host("1", "z", 1), Host("2", "z", 1),
                                    Host("3", "z", 1)};
  const auto pools = PoolsOf({"p", "q", "r", "s"});
  HostAssignment first(hosts[0]);
  HostAssignment second(hosts[1]);
  for (HostAssignment* ring : {&first, &second}) {
    ring->SetHosts(hosts);
    ring->SetPools(pools);
  }
  for (const base::PoolName& pool : pools)
    CHECK(first.DispatcherOf({{}, pool}) == second.DispatcherOf({{}, pool}));
  const base::HostName suspect = second.DispatcherOf(At("", "p")).name;
  HostAssignment other(suspect.value == "1" ? hosts[1] : hosts[0]);
  other.SetHosts(hosts);
  other.SetPools(pools);
  other.MarkSuspect(suspect);
  CHECK(other.DispatcherOf(At("", "p")).name != suspect);
  CHECK(other.DispatcherOf(At("", "p")) ==
        other.DispatcherSuccessorOf(At("", "p")));
  CHECK(other.PreferredDispatcherOf(At("", "p")).name == suspect);
  other.ClearSuspect(suspect);
  CHECK(other.DispatcherOf(At("", "p")).name == suspect);
}

// A fleet may have many small hosts, and a single one of them can't handle the
// work of a pool.
TEST_CASE("large hosts are preferred as dispatchers, those of the zone first") {
  std::vector<PeerHost> hosts{Host("1", "a", 0.5), Host("2", "a", 0.5),
                              Host("3", "b", 0.5)};
  for (int i = 10; i < 80; ++i)
    hosts.push_back(Host(std::to_string(i), i % 2 == 0 ? "a" : "b", 0.12));
  HostAssignment ring(hosts.back());
  ring.SetHosts(hosts);
  const auto pools = PoolsOf({"p", "q", "r"});
  ring.SetPools(pools);
  std::map<base::HostName, int> counts_by_host;
  for (const base::PoolName& pool : pools) {
    const PeerHost& in_a = ring.DispatcherOf({{{"a"}}, pool});
    CHECK(in_a.zone.value == "a");
    CHECK(in_a.capacity == 0.5);
    ++counts_by_host[in_a.name];
    CHECK(ring.DispatcherOf({{{"b"}}, pool}).name.value == "3");
    CHECK(ring.DispatcherOf({{}, pool}).capacity == 0.5);
  }
  // The pools are spread over both large hosts of the zone.
  CHECK(counts_by_host.size() == 2);
  // If the only large host of a zone is suspected, large hosts of other zones
  // come next, and small ones only if no large host is left.
  ring.MarkSuspect({"3"});
  CHECK(ring.DispatcherOf(At("b", "p")).zone.value == "a");
  ring.MarkSuspect({"1"});
  ring.MarkSuspect({"2"});
  CHECK(ring.DispatcherOf(At("b", "p")).zone.value == "b");
}

TEST_CASE("a host with a slow link is not large") {
  std::vector<PeerHost> hosts{Host("1", "z", 1), Host("2", "z", 1)};
  hosts[0].link_mbps = 10;
  HostAssignment ring(hosts[0]);
  ring.SetHosts(hosts);
  const auto pools = PoolsOf({"p", "q", "r", "s", "t"});
  ring.SetPools(pools);
  for (const base::PoolName& pool : pools)
    CHECK(ring.DispatcherOf({{}, pool}).name.value == "2");
}

std::vector<ListedEndpoint> EndpointsOf(const std::string& pool,
                                        std::initializer_list<int> by_zone) {
  std::vector<ListedEndpoint> all;
  char zone = 'a';
  for (const int n : by_zone) {
    for (int i = 0; i < n; ++i)
      all.push_back({{pool + zone + std::to_string(i)},
                     {pool},
                     {std::string(1, zone)},
                     {}});
    ++zone;
  }
  return all;
}

TEST_CASE("each zone is a cell if all pools have enough endpoints per zone") {
  CellPlan plan;
  CHECK(plan.cells() == std::vector<Cell>{Cell()});
  plan.SetPools(PoolsOf({"p", "q"}));
  std::vector<ListedEndpoint> endpoints = EndpointsOf("p", {6, 6, 5});
  plan.SetEndpoints(endpoints);
  CHECK(plan.cells() == std::vector<Cell>{Cell()});
  for (const ListedEndpoint& it : EndpointsOf("q", {5, 5, 5}))
    endpoints.push_back(it);
  plan.SetEndpoints(endpoints);
  CHECK(plan.cells() == std::vector<Cell>{{{"a"}}, {{"b"}}, {{"c"}}});
  // Endpoints of pools that produce no pieces don't count.
  endpoints.push_back({{"e"}, {"engine"}, {"d"}, {}});
  plan.SetEndpoints(endpoints);
  CHECK(plan.cells().size() == 3);
  plan.SetPools(PoolsOf({"p", "q", "r"}));
  for (const ListedEndpoint& it : EndpointsOf("r", {2, 2, 1}))
    endpoints.push_back(it);
  plan.SetEndpoints(endpoints);
  CHECK(plan.cells() == std::vector<Cell>{Cell()});
}

TEST_SUITE_BEGIN("policy");

// Covers a burst that hits one zone.
TEST_CASE(
    "a cell with a long backlog is avoided until the backlog is shorter") {
  CellChooser chooser;
  const std::vector<Cell> cells{{{"a"}}, {{"b"}}, {{"c"}}};
  chooser.SetCells(cells);
  CellCriteria criteria;
  criteria.pools = {{"p"}};
  criteria.reader_zone.value = "a";
  const auto none_suspect = [](const CellPool&) { return false; };
  const auto choose = [&](int ms) {
    return chooser.Choose(criteria, none_suspect, At(ms))->zone.value;
  };
  CHECK(choose(0) == "a");
  // Transferring results to another zone costs more than this wait.
  chooser.NoteBacklog(At("a", "p"), milliseconds(150), At(0));
  CHECK(choose(0) == "a");
  chooser.NoteBacklog(At("a", "p"), milliseconds(900), At(0));
  chooser.NoteBacklog(At("b", "p"), milliseconds(300), At(0));
  CHECK(choose(0) == "c");
  // An old report no longer counts.
  CHECK(choose(2000) == "a");
  criteria.avoided = std::span(cells).first(1);
  CHECK(choose(0) == "c");
  const auto c_is_suspect = [](const CellPool& at) {
    return at.cell.zone.value == "c";
  };
  CHECK(chooser.Choose(criteria, c_is_suspect, At(0))->zone.value == "b");
  criteria.avoided = cells;
  CHECK_FALSE(chooser.Choose(criteria, none_suspect, At(0)).has_value());
}

// Covers a host that is slow for a while, and one that has crashed.
TEST_CASE(
    "a quiet host is probed, and is lost after two missed probes in a row") {
  PeerFailureDetector detector;
  detector.SetFleetSize(8);
  const base::HostName host{"h"};
  CHECK(detector.TakeDueProbes(At(0)).empty());
  detector.NoteUse(host, At(0));
  CHECK(detector.TakeDueProbes(At(100)).empty());
  detector.NoteHeard(host, At(100));
  CHECK(detector.TakeDueProbes(At(200)).empty());
  CHECK(detector.TakeDueProbes(At(250)).size() == 1);
  CHECK(detector.TakeDueProbes(At(300)).empty());
  CHECK(detector.NoteProbeFailed(host, At(600)) == ProbeVerdict::kSuspect);
  CHECK(detector.TakeDueProbes(At(600)).size() == 1);
  // Within 1.2 s of the last answer.
  CHECK(detector.NoteProbeFailed(host, At(950)) == ProbeVerdict::kLost);
  CHECK(detector.TakeDueProbes(At(950)).size() == 1);
  detector.NoteHeard(host, At(960));
  CHECK(detector.TakeDueProbes(At(1200)).size() == 1);
  CHECK(detector.NoteProbeFailed(host, At(1550)) == ProbeVerdict::kSuspect);
}

TEST_CASE("a host that lags itself suspects no peer") {
  PeerFailureDetector detector;
  const base::HostName host{"h"};
  detector.Monitor({host});
  REQUIRE(detector.TakeDueProbes(At(0)).size() == 1);
  CHECK(detector.NoteProbeFailed(host, At(4000)) == ProbeVerdict::kNone);
  CHECK(detector.TakeDueProbes(At(4000)).size() == 1);
  // An answer to any other request counts as well.
  detector.NoteHeard(host, At(4100));
  CHECK(detector.NoteProbeFailed(host, At(4350)) == ProbeVerdict::kNone);
}

TEST_CASE("hosts of a larger fleet probe less often") {
  PeerFailureDetector detector;
  detector.SetFleetSize(300);
  CHECK(detector.pace().probe_delay == milliseconds(600));
  CHECK(detector.pace().timeout == milliseconds(600));
  detector.SetFleetSize(77);
  CHECK(detector.pace().probe_delay == milliseconds(539));
}

ListedEndpoint Chosen(EndpointChooser& chooser,
                      const EndpointCriteria& criteria,
                      base::TimePoint now) {
  const EndpointChoice choice = chooser.Choose(criteria, now);
  const auto* endpoint = std::get_if<ListedEndpoint>(&choice);
  REQUIRE(endpoint != nullptr);
  return *endpoint;
}

// Covers the requests of a session, which share most of their prompt.
TEST_CASE(
    "requests that share a prompt go to one endpoint within load bounds") {
  EndpointConditions conditions;
  EndpointChooser chooser(1, conditions);
  std::vector<ListedEndpoint> endpoints;
  endpoints.reserve(9);
  for (int i = 0; i < 9; ++i)
    endpoints.push_back(Endpoint("e" + std::to_string(i)));
  chooser.SetEndpoints(endpoints);
  const EndpointCriteria criteria{{"p"}, "session", {}};
  const auto first = Chosen(chooser, criteria, At(0));
  std::map<std::string, int> counts;
  for (int i = 0; i < 90; ++i) {
    const auto chosen = Chosen(chooser, criteria, At(0));
    chooser.NoteBegun(chosen.name, false, At(0));
    ++counts[chosen.name.value];
  }
  CHECK(counts[first.name.value] >= 10);
  for (const auto& [name, n] : counts)
    CHECK(n <= 19);
}

TEST_CASE(
    "an endpoint that fails twice in a row is ejected unless it is the last") {
  EndpointConditions conditions;
  EndpointChooser chooser(1, conditions);
  const std::vector<ListedEndpoint> endpoints{Endpoint("a"), Endpoint("b")};
  chooser.SetEndpoints(endpoints);
  for (int i = 0; i < 2; ++i)
    chooser.NoteEnded({"a"}, AttemptOutcome::kFailed, false, At(0));
  for (int i = 0; i < 10; ++i)
    CHECK(Chosen(chooser, {{"p"}, {}, {}}, At(1)).name.value == "b");
  for (int i = 0; i < 2; ++i)
    chooser.NoteEnded({"b"}, AttemptOutcome::kFailed, false, At(0));
  CHECK_FALSE(Chosen(chooser, {{"p"}, {}, {}}, At(1)).name.value.empty());
}

// Guards against separate failure records for requests and for stage calls.
TEST_CASE("an endpoint that fails stage calls is ejected for requests too") {
  EndpointConditions conditions;
  EndpointChooser chooser(1, conditions);
  const std::vector<ListedEndpoint> endpoints{Endpoint("a"), Endpoint("b")};
  chooser.SetEndpoints(endpoints);
  PieceEndpoint maker(endpoints[0], conditions);
  maker.NoteFailed(At(0));
  for (int i = 0; i < 10; ++i)
    CHECK(Chosen(chooser, {{"p"}, {}, {}}, At(1)).name.value == "b");
  maker.NoteFailed(At(0));
  CHECK(maker.needs_probe());
  chooser.NoteBegun({"a"}, false, At(300));
  chooser.NoteEnded({"a"}, AttemptOutcome::kAnswered, false, At(310));
  CHECK_FALSE(maker.needs_probe());
  // An endpoint that was delisted starts without failures.
  maker.NoteFailed(At(400));
  conditions.ejector.KeepOnly(std::span(endpoints).subspan(1));
  CHECK(maker.IsIdle(1, At(401)));
}

// Covers a zone that is cut off: no connection is made, and each attempt costs
// its request the connect timeout.
TEST_CASE("endpoints of an unreachable zone are tried one at a time") {
  EndpointConditions conditions;
  EndpointChooser chooser(1, conditions);
  std::vector<ListedEndpoint> endpoints{Endpoint("a1"), Endpoint("a2"),
                                        Endpoint("a3"), Endpoint("b1")};
  for (ListedEndpoint& it : endpoints)
    it.zone.value = it.name.value.substr(0, 1);
  chooser.SetEndpoints(endpoints);
  chooser.NoteEnded({"a1"}, AttemptOutcome::kUnreachable, false, At(0));
  chooser.NoteEnded({"a2"}, AttemptOutcome::kUnreachable, false, At(0));
  for (int i = 0; i < 10; ++i)
    CHECK(Chosen(chooser, {{"p"}, {}, {}}, At(1)).name.value == "b1");
  // After the ejection, the zone gets one request.
  std::vector<std::string> chosen;
  for (int i = 0; i < 5; ++i) {
    const auto endpoint = Chosen(chooser, {{"p"}, {}, {}}, At(300));
    chooser.NoteBegun(endpoint.name, false, At(300));
    chosen.push_back(endpoint.name.value);
  }
  CHECK(std::ranges::count_if(chosen,
                              [](const auto& it) { return it != "b1"; }) == 1);
  const auto probe =
      *std::ranges::find_if(chosen, [](const auto& it) { return it != "b1"; });
  chooser.NoteEnded({probe}, AttemptOutcome::kAnswered, false, At(310));
  const std::vector<base::EndpointName> avoided{{"b1"}};
  CHECK(Chosen(chooser, {{"p"}, {}, avoided}, At(311)).zone.value == "a");
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::forward
