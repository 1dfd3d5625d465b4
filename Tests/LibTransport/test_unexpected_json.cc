#include <doctest/doctest.h>

#include <string>
#include <variant>
#include <vector>

#include "LibTransport/peer_client.h"
#include "LibTransport/peer_codec.h"
#include "LibTransport/peer_server.h"
#include "LibTransport/permit_codec.h"
#include "LibTransport/placement_codec.h"
#include "LibTransport/platform_codec.h"
#include "LibTransport/report_codec.h"
#include "LibTransport/stage_job_codec.h"
#include "LibTransport/status_codec.h"
#include "LibTransport/store_sync_codec.h"
#include "Standins/free_address.h"
#include "http_pair.h"
#include "unexpected_json.h"

// Feeds the codecs unexpected JSON values, as a faulty platform or peer may
// send them. No value may crash the reader or affect other entries.
namespace bilberry::transport {
namespace {

constexpr const char* kHosts =
    R"({"version":9,"hosts":[
      {"name":"e1","kind":"endpoint","pool":"desk","zone":"z1","ip":"10.0.0.1",
       "port":80,"incarnation":5,"state":"live"},
      {"name":"e2","kind":"endpoint","pool":"desk","zone":"z1","ip":"10.0.0.2",
       "port":80,"incarnation":6,"state":"live"}]})";

base::HostsPolled Polled(const std::string& body) {
  const auto answer =
      DecodePlatformAnswer(base::PollHosts{1}, HttpResponse{200, {}, body});
  REQUIRE(answer.has_value());
  return std::get<base::HostsPolled>(answer.value());
}

forward::RowContent DecodeNothing(std::string_view /*document*/) {
  return forward::RowUnreadable{"not decoded"};
}

TEST_SUITE_BEGIN("contract");

TEST_CASE("a malformed entry of a host list does not affect the others") {
  for (const std::string& odd : UnexpectedJsonValues()) {
    for (const char* field : {"name", "kind", "pool", "zone", "ip", "port",
                              "incarnation", "state", "another"}) {
      const std::string shown = odd.substr(0, 80);
      CAPTURE(shown);
      CAPTURE(field);
      std::string body = kHosts;
      if (std::string(field) == "another") {
        body.replace(body.find("\"kind\""), 0, "\"another\":" + odd + ",");
      } else {
        const size_t at = body.find(std::string("\"") + field + "\":") +
                          std::string(field).size() + 3;
        const size_t end = body.find_first_of(",}", at);
        body.replace(at, end - at, odd);
      }
      const base::HostsPolled polled = Polled(body);
      CHECK(polled.version == 9);
      REQUIRE_FALSE(polled.changed.empty());
      CHECK(polled.changed.back().name == "e2");
      for (const base::HostEntry& entry : polled.changed) {
        CHECK(entry.address.port == 80);
        CHECK(entry.address.ip.starts_with("10.0.0."));
        CHECK_FALSE(entry.name.empty());
      }
    }
  }
}

TEST_CASE("no answer of a platform makes the decoder throw") {
  const std::string row = R"({"key":"k","version":3,"value":"v"})";
  for (const std::string& body : UnexpectedVariants(kHosts))
    CHECK_NOTHROW((void)DecodePlatformAnswer(base::PollHosts{1},
                                             HttpResponse{200, {}, body}));
  for (const std::string& body :
       UnexpectedVariants(R"({"rows":[)" + row + "]}"))
    CHECK_NOTHROW((void)DecodePlatformAnswer(base::ListRows{},
                                             HttpResponse{200, {}, body}));
  for (const std::string& body : UnexpectedVariants(row))
    CHECK_NOTHROW((void)DecodePlatformAnswer(base::ReadRow{},
                                             HttpResponse{200, {}, body}));
  base::WriteRows write;
  write.writes.emplace_back();
  for (const std::string& body : UnexpectedVariants(
           R"({"results":[{"applied":true,"row":)" + row + "}]}"))
    CHECK_NOTHROW(
        (void)DecodePlatformAnswer(write, HttpResponse{200, {}, body}));
}

