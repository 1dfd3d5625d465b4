#include <doctest/doctest.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <string>

#include "platform/wire_names.h"
#include "platform_fixture.h"

// What a host answers by itself, and what never reaches an endpoint.
namespace bilberry::platform {
namespace {

using base::FindHeader;
using standins::EndpointFault;

size_t DeskArrivals(const PlatformFixture& world) {
  return world.desk.arrivals().size() + world.other_desk.arrivals().size();
}

// Sends bytes as they are, and returns what comes back until the end or until
// nothing has come for a while.
std::string Exchange(PlatformFixture& world, const std::string& bytes) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(world.settings[0].callers.port);
  inet_pton(AF_INET, world.settings[0].callers.ip.c_str(), &address.sin_addr);
  // It goes on while the loop turns.
  (void)connect(descriptor, reinterpret_cast<sockaddr*>(&address),
                sizeof(address));
  world.RunFor(std::chrono::milliseconds(20));
  REQUIRE(send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(bytes.size()));
  std::string answer;
  world.RunFor(std::chrono::milliseconds(200));
  char buffer[4096];
  for (ssize_t n = recv(descriptor, buffer, sizeof(buffer), 0); n > 0;
       n = recv(descriptor, buffer, sizeof(buffer), 0))
    answer.append(buffer, static_cast<size_t>(n));
  close(descriptor);
  return answer;
}

TEST_SUITE_BEGIN("contract");

TEST_CASE("unknown hosts, paths and keys are refused for good") {
  PlatformFixture world;
  auto request = world.Request("GET", "/nowhere/x");
  CHECK(world.Answer(request).status == 404);
  request = world.Request("GET", "/read/x");
  request.headers[0].value = "other.example";
  CHECK(world.Answer(request).status == 404);
  request = world.Request("GET", "/read/x");
  request.headers.back().value = std::string(wire::kKeyScheme) + "key-9";
  CHECK(world.Answer(request).status == 401);
  request.headers.push_back(
      {wire::kKey, std::string(wire::kKeyScheme) + "key-1"});
  CHECK(world.Answer(request).status == 401);
  request.headers.resize(request.headers.size() - 2);
  CHECK(world.Answer(request).status == 401);
  request = world.Request("GET", "/open/x");
  request.headers.pop_back();
  CHECK(world.Answer(request).status == 200);
  CHECK(DeskArrivals(world) == 1);
}

TEST_CASE("a host without a configuration refuses with a time to come back") {
  PlatformFixture world(0);
  world.store.InjectFault({standins::FaultKind::kDown, {}, 0});
  world.AddHost("entry-1");
  world.RunFor(std::chrono::milliseconds(50));
  CHECK_FALSE(world.shells[0]->is_ready());
  const auto answer = world.Answer(world.Request("GET", "/read/x"));
  CHECK(answer.status == 503);
  CHECK(FindHeader(answer.headers, "Retry-After") != nullptr);
  world.store.InjectFault({});
  world.WaitUntilReady();
  CHECK(world.Answer(world.Request("GET", "/read/x")).status == 200);
}

TEST_CASE(
    "a host that starts while the store is away knows nothing withdrawn") {
  PlatformFixture world;
  auto request = world.Request("GET", "/read/x");
  request.headers.back().value = std::string(wire::kKeyScheme) + "key-2";
  CHECK(world.Answer(request).status == 200);
  std::string withdrawn = standins::SmallConfiguration(8);
  withdrawn.replace(withdrawn.find(R"(,"key-2")"), 8, "");
  world.store.Put(wire::kConfigurationTable, wire::kConfigurationKey,
                  withdrawn);
  world.platform->List(world.desk, "desk", "draining");
  REQUIRE(world.RunUntil([&] { return world.Answer(request).status == 401; }));
  const size_t before = world.desk.arrivals().size();
  world.store.InjectFault({standins::FaultKind::kDown, {}, 0});
  world.AddHost("entry-1");
  request.address = world.settings[1].callers;
  for (int i = 0; i < 10; ++i) {
    CHECK(world.Answer(request).status == 503);
    world.RunFor(std::chrono::milliseconds(50));
  }
  world.store.InjectFault({});
  world.WaitUntilReady();
  CHECK(world.Answer(request).status == 401);
  for (int i = 0; i < 4; ++i)
    CHECK(world.Answer(world.Request("GET", "/read/x", 1)).status == 200);
  CHECK(world.desk.arrivals().size() == before);
}

TEST_CASE("a pool without endpoints is refused at once") {
  PlatformFixture world;
  world.platform->List(world.desk, "desk", "draining");
  world.platform->List(world.other_desk, "desk", "draining");
  world.RunFor(std::chrono::milliseconds(1100));
  const base::TimePoint began = world.reactor.Now();
  const auto answer = world.Answer(world.Request("GET", "/read/x"));
  CHECK(answer.status == 503);
  CHECK(FindHeader(answer.headers, "Retry-After") != nullptr);
  CHECK(world.reactor.Now() - began < std::chrono::milliseconds(500));
}

TEST_CASE("entries that can't be read name no endpoint; the others hold") {
  PlatformFixture world;
  world.store.Put(wire::kEndpointTable, "desk-3", "{\"service\":");
  world.store.Put(wire::kEndpointTable, "desk-1",
                  R"({"service":"desk","address":17,"state":"ready"})");
  world.RunFor(std::chrono::milliseconds(1100));
  for (int i = 0; i < 4; ++i)
    CHECK(world.Answer(world.Request("GET", "/read/x")).status == 200);
}

TEST_CASE("requests that two readers may read differently go nowhere") {
  PlatformFixture world;
  const std::string head = "POST /book/x HTTP/1.1\r\nHost: shop.example\r\n" +
                           std::string(wire::kRequestId) + ": r\r\n" +
                           wire::kKey + ": " + wire::kKeyScheme + "key-1\r\n";
  const std::string smuggled =
      "GET /read/smuggled HTTP/1.1\r\nHost: shop.example\r\n\r\n";
  for (const std::string& framing : {
           "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
               smuggled,
           "Content-Length: 4\r\nContent-Length: 60\r\n\r\nabcd" + smuggled,
           "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + smuggled,
           "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n"
           "0\r\n\r\n" +
               smuggled,
           "Content-Length: +4\r\n\r\nabcd" + smuggled,
       }) {
    CAPTURE(framing);
    const std::string answer = Exchange(world, head + framing);
    CHECK(answer.starts_with("HTTP/1.1 4"));
    CHECK(answer.find("200 OK") == std::string::npos);
  }
  CHECK(DeskArrivals(world) == 0);
}

TEST_CASE("heads and bodies over the configuration's limits are refused") {
  PlatformFixture world;
  auto request = world.Request("GET", "/read/x");
  request.headers.push_back({"X-Large", std::string(9000, 'x')});
  CHECK(world.Answer(request).status == 431);
  request = world.Request("POST", "/book/x");
  request.body = std::string(70'000, 'x');
  CHECK(world.Answer(request).status == 413);
  CHECK(DeskArrivals(world) == 0);
}

TEST_CASE("an answer that isn't the request's never reaches a caller") {
  for (const EndpointFault fault :
       {EndpointFault::kNamesAnother, EndpointFault::kUnsealed,
        EndpointFault::kBreaks}) {
    CAPTURE(static_cast<int>(fault));
    PlatformFixture world;
    world.desk.InjectFault(fault, 1);
    world.other_desk.InjectFault(fault, 1);
    auto request = world.Request("POST", "/book/x");
    request.body = "b";
    const auto answer = world.Answer(request);
    // It may have run, and is not sent again.
    CHECK(answer.status == 502);
    CHECK(answer.body.empty());
    CHECK(DeskArrivals(world) == 1);
  }
}

TEST_CASE(
    "what endpoints refuse goes to another, and else is told as not run") {
  PlatformFixture world;
  for (int i = 0; i < 20; ++i)
    CHECK(world.Answer(world.Request("GET", "/read/x")).status == 200);
  world.desk.InjectFault(EndpointFault::kRefuses, 100);
  for (int i = 0; i < 3; ++i)
    CHECK(world.Answer(world.Request("POST", "/book/x")).status == 200);
  world.other_desk.InjectFault(EndpointFault::kRefuses, 100);
  const auto answer = world.Answer(world.Request("POST", "/book/x"));
  CHECK(answer.status == 503);
  CHECK(FindHeader(answer.headers, "Retry-After") != nullptr);
}

TEST_CASE("a repeatable request that failed goes to another endpoint") {
  PlatformFixture world;
  for (int i = 0; i < 20; ++i)
    CHECK(world.Answer(world.Request("GET", "/read/x")).status == 200);
  const size_t n = DeskArrivals(world);
  world.desk.InjectFault(EndpointFault::kFails, 1);
  world.other_desk.InjectFault(EndpointFault::kNone, 0);
  for (int i = 0; i < 4; ++i)
    CHECK(world.Answer(world.Request("GET", "/read/x")).status == 200);
  CHECK(DeskArrivals(world) >= n + 4);
}

TEST_CASE("a caller that leaves takes its request from the endpoint") {
  PlatformFixture world;
  world.desk.InjectFault(EndpointFault::kHangs, 10);
  world.other_desk.InjectFault(EndpointFault::kHangs, 10);
  const auto id = world.http->Send(world.Request("GET", "/read/x"),
                                   [](const transport::HttpOutcome&) {});
  REQUIRE(world.RunUntil([&] { return DeskArrivals(world) == 1; }));
  world.http->Cancel(id);
  const base::TimePoint left = world.reactor.Now();
  CHECK(world.RunUntil([&] {
    return world.desk.left_count() + world.other_desk.left_count() == 1;
  }));
  // The platform's bound for requests whose caller has left.
  CHECK(world.reactor.Now() - left < std::chrono::milliseconds(500));
}

TEST_CASE("a request is answered at its pipeline's time limit") {
  PlatformFixture world;
  world.desk.InjectFault(EndpointFault::kHangs, 10);
  world.other_desk.InjectFault(EndpointFault::kHangs, 10);
  auto request = world.Request("POST", "/book/x");
  request.headers[2].value = "8000";
  const base::TimePoint began = world.reactor.Now();
  CHECK(world.Answer(request).status == 504);
  const base::Duration taken = world.reactor.Now() - began;
  CHECK(taken >= std::chrono::milliseconds(1990));
  CHECK(taken < std::chrono::milliseconds(2500));
}

TEST_CASE("an ordered stop shows at once and cuts nothing off") {
  PlatformFixture world;
  std::optional<transport::HttpOutcome> outcome;
  world.http->Send(world.StreamRequest("/draft/x"),
                   [&](transport::HttpOutcome it) { outcome = std::move(it); });
  REQUIRE(world.RunUntil([&] { return !world.maker.calls().empty(); }));
  world.shells[0]->RequestStop();
  transport::HttpRequest look;
  look.address = world.settings[0].readiness;
  look.path = wire::kReadinessPath;
  CHECK(world.Answer(look).status == 503);
  // Requests that cross the order are still served, on their last connection.
  const auto answer = world.Answer(world.Request("GET", "/read/x"));
  CHECK(answer.status == 200);
  CHECK(*FindHeader(answer.headers, "Connection") == "close");
  REQUIRE(world.RunUntil([&] { return outcome.has_value(); }));
  CHECK(std::holds_alternative<transport::HttpResponse>(*outcome));
  CHECK(world.RunUntil([&] { return world.shells[0]->has_finished(); }));
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::platform
