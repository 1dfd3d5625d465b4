#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "platform/store_codec.h"
#include "platform/wire_names.h"

// Rows that operators write besides the configuration: evacuated zones.
namespace bilberry::platform {
namespace {

forward::TableChanged Changed(const std::string& rows) {
  const transport::HttpResponse response{
      200, {}, R"({"ver":7,"nowMs":1,"rows":[)" + rows + "]}"};
  const forward::Event event =
      DecodeFollowResponse(forward::FeedKind::kConfiguration, response);
  REQUIRE(std::holds_alternative<forward::TableChanged>(event));
  return std::get<forward::TableChanged>(event);
}

TEST_SUITE_BEGIN("contract");

TEST_CASE("an operators' row evacuates the zone in its key") {
  // The value is an empty object.
  const auto changed = Changed(
      R"({"table":"op","part":"","key":"evacuate/zona-a","value":"e30=","ver":7})");
  REQUIRE(changed.rows.size() == 1);
  const auto* it =
      std::get_if<forward::ZoneEvacuated>(&changed.rows[0].content);
  REQUIRE(it != nullptr);
  CHECK(it->zone.value == "zona-a");
}

// Guards against a torn value that ends the evacuation of its zone.
TEST_CASE("a zone is evacuated regardless of its row's value") {
  for (const std::string& value :
       std::vector<std::string>{R"("%%")", R"("")", "null", "7"}) {
    CAPTURE(value);
    const auto changed = Changed(
        R"({"table":"op","part":"","key":"evacuate/zona-a","ver":7,"value":)" +
        value + "}");
    REQUIRE(changed.rows.size() == 1);
    CHECK(std::holds_alternative<forward::ZoneEvacuated>(
        changed.rows[0].content));
  }
}

TEST_CASE("removing the operators' row ends the evacuation") {
  const auto changed = Changed(
      R"({"table":"op","part":"","key":"evacuate/zona-a","removed":true,"ver":8})");
  REQUIRE(changed.rows.size() == 1);
  CHECK(changed.rows[0].key == "evacuate/zona-a");
  CHECK(std::holds_alternative<forward::RowRemoved>(changed.rows[0].content));
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::platform