TEST_CASE("no message between forwarding hosts makes the decoder throw") {
  for (const std::string& text : UnexpectedVariants(
           R"({"age_us":1,"revision":2,"operators_version":3,
               "departures":[{"endpoint":"e1","incarnation":4,"age_us":5}],
               "limits":[{"endpoint":"e1","incarnation":4,"age_us":5,
                          "per_second":2.5}],
               "tables":[
                 {"feed":"endpoints","version":4,"is_whole":true,"rows":[
                   {"key":"e1","pool":"p","zone":"z","address":"10.0.0.1:80",
                    "is_leaving":false,"incarnation":4},{"key":"e2"}]},
                 {"feed":"configuration","version":4,"is_whole":true,"rows":[
                   {"key":"c","document":"d"},
                   {"key":"v","evacuated_zone":"z"}]},
                 {"feed":"hosts","version":4,"is_whole":true,"rows":[
                   {"key":"h1","zone":"z","address":"10.0.0.1:80",
                    "capacity":2.0,"link_mbps":100.0}]}]})"))
    CHECK_NOTHROW((void)DecodeStoreSyncResponse(text, DecodeNothing));
  for (const std::string& text : UnexpectedVariants(
           R"({"known":{"endpoints":1,"hosts":2},
               "departures":[{"endpoint":"e1","incarnation":4,"age_us":5}]})"))
    CHECK_NOTHROW((void)DecodeStoreSyncRequest(text));
  for (const std::string& text : UnexpectedVariants(
           R"({"endpoint":"e1","incarnation":4,"zone":"z","wait_us":1,
               "limit":{"per_second":2.5,"age_us":1}})"))
    CHECK_NOTHROW((void)DecodePermitRequest(text));
  for (const std::string& text :
       UnexpectedVariants(R"({"begins_us":1,"next_us":2,"is_keeper":false,
                       "limit":{"per_second":2.5,"age_us":1}})"))
    CHECK_NOTHROW((void)DecodePermitAnswer(text));
  for (
      const std::string& text : UnexpectedVariants(
          R"({"request":"r","pipeline":"d","pool":"p","cell":"z","stage":0,"pieces":2,
               "inputs":[["10.0.0.1:80","h1"]],"result_bytes":1,"urgency":1,
               "target_us":1,"deadline_us":2,"inputs_gone_us":3,"after_us":4,
               "reader_zone":"z","crossing_bytes":5,"is_new":true})"))
    CHECK_NOTHROW((void)DecodeStageJob(text));
  for (const std::string& text : UnexpectedVariants(
           R"({"backlog_us":1,"results":[["10.0.0.1:80","h1"]],
               "failure":"too_late","retry_after_us":4})"))
    CHECK_NOTHROW((void)DecodeJobAnswer(forward::JobRequestId{1}, text));
  for (const std::string& text : UnexpectedVariants(
           R"({"pool":"p","cell":"z","results":[["10.0.0.1:80","h1"]]})"))
    CHECK_NOTHROW((void)DecodeResultsReleased(text));
}

TEST_CASE("no message about placements makes the decoder throw") {
  for (const std::string& text : UnexpectedVariants(
           R"({"pool":"p","zone":"z","id":[1,2],"avoided":["e1"],
               "run":{"prefix":[["a",3]],"output":4,"sent_us":5,"target_us":6,
                      "deadline_us":7,"pause_us":8}})"))
    CHECK_NOTHROW((void)DecodePlacementRequest(text));
  for (const std::string& text : UnexpectedVariants(
           R"({"endpoint":"e1","incarnation":4,"first_event_us":5,
               "is_owner":true,"has_endpoint":true,"wait_us":6})"))
    CHECK_NOTHROW((void)DecodePlacementAnswer(text));
  for (const std::string& text : UnexpectedVariants(
           R"({"pool":"p","zone":"z","runs":[
               {"id":[1,2],"begun_us":3},
               {"id":[1,2],"has_ended":true,"pause_us":3},
               {"id":[1,2],"has_moved":true},
               {"id":[1,2],"endpoint":"e1","has_begun":true,
                "held":{"prefix":[["a",3]],"output":4,"sent_us":5,
                        "target_us":6,"deadline_us":7}}]})"))
    CHECK_NOTHROW((void)DecodePlacementReport(text));
}

TEST_CASE("a stage job with too many pieces is rejected") {
  const std::string order =
      R"({"request":"r","pipeline":"d","pool":"p","cell":"z","stage":0,"pieces":4294967295,
          "key":"k","result_bytes":1,"urgency":1,"target_us":1,"deadline_us":2,
          "after_us":4,"reader_zone":"z","crossing_bytes":5,"is_new":true})";
  CHECK_FALSE(DecodeStageJob(order).has_value());
}

