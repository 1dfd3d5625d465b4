#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "Fakes/node_group.h"
#include "LibTransport/json_text.h"
#include "LibTransport/peer_codec.h"

namespace bilberry::transport {
namespace {

using fakes::NodeGroup;
using fakes::PlatformStore;

// What a host may spend on control.
constexpr uint64_t kMaxBytesEachSecond = 2000;
// Start line, headers and JSON-RPC envelope of one message; more than they are.
constexpr uint64_t kFramingBytes = 220;
// The two conditional polls of the platform, each second.
constexpr uint64_t kPollBytes = 400;
constexpr std::chrono::seconds kSettling{30};
constexpr std::chrono::seconds kMeasured{60};

// Incarnations are drawn from all 64 bits; the fake's are small.
constexpr uint64_t kIncarnationDigits = 19;

std::string ValbrunaConfiguration() {
  std::ifstream file(BILBERRY_SOURCE_DIR
                     "/Examples/valbruna/configuration.json");
  return {std::istreambuf_iterator<char>(file), {}};
}

uint64_t SizeOf(const node::PeerMessage& message) {
  return PrintCompact(EncodePeerMessage(message).parameters).size() +
         kIncarnationDigits + kFramingBytes;
}

// Bytes a second that the host with the most traffic sends.
uint64_t MostBytesEachSecond(size_t size) {
  PlatformStore store;
  fakes::PutConfiguration(store, 1, ValbrunaConfiguration());
  // A host that knows no endpoint at all isn't ready.
  store.PutHost(fakes::MakeEndpoint("lucignolo-1", "lucignolo"));
  NodeGroup group(store, size, 3);
  group.List();
  group.Advance(kSettling);
  REQUIRE(group.at(0).node().readiness() == node::Readiness::kReady);
  std::vector<uint64_t> bytes(size);
  group.set_observer(
      [&](size_t from, size_t /*to*/, const node::PeerMessage& message) {
        bytes[from] += SizeOf(message);
      });
  group.Advance(kMeasured);
  uint64_t most = 0;
  for (const uint64_t sent : bytes)
    most = std::max(most, sent);
  return most / static_cast<uint64_t>(kMeasured.count()) + kPollBytes;
}

TEST_SUITE_BEGIN("contract");

TEST_CASE("control traffic of an idle host has a bound at every size") {
  for (const size_t size : {size_t{3}, size_t{8}, size_t{28}}) {
    const uint64_t bytes = MostBytesEachSecond(size);
    MESSAGE(size << " hosts: " << bytes << " bytes a second");
    CHECK(bytes > kPollBytes);
    CHECK(bytes < kMaxBytesEachSecond);
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::transport
