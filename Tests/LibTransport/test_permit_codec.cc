#include <doctest/doctest.h>

#include <string>

#include "LibTransport/permit_codec.h"

namespace bilberry::transport {
namespace {

using std::chrono::milliseconds;

forward::PermitRequest MakePermitRequest() {
  return {{"e1"},
          base::Incarnation{1764},
          {"z"},
          milliseconds(250),
          {{0.5}, milliseconds(40)}};
}

TEST_SUITE_BEGIN("contract");

TEST_CASE("a permit request survives encoding and decoding") {
  const auto permit_request =
      DecodePermitRequest(EncodePermitRequest(MakePermitRequest()));
  REQUIRE(permit_request.has_value());
  CHECK(permit_request->endpoint.value == "e1");
  CHECK(permit_request->incarnation == base::Incarnation{1764});
  CHECK(permit_request->zone.value == "z");
  CHECK(permit_request->longest_wait == milliseconds(250));
  CHECK(permit_request->limit.limit.per_second == 0.5);
  CHECK(permit_request->limit.age == milliseconds(40));
}

TEST_CASE("a permit request keeps the report of a cold endpoint") {
  forward::PermitRequest permit_request = MakePermitRequest();
  CHECK_FALSE(DecodePermitRequest(EncodePermitRequest(permit_request))
                  ->cold.has_value());
  permit_request.cold = forward::ColdReport{9.25, milliseconds(1300)};
  const std::string text = EncodePermitRequest(permit_request);
  const auto again = DecodePermitRequest(text);
  REQUIRE(again.has_value());
  REQUIRE(again->cold.has_value());
  CHECK(again->cold->per_second == 9.25);
  CHECK(again->cold->left == milliseconds(1300));
  for (const char* bad :
       {R"({"left_us":1})", R"({"left_us":-1,"per_second":1.0})",
        R"({"left_us":1,"per_second":0.0})", "7"}) {
    CAPTURE(bad);
    const std::string key = "\"cold\":";
    const size_t begin = text.find(key) + key.size();
    std::string broken = text;
    broken.replace(begin, text.find('}', begin) + 1 - begin, bad);
    CHECK_FALSE(DecodePermitRequest(broken).has_value());
  }
}

TEST_CASE("a permit answer keeps its decision") {
  const auto again = [](const forward::PermitDecision& decision) {
    const auto answer = DecodePermitAnswer(EncodePermitAnswer(
        {decision, forward::LimitReport{{}, milliseconds(3)}}));
    REQUIRE(answer.has_value());
    REQUIRE(answer->limit.has_value());
    CHECK_FALSE(answer->limit->limit.per_second.has_value());
    CHECK(answer->limit->age == milliseconds(3));
    return answer->decision;
  };
  CHECK(std::get<forward::PermitGranted>(
            again(forward::PermitGranted{milliseconds(7)}))
            .begins_in == milliseconds(7));
  CHECK(std::get<forward::PermitRefused>(
            again(forward::PermitRefused{milliseconds(9)}))
            .next_in == milliseconds(9));
  CHECK(std::holds_alternative<forward::NotLimitOwner>(
      again(forward::NotLimitOwner{})));
  const auto bare = DecodePermitAnswer(
      EncodePermitAnswer({forward::PermitGranted{}, std::nullopt}));
  REQUIRE(bare.has_value());
  CHECK_FALSE(bare->limit.has_value());
}

TEST_CASE("malformed permit messages and limits are rejected") {
  for (
      const char* text :
      {"", "{", "[]", "{}", R"({"endpoint":"e1"})",
       R"({"endpoint":"e1","incarnation":1,"zone":"z","wait_us":-1,"limit":{"age_us":0}})",
       R"({"endpoint":"e1","incarnation":1,"zone":"z","wait_us":1,"limit":{"age_us":0,"per_second":-2}})"}) {
    CAPTURE(text);
    CHECK_FALSE(DecodePermitRequest(text).has_value());
  }
  for (const char* text :
       {"", "{}", "[1]", R"({"begins_us":-1})", R"({"is_keeper":true})",
        R"({"begins_us":1,"limit":{"age_us":"1"}})"}) {
    CAPTURE(text);
    CHECK_FALSE(DecodePermitAnswer(text).has_value());
  }
  for (const char* text :
       {"{}", R"([{"age_us":1}])", R"([{"endpoint":"e1","age_us":1}])"}) {
    CAPTURE(text);
    CHECK_FALSE(DecodeLimitReports(*ParseJsonValue(text)).has_value());
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::transport
