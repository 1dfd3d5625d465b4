#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "LibMembership/peer_selector.h"

namespace bilberry::membership {
namespace {

using base::SocketAddress;

constexpr uint16_t kOwnZonePorts = 100;
constexpr uint16_t kAcrossPorts = 200;

base::HostEntry Entry(const std::string& zone, uint16_t port) {
  base::HostEntry entry;
  entry.name = "entry-" + std::to_string(port);
  entry.kind = base::HostKind::kEntryHost;
  entry.zone = {zone};
  entry.address = {"127.0.0.1", port};
  return entry;
}

HostList ListOf(uint16_t own, uint16_t across) {
  base::HostsPolled polled{1, {}};
  for (uint16_t i = 0; i < own; ++i)
    polled.changed.push_back(Entry("a", kOwnZonePorts + i));
  for (uint16_t i = 0; i < across; ++i)
    polled.changed.push_back(Entry("b", kAcrossPorts + i));
  HostList hosts;
  hosts.Apply(polled);
  return hosts;
}

PeerSelector Selector() {
  return {{"entry-100"},
          {"a"},
          {"127.0.0.1", kOwnZonePorts},
          {{"127.0.0.1", 7}, {"127.0.0.1", kOwnZonePorts}}};
}

struct SelectorCase {
  uint16_t own;  // Including the host itself.
  uint16_t across;
  size_t expected_own;
  size_t expected_across;
};

TEST_CASE("distinct peers are chosen in the own zone and across zones") {
  for (const SelectorCase& it :
       {SelectorCase{9, 18, 2, 1}, SelectorCase{1, 18, 0, 3},
        SelectorCase{9, 0, 3, 0}, SelectorCase{2, 1, 1, 1}}) {
    base::Random random(1);
    auto chosen =
        Selector().Select(ListOf(it.own, it.across), kUpdateFanout, random);
    const auto own = std::count_if(chosen.begin(), chosen.end(),
                                   [](const SocketAddress& address) {
                                     return address.port < kAcrossPorts;
                                   });
    CHECK(own == it.expected_own);
    CHECK(chosen.size() == it.expected_own + it.expected_across);
    std::sort(chosen.begin(), chosen.end());
    CHECK(std::unique(chosen.begin(), chosen.end()) == chosen.end());
  }
}

TEST_CASE("seed peers are used when no listed peer exists or answers") {
  base::Random random(1);
  PeerSelector selector = Selector();
  const std::vector<SocketAddress> seed{{"127.0.0.1", 7}};
  CHECK(selector.Select(ListOf(1, 0), kDefaultFanout, random) == seed);
  const HostList hosts = ListOf(2, 0);
  CHECK(selector.Select(hosts, kDefaultFanout, random).size() == 1);
  for (int i = 0; i < 10; ++i)
    selector.NoteFailed();
  CHECK(selector.Select(hosts, kCrossZoneFanout, random).size() == 2);
  selector.NoteAnswered();
  CHECK(selector.Select(hosts, kDefaultFanout, random).size() == 1);
}

}  // namespace
}  // namespace bilberry::membership
