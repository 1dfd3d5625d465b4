#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "../LibTransport/flood_server.h"
#include "../LibTransport/hasty_server.h"
#include "Standins/broken_answers.h"
#include "platform/wire_names.h"
#include "platform_fixture.h"

namespace bilberry::platform {
namespace {

// Lists an endpoint of the pool that doesn't answer in the protocol.
void ListBrokenEndpoint(PlatformFixture& fixture,
                        const base::SocketAddress& address,
                        const std::string& pool) {
  fixture.store.Put(wire::kEndpointTable, "broken",
                    R"({"service":")" + pool + R"(","address":")" +
                        base::ToText(address) +
                        R"(","zone":"z1","state":"ready","seq":1})");
  for (const char* name : {"desk-1", "desk-2", "llm-1", "llm-2"})
    fixture.store.Remove(wire::kEndpointTable, name);
  fixture.RunFor(std::chrono::milliseconds(1500));
}

std::string BrokenHead(const std::string& last_line) {
  return "HTTP/1.1 200 OK\r\n" + std::string(wire::kRequestId) + ": req-1\r\n" +
         wire::kServerSeal + ": seal\r\n" + last_line;
}

TEST_SUITE_BEGIN("broken-heads");

TEST_CASE("callers get no success from a head that breaks off") {
  for (const std::string last_line :
       {"", "Content-Le", "Content-Type: text/event-stream\r\n"}) {
    for (const std::string target : {"/read/x", "/book/x", "/draft/x"}) {
      CAPTURE(last_line);
      CAPTURE(target);
      const transport::FloodServer server(BrokenHead(last_line), "");
      PlatformFixture fixture;
      const bool is_stream = target == "/draft/x";
      ListBrokenEndpoint(fixture, server.address(), is_stream ? "llm" : "desk");
      auto request = is_stream ? fixture.StreamRequest(target)
                               : fixture.Request("GET", target);
      const auto outcome = fixture.Ask(std::move(request));
      const auto* response = std::get_if<transport::HttpResponse>(&outcome);
      REQUIRE(response != nullptr);
      CHECK(response->status == 502);
      CHECK(base::FindHeader(response->headers, wire::kServerSeal) == nullptr);
    }
  }
}

// Has each endpoint send only broken answers, this form first.
void BreakAnswers(PlatformFixture& fixture, size_t form) {
  for (standins::PieceEndpointStandin* it :
       {&fixture.desk, &fixture.other_desk, &fixture.engine,
        &fixture.other_engine}) {
    it->SetNextBrokenForm(form);
    it->InjectFault(standins::EndpointFault::kSendsBroken, 100);
  }
}

// Guards against answers that aren't the endpoint's (MIXED), hosts that end,
// and bookings that are sent twice (TWICE).
TEST_CASE("callers get a failure in place of a broken answer") {
  const size_t forms = standins::BrokenAnswers({}).size();
  for (size_t form = 0; form < forms; ++form) {
    for (const std::string target : {"/read/x", "/book/x", "/draft/x"}) {
      CAPTURE(form);
      CAPTURE(target);
      PlatformFixture fixture;
      BreakAnswers(fixture, form);
      auto request = target == "/draft/x"  ? fixture.StreamRequest(target)
                     : target == "/book/x" ? fixture.Request("POST", target)
                                           : fixture.Request("GET", target);
      const auto response = fixture.Answer(std::move(request));
      CHECK(response.status == 502);
      CHECK(base::FindHeader(response.headers, wire::kServerSeal) == nullptr);
      if (target == "/book/x")
        CHECK(fixture.DeskArrivals() == 1);
    }
  }
}

TEST_CASE("an endpoint that sends broken answers gets little more to do") {
  constexpr size_t kReads = 60;
  PlatformFixture fixture;
  for (size_t i = 0; i < kReads; ++i)
    CHECK(fixture.Answer(fixture.Request("GET", "/read/x")).status == 200);
  const size_t before = fixture.desk.arrivals().size();
  fixture.desk.InjectFault(standins::EndpointFault::kSendsBroken, kReads);
  for (size_t i = 0; i < kReads; ++i)
    CHECK(fixture.Answer(fixture.Request("GET", "/read/x")).status == 200);
  const size_t broken = fixture.desk.arrivals().size() - before;
  CHECK(broken >= 1);
  CHECK(broken <= kReads / 10);
}

// Guards against a store, or whatever answers in its place, that ends a host.
TEST_CASE("a host serves on while the store sends broken answers") {
  const transport::HastyServer server(
      "HTTP/1.1 200 OK\r\n\tFolded: x\r\nContent-Length: 2\r\n\r\n[]", 0,
      std::chrono::milliseconds(0), transport::ServerEnd::kClose);
  PlatformFixture fixture;
  declare::ForwardSettings settings = fixture.settings.front();
  settings.store = server.address();
  fixture.shells.front()->ApplySettings(settings);
  fixture.RunFor(std::chrono::milliseconds(3000));
  CHECK(server.request_count() >= 2);
  const auto outcome = fixture.Ask(fixture.Request("GET", "/read/x"));
  const auto* response = std::get_if<transport::HttpResponse>(&outcome);
  REQUIRE(response != nullptr);
  CHECK(response->status == 200);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::platform
