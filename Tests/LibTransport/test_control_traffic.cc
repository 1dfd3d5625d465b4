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

// Bound on the control traffic that one host sends.
constexpr uint64_t kMaxBytesPerSecond = 2000;
// Upper bound on the start line, headers and JSON-RPC envelope of one message.
constexpr uint64_t kFramingBytes = 220;
// The two conditional polls of the platform per second.
constexpr uint64_t kPollBytes = 400;
constexpr std::chrono::seconds kSettling{30};
constexpr std::chrono::seconds kMeasured{60};

// Added for each message: real incarnations are 64-bit random numbers, while
// the fake uses small ones.
constexpr uint64_t kIncarnationDigits = 19;

std::string ReadValbrunaConfiguration() {
  std::ifstream file(BILBERRY_SOURCE_DIR
                     "/Examples/valbruna/configuration.json");
  return {std::istreambuf_iterator<char>(file), {}};
}

uint64_t SizeOf(const node::PeerMessage& message) {
  return PrintCompact(EncodePeerMessage(message).parameters).size() +
         kIncarnationDigits + kFramingBytes;
}

// Returns the bytes per second of the host that sends the most.
uint64_t MaxBytesPerSecond(size_t size) {
  PlatformStore store;
  fakes::PutConfiguration(store, 1, ReadValbrunaConfiguration());
  // A host that knows no endpoint at all never becomes ready.
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

TEST_CASE("control traffic of an idle host is bounded at every fleet size") {
  for (const size_t size : {size_t{3}, size_t{8}, size_t{28}}) {
    const uint64_t bytes = MaxBytesPerSecond(size);
    MESSAGE(size << " hosts: " << bytes << " bytes per second");
    CHECK(bytes > kPollBytes);
    CHECK(bytes < kMaxBytesPerSecond);
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::transport
