#include <doctest/doctest.h>

#include "Fakes/node_harness.h"

namespace bilberry::node {
namespace {

size_t RefusedLines(fakes::NodeHarness& harness) {
  size_t lines = 0;
  for (const Action& action : harness.TakeOthers()) {
    const auto* log = std::get_if<WriteLog>(&action);
    if (log != nullptr &&
        log->event.id == base::LogEventId::kPeerMessagesRefused)
      ++lines;
  }
  return lines;
}

TEST_CASE("malformed peer messages are logged once a minute") {
  fakes::PlatformStore store;
  fakes::NodeHarness harness(store, fakes::MakeOptions("entry-1", 1));
  constexpr int kMinutes = 3;
  constexpr int kEachSecond = 10;
  for (int second = 0; second < 60 * kMinutes; ++second) {
    for (int i = 0; i < kEachSecond; ++i)
      harness.Feed(PeerMessageRefused{});
    harness.Advance(std::chrono::seconds(1));
  }
  CHECK(RefusedLines(harness) == kMinutes);
}

}  // namespace
}  // namespace bilberry::node
