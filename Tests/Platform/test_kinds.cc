#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "platform/wire_names.h"
#include "platform_fixture.h"

// Each kind of request, from the caller to its endpoint and back.
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

TEST_CASE("a request reaches its pool unchanged, and so does its answer") {
  PlatformFixture world;
  auto request = world.Request("GET", "/read/a%20b//c?x=1&y=%2F");
  request.headers.push_back({"X-Own", "kept"});
  const auto answer = world.Answer(request);
  CHECK(answer.status == 200);
  CHECK(FindHeader(answer.headers, wire::kSeal) != nullptr);
  const auto& arrivals = world.desk.arrivals().empty()
                             ? world.other_desk.arrivals()
                             : world.desk.arrivals();
  REQUIRE(arrivals.size() == 1);
  const standins::Arrival& arrival = arrivals.front();
  CHECK(arrival.method == "GET");
  CHECK(arrival.target == "/read/a%20b//c?x=1&y=%2F");
  CHECK(*FindHeader(arrival.headers, "X-Own") == "kept");
  CHECK(*FindHeader(arrival.headers, "Host") == "shop.example");
  CHECK(*FindHeader(arrival.headers, wire::kRequestId) ==
        *FindHeader(request.headers, wire::kRequestId));
  // The team takes the place of the key.
  CHECK(*FindHeader(arrival.headers, wire::kTeam) == "sposi");
  CHECK(FindHeader(arrival.headers, wire::kKey) == nullptr);
  CHECK(std::stoi(*FindHeader(arrival.headers, wire::kTimeLeft)) <= 2000);
}

TEST_CASE("what only the system may set is dropped from callers' requests") {
  PlatformFixture world;
  auto request = world.Request("GET", "/read/x");
  for (const char* name : {"Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch",
                           wire::kTeam, wire::kOnlyEndpoint, wire::kInputs})
    request.headers.push_back({name, "forged"});
  CHECK(world.Answer(request).status == 200);
  const auto& arrivals = world.desk.arrivals().empty()
                             ? world.other_desk.arrivals()
                             : world.desk.arrivals();
  REQUIRE(arrivals.size() == 1);
  for (const auto& header : arrivals.front().headers)
    CHECK(header.value != "forged");
}

TEST_CASE("bodies and methods pass through") {
  PlatformFixture world;
  for (const std::string method : {"POST", "PUT", "DELETE", "PATCH"}) {
    CAPTURE(method);
    auto request = world.Request(method, "/book/x");
    request.body = "a=1&b=\x01\x02";
    CHECK(world.Answer(request).status == 200);
  }
  size_t n = 0;
  for (const auto* desk : {&world.desk, &world.other_desk}) {
    for (const auto& arrival : desk->arrivals()) {
      CHECK(arrival.body == "a=1&b=\x01\x02");
      CHECK(FindHeader(arrival.headers, "Content-Type") == nullptr);
      ++n;
    }
  }
  CHECK(n == 4);
}

TEST_CASE("a stream's stages run first, and its events pass as they come") {
  PlatformFixture world;
  const auto answer = world.Answer(world.StreamRequest("/draft/x"));
  CHECK(answer.status == 200);
  CHECK(answer.body == Events(0, 5));
  // Two pieces of the first stage, then three of the second.
  REQUIRE(world.maker.calls().size() == 2);
  CHECK(world.maker.calls()[0] == 2);
  CHECK(world.maker.calls()[1] == 3);
  const auto& arrivals = world.engine.arrivals().empty()
                             ? world.other_engine.arrivals()
                             : world.engine.arrivals();
  REQUIRE(arrivals.size() == 1);
  const std::string* inputs =
      FindHeader(arrivals.front().headers, wire::kInputs);
  REQUIRE(inputs != nullptr);
  CHECK(std::ranges::count(*inputs, ',') == 2);
  // Read results are freed.
  CHECK(world.RunUntil([&] { return world.maker.held_results() == 0; }));
}

TEST_CASE("pieces of several hosts' requests share calls") {
  PlatformFixture world(3);
  // Each host has to know the others first.
  world.RunFor(std::chrono::milliseconds(700));
  size_t done = 0;
  constexpr size_t kRequests = 9;
  for (size_t i = 0; i < kRequests; ++i)
    world.http->Send(world.StreamRequest("/draft/x", i % 3),
                     [&done](const transport::HttpOutcome& outcome) {
                       const auto* answer =
                           std::get_if<transport::HttpResponse>(&outcome);
                       CHECK(answer != nullptr);
                       CHECK(answer->status == 200);
                       ++done;
                     });
  REQUIRE(world.RunUntil([&] { return done == kRequests; }));
  size_t pieces = 0;
  for (const size_t n : world.maker.calls())
    pieces += n;
  CHECK(pieces == kRequests * 5);
  // 45 pieces in calls of at most 8: at least six calls; alone, each request
  // makes two, 18 in all.
  CHECK(world.maker.calls().size() <= 12);
}

TEST_CASE("a broken stream goes on behind the last whole event") {
  PlatformFixture world;
  // Earns the retry, which the budget allows for one in ten.
  for (int i = 0; i < 10; ++i)
    CHECK(world.Answer(world.StreamRequest("/resume/x")).status == 200);
  world.engine.InjectFault(standins::EndpointFault::kCutsStream);
  world.other_engine.InjectFault(standins::EndpointFault::kCutsStream);
  auto request = world.StreamRequest("/resume/x");
  // Only the first of the two is cut: the other's order is taken back.
  const auto n = world.engine.arrivals().size();
  std::optional<transport::HttpOutcome> outcome;
  world.http->Send(request,
                   [&](transport::HttpOutcome it) { outcome = std::move(it); });
  const auto m = world.other_engine.arrivals().size();
  REQUIRE(world.RunUntil([&] {
    return world.engine.arrivals().size() > n ||
           world.other_engine.arrivals().size() > m;
  }));
  (world.engine.arrivals().size() > n ? world.other_engine : world.engine)
      .InjectFault(standins::EndpointFault::kNone, 0);
  REQUIRE(world.RunUntil([&] { return outcome.has_value(); }));
  const auto* answer = std::get_if<transport::HttpResponse>(&*outcome);
  REQUIRE(answer != nullptr);
  CHECK(answer->body == Events(0, 5));
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::platform
