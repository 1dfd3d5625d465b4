#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibBase/random.h"
#include "LibForward/relay_poller.h"
#include "LibForward/table_change_log.h"

namespace bilberry::forward {
namespace {

using std::chrono::milliseconds;

base::TimePoint At(int64_t ms) {
  return base::TimePoint(milliseconds(ms));
}

FeedRow Row(const std::string& key, const std::string& pool) {
  return {key, ListedEndpoint{{key}, {pool}, {"z"}, {"10.0.0.1", 80}}};
}

FeedRow Removed(const std::string& key) {
  return {key, RowRemoved{}};
}

std::vector<std::string> KeysOf(const TableUpdate& update) {
  std::vector<std::string> keys;
  for (const FeedRow& it : update.rows)
    keys.push_back(it.key);
  return keys;
}

TEST_CASE("an update holds the changes since the known version") {
  TableChangeLog change_log(FeedKind::kEndpoints);
  change_log.Apply(true, {Row("a", "p"), Row("b", "p")}, 10);
  CHECK(KeysOf(change_log.UpdateSince(10)).empty());
  // Rewritten with the same content, as endpoints do every second.
  change_log.Apply(false, {Row("a", "p")}, 12);
  CHECK(KeysOf(change_log.UpdateSince(10)).empty());
  CHECK(change_log.UpdateSince(10).version == 12);
  change_log.Apply(false, {Row("a", "q"), Removed("b"), Row("c", "p")}, 14);
  CHECK(KeysOf(change_log.UpdateSince(12)) ==
        std::vector<std::string>{"a", "b", "c"});
  CHECK(KeysOf(change_log.UpdateSince(14)).empty());
  CHECK_FALSE(change_log.UpdateSince(12).is_whole);
  change_log.Apply(false, {{"a", RowUnreadable{"garbled"}}}, 15);
  CHECK(KeysOf(change_log.UpdateSince(14)).empty());
  // A version older than the log's beginning yields the whole table.
  const TableUpdate whole = change_log.UpdateSince(9);
  CHECK(whole.is_whole);
  CHECK(KeysOf(whole) == std::vector<std::string>{"a", "c"});
}

TEST_CASE("a new listing shows which rows were removed") {
  TableChangeLog change_log(FeedKind::kEndpoints);
  change_log.Apply(true, {Row("a", "p"), Row("b", "p")}, 10);
  change_log.Apply(true, {Row("b", "p")}, 30);
  const TableUpdate update = change_log.UpdateSince(20);
  REQUIRE(update.rows.size() == 1);
  CHECK(update.rows[0].key == "a");
  CHECK(std::holds_alternative<RowRemoved>(update.rows[0].content));
}

// Applies random changes to a table. A host that gets them as updates must have
// the same rows after each update.
TEST_CASE("a host that follows a relay has the same rows as the relay") {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    base::Random random(seed);
    TableChangeLog change_log(FeedKind::kEndpoints);
    std::map<std::string, std::string> rows;
    std::map<std::string, std::string> copied;
    uint64_t version = 1;
    uint64_t known = 0;
    change_log.Apply(true, {}, version);
    for (int i = 0; i < 300; ++i) {
      const std::string key = "k" + std::to_string(random.Below(12));
      ++version;
      if (random.Below(3) == 0) {
        rows.erase(key);
        change_log.Apply(false, {Removed(key)}, version);
      } else {
        rows[key] = "p" + std::to_string(random.Below(3));
        change_log.Apply(false, {Row(key, rows[key])}, version);
      }
      if (random.Below(4) != 0)
        continue;
      const TableUpdate update = change_log.UpdateSince(known);
      known = update.version;
      if (update.is_whole)
        copied.clear();
      for (const FeedRow& it : update.rows) {
        if (const auto* listed = std::get_if<ListedEndpoint>(&it.content))
          copied[it.key] = listed->pool.value;
        else
          copied.erase(it.key);
      }
      REQUIRE(copied == rows);
    }
  }
}

std::vector<PeerHost> Fleet(size_t small_per_zone) {
  std::vector<PeerHost> hosts;
  for (const char* zone : {"a", "b", "c"}) {
    for (size_t i = 0; i < 2 + small_per_zone; ++i) {
      const bool is_large = i < 2;
      const std::string name = zone + std::to_string(i);
      hosts.push_back({{name},
                       {"10.0.0.1", 1},
                       {zone},
                       is_large ? 0.5 : 0.12,
                       is_large ? 200.0 : 10.0});
    }
  }
  return hosts;
}

// Guards against a fleet of hundreds of hosts that all follow the store and
// overload it.
TEST_CASE("in a large fleet two large hosts of each zone follow the store") {
  const std::vector<PeerHost> hosts = Fleet(25);
  std::map<base::HostName, int> asked;
  int followers = 0;
  for (const PeerHost& own : hosts) {
    RelayPoller poller(own, 1);
    poller.SetHosts(hosts);
    if (!poller.has_relays()) {
      ++followers;
      continue;
    }
    const auto relay = poller.TakeDue(At(0));
    REQUIRE(relay.has_value());
    CHECK(relay->zone == own.zone);
    CHECK(relay->capacity == 0.5);
    ++asked[relay->name];
  }
  CHECK(followers == 6);
  CHECK(asked.size() == 6);
  for (const auto& [host, n] : asked)
    CHECK(n <= 20);
}

TEST_CASE("in a small fleet each host follows the store") {
  const std::vector<PeerHost> hosts = Fleet(3);
  for (const PeerHost& own : hosts) {
    RelayPoller poller(own, 1);
    poller.SetHosts(hosts);
    CHECK_FALSE(poller.has_relays());
  }
}

TEST_CASE("a host alone polls nobody") {
  const std::vector<PeerHost> hosts(1, Fleet(0).front());
  RelayPoller poller(hosts.front(), 1);
  poller.SetHosts(hosts);
  CHECK_FALSE(poller.TakeDue(At(0)).has_value());
  CHECK_FALSE(poller.NextWakeup().has_value());
}

// Guards against a host that learns nothing while the store turns it away.
TEST_CASE("a host that follows the store itself checks with all peers") {
  const std::vector<PeerHost> hosts = Fleet(3);
  RelayPoller poller(hosts.front(), 1);
  poller.SetHosts(hosts);
  std::set<std::string> polled;
  for (int64_t ms = 0; ms < 200'000; ms += 10) {
    const auto peer = poller.TakeDue(At(ms));
    if (!peer)
      continue;
    CHECK(peer->name != hosts.front().name);
    polled.insert(peer->name.value);
    poller.NoteAnswered(At(ms), false);
    // At most once a second while the store answers.
    CHECK_FALSE(poller.TakeDue(At(ms + 999)).has_value());
  }
  CHECK(polled.size() == hosts.size() - 1);
}

TEST_CASE("a host whose relays don't reach the store polls other peers") {
  const std::vector<PeerHost> hosts = Fleet(25);
  RelayPoller poller(hosts.back(), 1);
  poller.SetHosts(hosts);
  std::set<std::string> polled;
  for (int64_t ms = 0; ms < 20'000; ms += 10) {
    const auto peer = poller.TakeDue(At(ms));
    if (!peer)
      continue;
    polled.insert(peer->name.value);
    poller.NoteAnswered(At(ms), true);
  }
  CHECK(polled.size() > 10);
  const auto peer = poller.TakeDue(At(21'000));
  REQUIRE(peer.has_value());
  poller.NoteAnswered(At(21'000), false);
  const auto relay = poller.TakeDue(At(21'800));
  REQUIRE(relay.has_value());
  CHECK(relay->zone == hosts.back().zone);
  CHECK(relay->capacity == 0.5);
}

TEST_CASE("relays are polled in turn on request") {
  const std::vector<PeerHost> hosts = Fleet(25);
  RelayPoller poller(hosts.back(), 1);
  poller.SetHosts(hosts);
  const auto first = poller.TakeDue(At(0));
  REQUIRE(first.has_value());
  poller.NoteAnswered(At(10), false);
  poller.RotateRelay();
  const auto second = poller.TakeDue(At(710));
  REQUIRE(second.has_value());
  CHECK(second->name != first->name);
  poller.NoteAnswered(At(720), false);
  CHECK(poller.TakeDue(At(1420))->name == second->name);
}

TEST_CASE("a host fails over to the other relay when one gives no answer") {
  const std::vector<PeerHost> hosts = Fleet(25);
  RelayPoller poller(hosts.back(), 1);
  poller.SetHosts(hosts);
  const auto first = poller.TakeDue(At(0));
  REQUIRE(first.has_value());
  CHECK_FALSE(poller.TakeDue(At(1)).has_value());
  poller.NoteFailed(At(600));
  CHECK_FALSE(poller.TakeDue(At(600)).has_value());
  const auto second = poller.TakeDue(At(800));
  REQUIRE(second.has_value());
  CHECK(second->name != first->name);
  poller.NoteAnswered(At(810), false);
  CHECK_FALSE(poller.TakeDue(At(1400)).has_value());
  CHECK(poller.TakeDue(At(1510))->name == second->name);
}

}  // namespace
}  // namespace bilberry::forward
