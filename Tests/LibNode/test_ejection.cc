#include <doctest/doctest.h>

#include "Fakes/node_harness.h"

namespace bilberry::node {
namespace {

using fakes::NodeHarness;

size_t CountEvents(NodeHarness& harness, base::LogEventId id) {
  size_t n = 0;
  for (const Action& action : harness.TakeOthers()) {
    const auto* log = std::get_if<WriteLog>(&action);
    n += log != nullptr && log->event.id == id ? 1 : 0;
  }
  return n;
}

// Sends one "stock" request and ends all its attempts with `verdict`.
void RunOne(NodeHarness& harness, policy::AttemptVerdict verdict) {
  harness.Call("stock");
  for (auto sent = harness.TakeSent(); !sent.empty();
       sent = harness.TakeSent()) {
    if (verdict == policy::AttemptVerdict::kSucceeded)
      harness.AnswerAttempt(sent[0], "{}");
    else
      harness.Feed(EndpointFailure{
          sent[0].attempt, EndpointFailureKind::kUnreachable, {}, "refused"});
  }
}

TEST_CASE("ejections and recoveries are logged") {
  fakes::PlatformStore store;
  fakes::PutSmallDeployment(store);
  store.PutHost(fakes::MakeEndpoint("desk-2", "desk"));
  NodeHarness harness(store, fakes::MakeOptions("entry-1", 1));
  harness.Feed(TimerDue{});
  harness.TakeOthers();
  for (int i = 0; i < 6; ++i)
    RunOne(harness, policy::AttemptVerdict::kUnreachable);
  CHECK(CountEvents(harness, base::LogEventId::kEndpointEjected) == 1);
  harness.Advance(std::chrono::seconds(1));
  for (int i = 0; i < 20; ++i)
    RunOne(harness, policy::AttemptVerdict::kSucceeded);
  CHECK(CountEvents(harness, base::LogEventId::kEndpointRestored) == 1);
}

}  // namespace
}  // namespace bilberry::node
