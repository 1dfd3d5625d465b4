#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "platform/configuration_codec.h"
#include "platform/request_codec.h"
#include "platform/wire_names.h"

// Decoding of cold times of endpoints, from rows, answers and the
// configuration.
namespace bilberry::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

forward::RowContent EntryWith(const std::string& fields) {
  return DecodeEndpoint(
      "i-1", R"({"service":"llm","zone":"z","address":"10.0.0.1:80",)"
             R"("state":"ready")" +
                 fields + "}");
}

std::optional<base::Duration> ColdForOf(const std::string& value) {
  const auto content = EntryWith(",\"coldRemainingMs\":" + value);
  REQUIRE(std::holds_alternative<forward::ListedEndpoint>(content));
  return std::get<forward::ListedEndpoint>(content).cold_for;
}

std::optional<base::Duration> ColdForInAnswer(int status,
                                              const std::string& text) {
  return DecodeNotice({status, {{"cold-ms", text}}, ""}).cold_for;
}

forward::ForwardedPool PoolWith(const std::string& fields) {
  const auto content = DecodeConfiguration(
      R"({"version":1,"services":[{"name":"llm")" + fields + "}]}");
  return std::get<std::shared_ptr<const forward::ForwardConfiguration>>(content)
      ->pools.front();
}

TEST_SUITE_BEGIN("contract");

TEST_CASE("an endpoint's row holds its remaining cold time") {
  CHECK(ColdForOf("2500") == seconds(2) + milliseconds(500));
  CHECK(ColdForOf("0") == base::Duration(0));
  CHECK(ColdForOf("-5") == base::Duration(0));
  CHECK(ColdForOf("1.5") == std::chrono::microseconds(1500));
  CHECK(ColdForOf("1e300") == std::chrono::hours(1));
  CHECK(ColdForOf("null") == std::nullopt);
  // A row with a value of another type is unreadable.
  for (const char* value : {"\"2500\"", "true", "{}", "[]"}) {
    CAPTURE(value);
    CHECK(std::holds_alternative<forward::RowUnreadable>(
        EntryWith(std::string(",\"coldRemainingMs\":") + value)));
  }
  const auto without = EntryWith("");
  REQUIRE(std::holds_alternative<forward::ListedEndpoint>(without));
  CHECK_FALSE(std::get<forward::ListedEndpoint>(without).cold_for.has_value());
}

TEST_CASE("an answer may hold its endpoint's remaining cold time") {
  CHECK(ColdForInAnswer(200, "1200") == milliseconds(1200));
  CHECK(ColdForInAnswer(503, "0") == base::Duration(0));
  CHECK(ColdForInAnswer(200, "1e300") == std::chrono::hours(1));
  for (const char* text : {"", "-1", "soon", "1s", "nan", "1e999", "+1"}) {
    CAPTURE(text);
    CHECK_FALSE(ColdForInAnswer(200, text).has_value());
  }
  CHECK_FALSE(DecodeNotice({200, {}, ""}).cold_for.has_value());
  // A 421 comes from another endpoint, to which the address belongs now.
  CHECK_FALSE(ColdForInAnswer(421, "1200").has_value());
}

TEST_CASE("a service holds the rate limit of its cold endpoints") {
  const forward::ForwardedPool pool =
      PoolWith(R"(,"coldPerS":11.5,"coldStartS":3)");
  CHECK(pool.cold_per_second == 11.5);
  CHECK(pool.cold_start == seconds(3));
  // Without a valid limit, cold endpoints are treated like others.
  for (const char* fields :
       {"", R"(,"coldPerS":0,"coldStartS":0)", R"(,"coldPerS":-3)",
        R"(,"coldPerS":"11","coldStartS":null)"}) {
    CAPTURE(fields);
    CHECK(PoolWith(fields).cold_per_second == 0);
    CHECK(PoolWith(fields).cold_start == base::Duration(0));
  }
  CHECK(PoolWith(R"(,"coldPerS":1e300)").cold_per_second == 1e6);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::platform
