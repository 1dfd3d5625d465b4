#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "platform/wire_names.h"
#include "platform_fixture.h"

// Requests of each kind, from the caller to an endpoint and back.
namespace bilberry::platform {
namespace {

using base::FindHeader;

std::string Events(uint32_t from, uint32_t to) {
  std::string text;
  for (uint32_t i = from; i < to; ++i)
    text += "id: " + std::to_string(i) + "\ndata: token " + std::to_string(i) +
            "\n\n";
  return text;
}

TEST_SUITE_BEGIN("contract");

TEST_CASE("requests and answers are forwarded unchanged") {
  PlatformFixture fixture;
  auto request = fixture.Request("GET", "/read/a%20b//c?x=1&y=%2F");
  request.headers.push_back({"X-Own", "kept"});
  const auto answer = fixture.Answer(request);
  CHECK(answer.status == 200);
  CHECK(FindHeader(answer.headers, wire::kServerSeal) != nullptr);
  const auto& arrivals = fixture.desk.arrivals().empty()
                             ? fixture.other_desk.arrivals()
                             : fixture.desk.arrivals();
  REQUIRE(arrivals.size() == 1);
  const standins::Arrival& arrival = arrivals.front();
  CHECK(arrival.method == "GET");
  CHECK(arrival.target == "/read/a%20b//c?x=1&y=%2F");
  CHECK(*FindHeader(arrival.headers, "X-Own") == "kept");
  CHECK(*FindHeader(arrival.headers, "Host") == "shop.example");
  CHECK(*FindHeader(arrival.headers, wire::kRequestId) ==
        *FindHeader(request.headers, wire::kRequestId));
  // The API key is replaced by the team.
  CHECK(*FindHeader(arrival.headers, wire::kTeam) == "sposi");
  CHECK(FindHeader(arrival.headers, wire::kApiKey) == nullptr);
  CHECK(std::stoi(*FindHeader(arrival.headers, wire::kRemainingTime)) <= 2000);
}

TEST_CASE("headers reserved for the system are dropped from requests") {
  PlatformFixture fixture;
  auto request = fixture.Request("GET", "/read/x");
  for (const char* name : {"Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch",
                           wire::kTeam, wire::kExpectedEndpoint, wire::kInputs})
    request.headers.push_back({name, "forged"});
  CHECK(fixture.Answer(request).status == 200);
  const auto& arrivals = fixture.desk.arrivals().empty()
                             ? fixture.other_desk.arrivals()
                             : fixture.desk.arrivals();
  REQUIRE(arrivals.size() == 1);
  for (const auto& header : arrivals.front().headers)
    CHECK(header.value != "forged");
}

TEST_CASE("methods and bodies are forwarded unchanged") {
  PlatformFixture fixture;
  for (const std::string method : {"POST", "PUT", "DELETE", "PATCH"}) {
    CAPTURE(method);
    auto request = fixture.Request(method, "/book/x");
    request.body = "a=1&b=\x01\x02";
    CHECK(fixture.Answer(request).status == 200);
  }
  size_t n = 0;
  for (const auto* desk : {&fixture.desk, &fixture.other_desk}) {
    for (const auto& arrival : desk->arrivals()) {
      CHECK(arrival.body == "a=1&b=\x01\x02");
      CHECK(FindHeader(arrival.headers, "Content-Type") == nullptr);
      ++n;
    }
  }
  CHECK(n == 4);
}

TEST_CASE("a stream's stages run first, then its events are forwarded") {
  PlatformFixture fixture;
  const auto answer = fixture.Answer(fixture.StreamRequest("/draft/x"));
  CHECK(answer.status == 200);
  CHECK(answer.body == Events(0, 5));
  // Two pieces of the first stage, then three of the second one.
  REQUIRE(fixture.maker.calls().size() == 2);
  CHECK(fixture.maker.calls()[0] == 2);
  CHECK(fixture.maker.calls()[1] == 3);
  const auto& arrivals = fixture.engine.arrivals().empty()
                             ? fixture.other_engine.arrivals()
                             : fixture.engine.arrivals();
  REQUIRE(arrivals.size() == 1);
  const std::string* inputs =
      FindHeader(arrivals.front().headers, wire::kInputs);
  REQUIRE(inputs != nullptr);
  CHECK(std::ranges::count(*inputs, ',') == 2);
  // Results are freed after they have been read.
  CHECK(fixture.RunUntil([&] { return fixture.maker.held_results() == 0; }));
}

TEST_CASE("pieces of several hosts' requests are batched in calls") {
  PlatformFixture fixture(3);
  // The hosts must discover one another first.
  fixture.RunFor(std::chrono::milliseconds(700));
  size_t done = 0;
  constexpr size_t kRequests = 9;
  for (size_t i = 0; i < kRequests; ++i)
    fixture.http->Send(fixture.StreamRequest("/draft/x", i % 3),
                       [&done](const transport::HttpOutcome& outcome) {
                         const auto* answer =
                             std::get_if<transport::HttpResponse>(&outcome);
                         CHECK(answer != nullptr);
                         CHECK(answer->status == 200);
                         ++done;
                       });
  REQUIRE(fixture.RunUntil([&] { return done == kRequests; }));
  size_t pieces = 0;
  for (const size_t n : fixture.maker.calls())
    pieces += n;
  CHECK(pieces == kRequests * 5);
  // 45 pieces in calls of at most 8 take at least six calls; without batching,
  // each request makes two, 18 in all.
  CHECK(fixture.maker.calls().size() <= 12);
}

TEST_CASE("a broken stream resumes after the last complete event") {
  PlatformFixture fixture;
  // Ten requests earn the one retry that the retry budget allows.
  for (int i = 0; i < 10; ++i)
    CHECK(fixture.Answer(fixture.StreamRequest("/resume/x")).status == 200);
  fixture.engine.InjectFault(standins::EndpointFault::kCutsStream);
  fixture.other_engine.InjectFault(standins::EndpointFault::kCutsStream);
  auto request = fixture.StreamRequest("/resume/x");
  // Only the first attempt is to be cut: the fault of the other engine is
  // removed.
  const auto n = fixture.engine.arrivals().size();
  std::optional<transport::HttpOutcome> outcome;
  fixture.http->Send(
      request, [&](transport::HttpOutcome it) { outcome = std::move(it); });
  const auto m = fixture.other_engine.arrivals().size();
  REQUIRE(fixture.RunUntil([&] {
    return fixture.engine.arrivals().size() > n ||
           fixture.other_engine.arrivals().size() > m;
  }));
  (fixture.engine.arrivals().size() > n ? fixture.other_engine : fixture.engine)
      .InjectFault(standins::EndpointFault::kNone, 0);
  REQUIRE(fixture.RunUntil([&] { return outcome.has_value(); }));
  const auto* answer = std::get_if<transport::HttpResponse>(&*outcome);
  REQUIRE(answer != nullptr);
  CHECK(answer->body == Events(0, 5));
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::platform