TEST_CASE("durations from peers are clamped to a day") {
  for (const char* us : {"9223372036854775807", "-9223372036854775808"}) {
    CAPTURE(us);
    const std::string order =
        R"({"request":"r","pipeline":"d","pool":"p","cell":"z","stage":0,"pieces":1,"key":"k",
            "result_bytes":1,"urgency":1,"reader_zone":"z","crossing_bytes":5,
            "is_new":true,"target_us":)" +
        std::string(us) + R"(,"deadline_us":)" + us + R"(,"after_us":)" + us +
        "}";
    const auto job = DecodeStageJob(order);
    REQUIRE(job.has_value());
    for (const base::Duration it :
         {job->until_target, job->until_deadline, job->time_after}) {
      CHECK(it <= std::chrono::hours(24));
      CHECK(it >= -std::chrono::hours(24));
    }
    const auto response = DecodeStoreSyncResponse(
        R"({"age_us":)" + std::string(us) +
            R"(,"revision":2,"operators_version":3,"departures":[],"limits":[],
            "tables":[]})",
        DecodeNothing);
    CHECK((!response || response->age <= std::chrono::hours(24)));
    CHECK((!response || response->age >= base::Duration(0)));
  }
}

TEST_CASE("no message between entry hosts makes the decoder throw") {
  const struct {
    const char* method;
    const char* text;
  } messages[] = {
      {"digest",
       R"({"v":1,"host":"h","incarnation":1,"revision":2,"leaving":[["e1",3]],
           "quarantined":["q"],"suspected":[["q","e1"]],"shares":[["p",1,2]]})"},
      {"configuration_query", R"({"revision":1,"wants_hosts":true})"},
      {"configuration_offer",
       R"({"revision":1,"document":"{}","hosts_age_us":4,"hosts":[
           {"name":"e1","kind":"endpoint","pool":"desk","zone":"z1",
            "ip":"10.0.0.1","port":80,"incarnation":5,"state":"live"}]})"},
      {"booking_query", R"({"claim_token":"t"})"},
      {"booking_reply", R"({"standing":"done","status":200,"answer":"00"})"},
      {"booking_copies",
       R"({"settlements":[{"row_key":"k","record":"{}","expected":1}]})"},
      {"booking_copies_held", R"({"claim_tokens":["t"]})"},
  };
  for (const auto& message : messages) {
    CAPTURE(message.method);
    for (const std::string& text : UnexpectedVariants(message.text)) {
      const auto value = ParseJsonValue(text);
      if (value)
        CHECK_NOTHROW((void)DecodePeerMessage(message.method, *value));
    }
  }
}

TEST_CASE("a peer answers every malformed request") {
  HttpPair pair([](const IncomingRequest&) {});
  const base::SocketAddress address = standins::FreeAddress(pair.reactor);
  MemoryBudget budget(size_t{64} * 1024 * 1024);
  auto server = Unwrap(PeerServer::Create(
      pair.reactor, address, "token", budget,
      {[] {},
       [](const node::PeerMessage&) -> base::Result<node::PeerMessage> {
         return node::PeerMessage(node::BookingReply{});
       },
       nullptr, nullptr}));
  HttpRequest request = pair.Request(kRpcPath);
  request.address = address;
  for (const std::string& text : UnexpectedVariants(
           R"({"jsonrpc":"2.0","id":1,"method":"digest","params":{"v":1}})")) {
    request.body = text;
    const auto outcome = pair.Ask(request);
    CHECK(std::holds_alternative<HttpResponse>(outcome));
  }
}

TEST_CASE("a client survives every malformed answer of a peer") {
  std::string body;
  HttpPair pair([](const IncomingRequest&) {});
  std::unique_ptr<HttpListener> listener;
  ListenerOptions options;
  options.address = {"127.0.0.1", 0};
  options.echoes_exchange_ids = true;
  listener = Unwrap(HttpListener::Create(
      pair.reactor, options, [&](const IncomingRequest& it) {
        listener->Respond(it.exchange, {200, {}, body});
      }));
  PeerClient peers(*pair.client);
  base::SocketAddress address = listener->address();
  std::vector<std::string> bodies = UnexpectedVariants(
      R"({"jsonrpc":"2.0","id":1,"error":{"code":1,"message":"m"}})");
  for (std::string& it : UnexpectedVariants(
           R"({"jsonrpc":"2.0","id":1,"result":{"kind":"booking_reply",
               "value":{"standing":"done","status":200,"answer":"00"}}})"))
    bodies.push_back(std::move(it));
  for (const std::string& it : bodies) {
    body = it;
    const std::string shown = it.substr(0, 300);
    CAPTURE(shown);
    bool is_done = false;
    peers.Send(address, node::BookingQuery{"t"}, std::chrono::seconds(5),
               [&](const auto&) { is_done = true; });
    CHECK(pair.RunUntil([&] { return is_done; }));
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::transport
