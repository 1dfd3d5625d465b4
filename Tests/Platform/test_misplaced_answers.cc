#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <utility>

#include "late_answer_endpoint.h"
#include "platform/stage_codec.h"
#include "platform/wire_names.h"
#include "platform_fixture.h"

// Answers that belong to another request, or that do not fit what was sent
// before.
namespace bilberry::platform {
namespace {

using base::FindHeader;
using standins::EndpointFault;

TEST_SUITE_BEGIN("contract");

TEST_CASE("a late copy of a refusal assigns no results to wrong requests") {
  PlatformFixture fixture;
  const LateAnswerEndpoint maker;
  fixture.store.Remove(wire::kEndpointTable, "maker-1");
  fixture.store.Put(wire::kEndpointTable, "maker-2",
                    R"({"service":"maker","zone":"z1","state":"ready",
                      "address":")" +
                        base::ToText(maker.address()) + R"("})");
  fixture.RunFor(std::chrono::milliseconds(1200));
  size_t answered = 0;
  // Each request fills a call. The second call of the first request gets the
  // copy, and its own answer comes after that.
  for (size_t i = 0; i < 4; ++i) {
    auto request = fixture.StreamRequest("/resume/x");
    for (auto& header : request.headers) {
      if (header.name == wire::kPieceCounts)
        header.value = "8";
    }
    fixture.http->Send(
        std::move(request),
        [&answered](const transport::HttpOutcome&) { ++answered; });
    REQUIRE(fixture.RunUntil([&] { return maker.call_count() >= 2; }));
  }
  REQUIRE(fixture.RunUntil([&] { return answered == 4; }));
  size_t checked = 0;
  for (const auto* engine : {&fixture.engine, &fixture.other_engine}) {
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

TEST_CASE("a stage call rejects an answer with a request ID") {
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

TEST_CASE("an error in place of a resumed stream is not forwarded") {
  for (const EndpointFault fault :
       {EndpointFault::kRejects, EndpointFault::kFails, EndpointFault::kRefuses,
        EndpointFault::kOtherType}) {
    CAPTURE(static_cast<int>(fault));
    PlatformFixture fixture;
    for (int i = 0; i < 10; ++i)
      CHECK(fixture.Answer(fixture.StreamRequest("/resume/x")).status == 200);
    const size_t n = fixture.engine.arrivals().size();
    const size_t m = fixture.other_engine.arrivals().size();
    fixture.engine.InjectFault(EndpointFault::kCutsStream);
    fixture.other_engine.InjectFault(EndpointFault::kCutsStream);
    std::optional<transport::HttpOutcome> outcome;
    std::string bytes;
    fixture.http->Send(
        fixture.StreamRequest("/resume/x"),
        [&](transport::HttpOutcome it) { outcome = std::move(it); },
        [&](const transport::HttpResponse&, const std::string& it) {
          bytes += it;
        });
    REQUIRE(fixture.RunUntil([&] {
      return fixture.engine.arrivals().size() > n ||
             fixture.other_engine.arrivals().size() > m;
    }));
    (fixture.engine.arrivals().size() > n ? fixture.other_engine
                                          : fixture.engine)
        .InjectFault(fault);
    REQUIRE(fixture.RunUntil([&] { return outcome.has_value(); }));
    CHECK(std::holds_alternative<transport::HttpFailure>(*outcome));
    CHECK(bytes == "id: 0\ndata: token 0\n\nid: 1\ndata: token 1\n\n");
    CHECK(fixture.engine.arrivals().size() +
              fixture.other_engine.arrivals().size() ==
          n + m + 2);
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::platform
