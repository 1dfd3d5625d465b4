#include <doctest/doctest.h>

#include <string>

#include "LibBase/random.h"
#include "Standins/small_platform.h"
#include "platform/configuration_codec.h"
#include "platform/configuration_reader.h"

namespace bilberry::platform {
namespace {

using Configuration = std::shared_ptr<const forward::ForwardConfiguration>;

// What distinguishes a route, in the order of the document.
std::string RoutesOf(const forward::RowContent& content) {
  const auto* it = std::get_if<Configuration>(&content);
  if (it == nullptr)
    return std::get<forward::RowUnreadable>(content).reason;
  std::string text = std::to_string((*it)->revision);
  for (const forward::ForwardedPipeline& route : (*it)->pipelines)
    text += " " + route.name.value + route.path_prefix +
            std::to_string(route.timeout.count()) +
            route.final_pools.front().pool.value;
  return text;
}

std::string Document(uint64_t revision, const std::string& routes) {
  return R"({"version":)" + std::to_string(revision) + R"(,"routes":[)" +
         routes + R"(],"services":[{"name":"p"}],"tenants":[]})";
}

std::string Route(uint64_t name, uint64_t timeout) {
  return R"({"name":"r)" + std::to_string(name) +
         R"(","host":"h","pathPrefix":"/)" + std::to_string(name) +
         R"(/","kind":"idempotent","service":"p","timeoutMs":)" +
         std::to_string(timeout) + "}";
}

TEST_SUITE_BEGIN("contract");

// Guards against routes of an earlier document that are taken for others.
TEST_CASE("what a reader remembers changes nothing about what it reads") {
  base::Random random(1);
  ConfigurationReader reader;
  for (uint64_t revision = 1; revision <= 300; ++revision) {
    std::string routes;
    for (uint64_t n = random.Below(8); n > 0; --n)
      routes += (routes.empty() ? "" : ",") +
                Route(random.Below(5), 1000 + random.Below(2));
    // Some are malformed: a trailing comma, a bracket too many.
    if (random.Below(10) == 0)
      routes += random.Below(2) == 0 ? "," : "]";
    const std::string text = Document(revision, routes);
    CAPTURE(text);
    CHECK(RoutesOf(reader.Decode(text)) == RoutesOf(DecodeConfiguration(text)));
  }
}

TEST_CASE("documents that can't be split by routes are read as a whole") {
  ConfigurationReader reader;
  for (const std::string& text :
       {std::string("no document"), std::string("[]"),
        std::string(R"({"version":1})"),
        std::string(R"({"version":1,"routes":{}})"),
        std::string(R"({"version":1,"routes":[7]})"),
        R"({"version":1,"services":[{"routes":[1]}],"routes":[)" + Route(1, 9) +
            "]}",
        R"({"version":1,/*"routes":[*/"routes":[)" + Route(1, 9) + "]}",
        R"({"version":1,"routes":[)" + Route(1, 9) + R"(],"routes":[]})"}) {
    CAPTURE(text);
    CHECK(RoutesOf(reader.Decode(text)) == RoutesOf(DecodeConfiguration(text)));
  }
}

TEST_CASE("what looks like routes in a comment isn't taken for them") {
  ConfigurationReader reader;
  for (uint64_t i = 1; i <= 3; ++i) {
    const std::string text = R"({"version":)" + std::to_string(i) +
                             R"(,/*"routes":[1,2]*/"routes":[)" + Route(i, 9) +
                             "," + Route(i + 1, 9) + "]}";
    CAPTURE(text);
    CHECK(RoutesOf(reader.Decode(text)) == RoutesOf(DecodeConfiguration(text)));
  }
}

TEST_CASE("the same document isn't decoded again") {
  ConfigurationReader reader;
  const std::string text = standins::SmallConfiguration(7, 20);
  const auto first = reader.Decode(text);
  const auto second = reader.Decode(text);
  CHECK(std::get<Configuration>(first) == std::get<Configuration>(second));
  CHECK(std::get<Configuration>(first)->document == text);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::platform
