#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <utility>

#include "late_answer_endpoint.h"
#include "platform/stage_codec.h"
#include "platform/wire_names.h"
#include "platform_fixture.h"

// Answers that belong elsewhere, or that don't go with what came before them.
namespace bilberry::platform {
namespace {

using base::FindHeader;
using standins::EndpointFault;

TEST_SUITE_BEGIN("contract");

TEST_CASE("a copy of a refused call's answer gives nobody another's results") {
  PlatformFixture world;
  const LateAnswerEndpoint maker;
  world.store.Remove(wire::kEndpointTable, "maker-1");
  world.store.Put(wire::kEndpointTable, "maker-2",
                  R"({"service":"maker","zone":"z1","state":"ready",
                      "address":")" +
                      base::ToText(maker.address()) + R"("})");
  world.RunFor(std::chrono::milliseconds(1200));
  size_t answered = 0;
  // Each fills a call. The first one's second call gets the copy, and its own
  // answer comes behind.
  for (size_t i = 0; i < 4; ++i) {
    auto request = world.StreamRequest("/resume/x");
    for (auto& header : request.headers) {
      if (header.name == wire::kPieceCounts)
        header.value = "8";
    }
    world.http->Send(
        std::move(request),
        [&answered](const transport::HttpOutcome&) { ++answered; });
    REQUIRE(world.RunUntil([&] { return maker.call_count() >= 2; }));
  }
  REQUIRE(world.RunUntil([&] { return answered == 4; }));
  size_t checked = 0;
  for (const auto* engine : {&world.engine, &world.other_engine}) {
    for (const standins::Arrival& it : engine->arrivals()) {
      const std::string* id = FindHeader(it.headers, wire::kRequestId);
      const std::string* inputs = FindHeader(it.headers, wire::kInputs);
      REQUIRE(id != nullptr);
      REQUIRE(inputs != nullptr);
      CAPTURE(*id);
      CAPTURE(*inputs);
      size_t own = 0;
      for (size_t at = inputs->find("/" + *id + "-"); at != std::string::npos;
           at = inputs->find("/" + *id + "-", at + 1))
        ++own;
      CHECK(own == 8);
      ++checked;
    }
  }
  CHECK(checked == 4);
}

TEST_CASE("an answer that names a request is no call's") {
  for (const int status : {200, 503}) {
    transport::HttpResponse response{
        status,
        {{wire::kRequestId, "r1"}, {wire::kNotRun, "1"}},
        R"({"items":[{"handle":"10.0.0.1:80/1"}]})"};
    const auto outcome = DecodeStageCall(response);
    const auto* failure = std::get_if<forward::StageCallFailure>(&outcome);
    REQUIRE(failure != nullptr);
    CHECK(*failure == forward::StageCallFailure::kMalformed);
  }
}

TEST_CASE("an error in place of a stream's rest is no part of it") {
  for (const EndpointFault fault :
       {EndpointFault::kRejects, EndpointFault::kFails, EndpointFault::kRefuses,
        EndpointFault::kOtherType}) {
    CAPTURE(static_cast<int>(fault));
    PlatformFixture world;
    for (int i = 0; i < 10; ++i)
      CHECK(world.Answer(world.StreamRequest("/resume/x")).status == 200);
    const size_t n = world.engine.arrivals().size();
    const size_t m = world.other_engine.arrivals().size();
    world.engine.InjectFault(EndpointFault::kCutsStream);
    world.other_engine.InjectFault(EndpointFault::kCutsStream);
    std::optional<transport::HttpOutcome> outcome;
    std::string bytes;
    world.http->Send(
        world.StreamRequest("/resume/x"),
        [&](transport::HttpOutcome it) { outcome = std::move(it); },
        [&](const transport::HttpResponse&, const std::string& it) {
          bytes += it;
        });
    REQUIRE(world.RunUntil([&] {
      return world.engine.arrivals().size() > n ||
             world.other_engine.arrivals().size() > m;
    }));
    (world.engine.arrivals().size() > n ? world.other_engine : world.engine)
        .InjectFault(fault);
    REQUIRE(world.RunUntil([&] { return outcome.has_value(); }));
    CHECK(std::holds_alternative<transport::HttpFailure>(*outcome));
    CHECK(bytes == "id: 0\ndata: token 0\n\nid: 1\ndata: token 1\n\n");
    CHECK(world.engine.arrivals().size() +
              world.other_engine.arrivals().size() ==
          n + m + 2);
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::platform
