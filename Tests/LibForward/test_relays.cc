#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
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

std::vector<std::string> KeysOf(const TableUpdate& news) {
  std::vector<std::string> keys;
  for (const FeedRow& it : news.rows)
    keys.push_back(it.key);
  return keys;
}

TEST_CASE("news holds what has changed since the version that is known") {
  TableChangeLog ledger(FeedKind::kEndpoints);
  ledger.Take(true, {Row("a", "p"), Row("b", "p")}, 10);
  CHECK(KeysOf(ledger.UpdateSince(10)).empty());
  // Written again with the same content, as endpoints do each second.
  ledger.Take(false, {Row("a", "p")}, 12);
  CHECK(KeysOf(ledger.UpdateSince(10)).empty());
  CHECK(ledger.UpdateSince(10).version == 12);
  ledger.Take(false, {Row("a", "q"), Removed("b"), Row("c", "p")}, 14);
  CHECK(KeysOf(ledger.UpdateSince(12)) ==
        std::vector<std::string>{"a", "b", "c"});
  CHECK(KeysOf(ledger.UpdateSince(14)).empty());
  CHECK_FALSE(ledger.UpdateSince(12).is_whole);
  ledger.Take(false, {{"a", RowUnreadable{"garbled"}}}, 15);
  CHECK(KeysOf(ledger.UpdateSince(14)).empty());
  // Whoever knows less than the ledger ever did is told all there is.
  const TableUpdate whole = ledger.UpdateSince(9);
  CHECK(whole.is_whole);
  CHECK(KeysOf(whole) == std::vector<std::string>{"a", "c"});
}

TEST_CASE("a new listing tells what is gone") {
  TableChangeLog ledger(FeedKind::kEndpoints);
  ledger.Take(true, {Row("a", "p"), Row("b", "p")}, 10);
  ledger.Take(true, {Row("b", "p")}, 30);
  const TableUpdate news = ledger.UpdateSince(20);
  REQUIRE(news.rows.size() == 1);
  CHECK(news.rows[0].key == "a");
  CHECK(std::holds_alternative<RowRemoved>(news.rows[0].content));
}

// Plays random changes to a table, followed by one host and passed on to
// another, which must end with the same rows whenever it asks.
TEST_CASE(
    "whoever follows by news has the same rows as whoever follows the store") {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    base::Random random(seed);
    TableChangeLog ledger(FeedKind::kEndpoints);
    std::map<std::string, std::string> rows;
    std::map<std::string, std::string> told;
    uint64_t version = 1;
    uint64_t known = 0;
    ledger.Take(true, {}, version);
    for (int i = 0; i < 300; ++i) {
      const std::string key = "k" + std::to_string(random.Below(12));
      ++version;
      if (random.Below(3) == 0) {
        rows.erase(key);
        ledger.Take(false, {Removed(key)}, version);
      } else {
        rows[key] = "p" + std::to_string(random.Below(3));
        ledger.Take(false, {Row(key, rows[key])}, version);
      }
      if (random.Below(4) != 0)
        continue;
      const TableUpdate news = ledger.UpdateSince(known);
      known = news.version;
      if (news.is_whole)
        told.clear();
      for (const FeedRow& it : news.rows) {
        if (const auto* listed = std::get_if<ListedEndpoint>(&it.content))
          told[it.key] = listed->pool.value;
        else
          told.erase(it.key);
      }
      REQUIRE(told == rows);
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

// Answers a fleet of hundreds of hosts that would all follow the store.
TEST_CASE("in a large fleet two large hosts of each zone follow the store") {
  const std::vector<PeerHost> hosts = Fleet(25);
  std::map<base::HostName, int> asked;
  int followers = 0;
  for (const PeerHost& own : hosts) {
    RelayPoller desk(own, 1);
    desk.SetHosts(hosts);
    const auto relay = desk.TakeDue(At(0));
    if (!relay) {
      ++followers;
      continue;
    }
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
    RelayPoller desk(own, 1);
    desk.SetHosts(hosts);
    CHECK_FALSE(desk.TakeDue(At(0)).has_value());
    CHECK_FALSE(desk.NextWakeup().has_value());
  }
}

TEST_CASE("relays are asked by turns while there is something to tell") {
  const std::vector<PeerHost> hosts = Fleet(25);
  RelayPoller desk(hosts.back(), 1);
  desk.SetHosts(hosts);
  const auto first = desk.TakeDue(At(0));
  REQUIRE(first.has_value());
  desk.NoteAnswered(At(10));
  desk.TakeTurns();
  const auto second = desk.TakeDue(At(710));
  REQUIRE(second.has_value());
  CHECK(second->name != first->name);
  desk.NoteAnswered(At(720));
  CHECK(desk.TakeDue(At(1420))->name == second->name);
}

TEST_CASE("a relay that gives no answer is followed by the other one") {
  const std::vector<PeerHost> hosts = Fleet(25);
  RelayPoller desk(hosts.back(), 1);
  desk.SetHosts(hosts);
  const auto first = desk.TakeDue(At(0));
  REQUIRE(first.has_value());
  CHECK_FALSE(desk.TakeDue(At(1)).has_value());
  desk.NoteFailed(At(600));
  CHECK_FALSE(desk.TakeDue(At(600)).has_value());
  const auto second = desk.TakeDue(At(800));
  REQUIRE(second.has_value());
  CHECK(second->name != first->name);
  desk.NoteAnswered(At(810));
  CHECK_FALSE(desk.TakeDue(At(1400)).has_value());
  CHECK(desk.TakeDue(At(1510))->name == second->name);
}

}  // namespace
}  // namespace bilberry::forward
