#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "LibTransport/json_text.h"
#include "LibTransport/store_sync_codec.h"

namespace bilberry::transport {
namespace {

using std::chrono::milliseconds;

forward::StoreSyncResponse MakeResponse() {
  forward::StoreSyncResponse response;
  response.era = 3;
  response.age = milliseconds(700);
  response.revision = 12;
  response.operators_version = 39;
  forward::TableUpdate endpoints;
  endpoints.feed = forward::FeedKind::kEndpoints;
  endpoints.version = 40;
  endpoints.rows = {
      {"e1", forward::ListedEndpoint{{"e1"},
                                     {"p"},
                                     {"z"},
                                     {"10.0.0.1", 80},
                                     forward::EndpointState::kLeaving}},
      {"e2", forward::RowRemoved{}}};
  forward::TableUpdate hosts;
  hosts.feed = forward::FeedKind::kHosts;
  hosts.version = 41;
  hosts.is_whole = true;
  hosts.rows = {
      {"h1", forward::PeerHost{{"h1"}, {"10.0.0.2", 7740}, {"z"}, 0.5, 200.0}}};
  forward::TableUpdate operators;
  operators.feed = forward::FeedKind::kConfiguration;
  operators.version = 39;
  forward::ForwardConfiguration configuration;
  configuration.document = "routes";
  configuration.revision = configuration.document.size();
  operators.rows = {
      {"config",
       std::make_shared<const forward::ForwardConfiguration>(configuration)},
      {"evacuate/z", forward::ZoneEvacuated{{"z"}}},
      {"evacuate/y", forward::RowRemoved{}}};
  response.tables = {endpoints, hosts, operators};
  response.notices.departures = {
      {{"e1"}, base::Incarnation{1764}, milliseconds(300)}};
  response.notices.backoffs = {
      {{"e3"}, base::Incarnation{1766}, milliseconds(2000), milliseconds(400)}};
  response.notices.crashes = {
      {{"digest", {"e4#7"}, milliseconds(600), policy::CrashedName::kProcess},
       {"p/part",
        {"e4"},
        milliseconds(600),
        policy::CrashedName::kEndpoint,
        2}},
      {"cleared"},
      {{"p/answered", milliseconds(40)}}};
  response.limits = {
      {{"e2"}, base::Incarnation{1765}, {{2.5}, milliseconds(200)}}};
  return response;
}

// Takes any text for the configuration whose revision is the text's length.
std::optional<forward::StoreSyncResponse> Decode(std::string_view text) {
  return DecodeStoreSyncResponse(text, [](std::string_view document) {
    forward::ForwardConfiguration configuration;
    configuration.revision = document.size();
    configuration.document = document;
    return std::make_shared<const forward::ForwardConfiguration>(configuration);
  });
}

TEST_SUITE_BEGIN("contract");

TEST_CASE("a sync response keeps an endpoint's remaining cold time") {
  forward::StoreSyncResponse response = MakeResponse();
  auto& endpoint =
      std::get<forward::ListedEndpoint>(response.tables[0].rows[0].content);
  for (const base::Duration left : {milliseconds(0), milliseconds(1300)}) {
    endpoint.cold_for = left;
    const auto again = Decode(EncodeStoreSyncResponse(response));
    REQUIRE(again.has_value());
    CHECK(std::get<forward::ListedEndpoint>(again->tables[0].rows[0].content) ==
          endpoint);
  }
  endpoint.cold_for = milliseconds(-1);
  CHECK_FALSE(Decode(EncodeStoreSyncResponse(response)).has_value());
}

TEST_CASE("a sync response keeps rows, removals, versions and age") {
  const auto response = Decode(EncodeStoreSyncResponse(MakeResponse()));
  REQUIRE(response.has_value());
  CHECK(EncodeStoreSyncResponse(*response) ==
        EncodeStoreSyncResponse(MakeResponse()));
  CHECK(response->age == milliseconds(700));
  CHECK(response->era == 3);
  CHECK(response->revision == 12);
  CHECK(response->operators_version == 39);
  REQUIRE(response->tables.size() == 3);
  const auto* configuration =
      std::get_if<std::shared_ptr<const forward::ForwardConfiguration>>(
          &response->tables[2].rows[0].content);
  REQUIRE(configuration != nullptr);
  CHECK((*configuration)->document == "routes");
  const auto& rows = response->tables[0].rows;
  CHECK(std::get<forward::ListedEndpoint>(rows[0].content) ==
        std::get<forward::ListedEndpoint>(
            MakeResponse().tables[0].rows[0].content));
  CHECK(std::holds_alternative<forward::RowRemoved>(rows[1].content));
  CHECK(response->tables[1].is_whole);
  REQUIRE(response->notices.departures.size() == 1);
  CHECK(response->notices.departures[0].endpoint.value == "e1");
  CHECK(response->notices.departures[0].incarnation == base::Incarnation{1764});
  CHECK(response->notices.departures[0].age == milliseconds(300));
  REQUIRE(response->notices.backoffs.size() == 1);
  CHECK(response->notices.backoffs[0].endpoint.value == "e3");
  CHECK(response->notices.backoffs[0].incarnation == base::Incarnation{1766});
  CHECK(response->notices.backoffs[0].lasts == milliseconds(2000));
  CHECK(response->notices.backoffs[0].age == milliseconds(400));
  REQUIRE(response->notices.crashes.suspicions.size() == 2);
  CHECK(response->notices.crashes.suspicions[1] ==
        policy::CrashSuspicion{"p/part",
                               {"e4"},
                               milliseconds(600),
                               policy::CrashedName::kEndpoint,
                               2});
  CHECK(response->notices.crashes.answered ==
        std::vector<forward::PartAnswer>{{"p/answered", milliseconds(40)}});
  const auto& suspicion = response->notices.crashes.suspicions[0];
  CHECK(suspicion.request == "digest");
  CHECK(suspicion.endpoint.value == "e4#7");
  CHECK(suspicion.age == milliseconds(600));
  CHECK(suspicion.kind == policy::CrashedName::kProcess);
  CHECK(response->notices.crashes.cleared ==
        std::vector<std::string>{"cleared"});
  REQUIRE(response->limits.size() == 1);
  CHECK(response->limits[0].endpoint.value == "e2");
  CHECK(response->limits[0].incarnation == base::Incarnation{1765});
  CHECK(response->limits[0].report.limit.per_second == 2.5);
  CHECK(response->limits[0].report.age == milliseconds(200));
}

TEST_CASE("a notice batch with a malformed part is rejected as a whole") {
  const auto whole = EncodeNoticeBatch(MakeResponse().notices);
  const auto notices = DecodeNoticeBatch(whole);
  REQUIRE(notices.has_value());
  CHECK(EncodeNoticeBatch(*notices) == whole);
  for (const char* text : {"", "[]", "{}", "{\"departures\":[]}",
                           "{\"departures\":[],\"quiet_times\":{}}",
                           "{\"departures\":[],\"quiet_times\":[1]}"})
    CHECK_FALSE(DecodeNoticeBatch(text).has_value());
  for (const char* field : {"endpoint", "incarnation", "lasts_us", "age_us"}) {
    CAPTURE(field);
    auto object = *ParseJsonValue(whole);
    object["quiet_times"][0][field] = Json::objectValue;
    CHECK_FALSE(DecodeNoticeBatch(PrintCompact(object)).has_value());
  }
  for (const char* field : {"request", "endpoint", "age_us", "is_process"}) {
    CAPTURE(field);
    auto object = *ParseJsonValue(whole);
    object["crashes"]["suspicions"][0][field] = Json::objectValue;
    CHECK_FALSE(DecodeNoticeBatch(PrintCompact(object)).has_value());
  }
  for (const char* list : {"suspicions", "cleared", "answered"}) {
    CAPTURE(list);
    auto object = *ParseJsonValue(whole);
    object["crashes"][list] = Json::objectValue;
    CHECK_FALSE(DecodeNoticeBatch(PrintCompact(object)).has_value());
  }
  // From a host of an earlier version.
  auto object = *ParseJsonValue(whole);
  object.removeMember("crashes");
  const auto earlier = DecodeNoticeBatch(PrintCompact(object));
  REQUIRE(earlier.has_value());
  CHECK(earlier->crashes.is_empty());
}

TEST_CASE("a sync request keeps the versions that the sender has") {
  const auto sync_request = DecodeStoreSyncRequest(EncodeStoreSyncRequest(
      {{{forward::FeedKind::kEndpoints, 40}},
       {{{"e1"}, base::Incarnation{7}, milliseconds(20)}},
       {{{"digest", {"e2"}, milliseconds(30)}}, {}, {}},
       4,
       forward::OfferedOperatorsRows{{"10.0.0.3", 7740}, {12, 39}}}));
  REQUIRE(sync_request.has_value());
  CHECK(sync_request->era == 4);
  REQUIRE(sync_request->offer.has_value());
  CHECK(sync_request->offer->sender == base::SocketAddress{"10.0.0.3", 7740});
  CHECK(sync_request->offer->age.revision == 12);
  CHECK(sync_request->offer->age.version == 39);
  REQUIRE(sync_request->known.size() == 1);
  CHECK(sync_request->known.front().version == 40);
  REQUIRE(sync_request->departures.size() == 1);
  CHECK(sync_request->departures[0].incarnation == base::Incarnation{7});
  REQUIRE(sync_request->crashes.suspicions.size() == 1);
  CHECK(sync_request->crashes.suspicions[0].age == milliseconds(30));
  for (const char* text :
       {"", "{}", "{\"known\":{}}",
        "{\"era\":\"1\",\"known\":{},\"departures\":[]}",
        "{\"known\":{},\"departures\":[1]}",
        "{\"known\":{},\"departures\":[],\"offer\":{\"sender\":1}}",
        "{\"known\":{\"x\":1},\"departures\":[]}",
        "{\"known\":{\"endpoints\":\"1\"},\"departures\":[]}",
        "{\"known\":{},\"departures\":[{\"endpoint\":\"e\"}]}"})
    CHECK_FALSE(DecodeStoreSyncRequest(text).has_value());
}

TEST_CASE("a sync response with a malformed part is rejected as a whole") {
  for (const char* text : {"", "[]", "{}", "{\"revision\":1,\"tables\":[]}"})
    CHECK_FALSE(Decode(text).has_value());
  for (const char* field : {"feed", "version", "is_whole", "rows"}) {
    CAPTURE(field);
    auto object = *ParseJsonValue(EncodeStoreSyncResponse(MakeResponse()));
    object["tables"][0][field] = Json::objectValue;
    CHECK_FALSE(Decode(PrintCompact(object)).has_value());
  }
  for (const char* field : {"key", "pool", "zone", "address", "is_leaving"}) {
    CAPTURE(field);
    auto object = *ParseJsonValue(EncodeStoreSyncResponse(MakeResponse()));
    object["tables"][0]["rows"][0][field] = Json::objectValue;
    CHECK_FALSE(Decode(PrintCompact(object)).has_value());
  }
  for (const char* text : {"", "[]", "{\"endpoints\":\"1\"}", "{\"none\":1}"})
    CHECK_FALSE(DecodeStoreSyncRequest(text).has_value());
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::transport
