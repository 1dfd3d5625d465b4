#include <doctest/doctest.h>

#include "LibMembership/host_list.h"

namespace bilberry::membership {
namespace {

using base::HostEntry;
using base::HostState;
using base::Incarnation;

HostEntry Endpoint(uint64_t incarnation, HostState state) {
  HostEntry entry;
  entry.name = "e1";
  entry.pool = {"p"};
  entry.incarnation = Incarnation{incarnation};
  entry.state = state;
  return entry;
}

TEST_SUITE_BEGIN("promise-5");

TEST_CASE("a leaving endpoint is no longer live") {
  HostList hosts;
  CHECK(hosts.Apply({1, {Endpoint(1, HostState::kLive)}}));
  CHECK(hosts.LiveEndpoints({"p"}).size() == 1);
  CHECK(hosts.Apply({2, {Endpoint(1, HostState::kLeaving)}}));
  CHECK(hosts.LiveEndpoints({"p"}).empty());
}

TEST_CASE("an older list does not revive a leaving endpoint") {
  HostList hosts;
  hosts.Apply({1, {Endpoint(1, HostState::kLive)}});
  CHECK(hosts.MarkLeaving("e1", Incarnation{1}));
  CHECK_FALSE(hosts.MarkLeaving("e1", Incarnation{1}));
  CHECK_FALSE(hosts.Apply({2, {Endpoint(1, HostState::kLive)}}));
  CHECK(hosts.LiveEndpoints({"p"}).empty());
}

TEST_CASE("a new incarnation is live again") {
  HostList hosts;
  hosts.Apply({1, {Endpoint(1, HostState::kLeaving)}});
  CHECK(hosts.Apply({2, {Endpoint(2, HostState::kLive)}}));
  CHECK(hosts.LiveEndpoints({"p"}).size() == 1);
  CHECK_FALSE(hosts.MarkLeaving("e1", Incarnation{1}));
}

TEST_CASE("a mark that precedes the host's first listing is kept") {
  HostList hosts;
  CHECK(hosts.MarkLeaving("e1", Incarnation{1}));
  hosts.Apply({1, {Endpoint(1, HostState::kLive)}});
  CHECK(hosts.LiveEndpoints({"p"}).empty());
}

TEST_CASE("a recreated list replaces the entries but no marks") {
  HostList hosts;
  HostEntry other = Endpoint(7, HostState::kLive);
  other.name = "e2";
  hosts.Apply({9, {Endpoint(1, HostState::kLive), other}});
  hosts.MarkLeaving("e1", Incarnation{1});
  CHECK(hosts.Apply({3, {Endpoint(1, HostState::kLive)}}));
  CHECK(hosts.version() == 3);
  CHECK(hosts.LiveEndpoints({"p"}).empty());
  CHECK(hosts.Find("e2") == nullptr);
}

TEST_CASE("a stale list does not revive an incarnation that has left") {
  HostList hosts;
  hosts.Apply({5, {Endpoint(1, HostState::kLeaving)}});
  hosts.Apply({6, {Endpoint(1, HostState::kGone)}});
  CHECK(hosts.Find("e1") == nullptr);
  hosts.Apply({7, {Endpoint(2, HostState::kLive)}});
  hosts.Apply({4, {Endpoint(1, HostState::kLive)}});
  REQUIRE(hosts.LiveEndpoints({"p"}).size() == 1);
  CHECK(hosts.LiveEndpoints({"p"})[0].incarnation == Incarnation{2});
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::membership
