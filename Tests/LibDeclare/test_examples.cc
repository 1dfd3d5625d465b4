#include <doctest/doctest.h>

#include <fstream>
#include <sstream>
#include <string>

#include "LibDeclare/configuration_parser.h"
#include "LibDeclare/host_settings.h"

namespace bilberry::declare {
namespace {

std::string ReadExample(const std::string& name) {
  std::ifstream file(std::string(BILBERRY_SOURCE_DIR "/Examples/") + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

struct NamedPool {
  const char* name;
  uint32_t workers;
  bool reports_load;
};

void CheckExample(const std::string& file,
                  const std::vector<base::ZoneName>& zones,
                  const std::vector<NamedPool>& pools) {
  const auto parsed = ParseConfiguration(ReadExample(file));
  for (const Fault& fault : parsed.faults)
    FAIL_CHECK(ToText(file, fault));
  CHECK(parsed.configuration.zones == zones);
  CHECK(parsed.configuration.teams.size() == 5);
  REQUIRE(parsed.configuration.pools.size() == pools.size());
  for (const NamedPool& expected : pools) {
    CAPTURE(expected.name);
    const Pool* pool = parsed.configuration.FindPool({expected.name});
    REQUIRE(pool != nullptr);
    CHECK(pool->workers == expected.workers);
    CHECK(pool->reports_load == expected.reports_load);
  }
}

TEST_CASE("Valbruna's example is valid and has its pools") {
  CheckExample("valbruna/configuration.json",
               {{"zona-a"}, {"zona-b"}, {"zona-c"}},
               {{"lucignolo", 9, false},
                {"banco", 3, false},
                {"magazzino", 3, true},
                {"fatture", 5, true},
                {"calendario", 5, true}});
}

TEST_CASE("Shannonside's example is valid and has its pools") {
  CheckExample("shannonside/configuration.json",
               {{"limerick"}, {"ennis"}, {"tralee"}},
               {{"lever-pool", 9, false},
                {"hire-desk", 3, false},
                {"billing", 3, true},
                {"returns", 5, true},
                {"fleet-track", 5, true}});
}

TEST_CASE("the examples of a host's settings are valid") {
  struct Example {
    const char* file;
    const char* zone;
  };
  for (const Example& example :
       {Example{"valbruna/host.json", "zona-a"},
        Example{"shannonside/host.json", "limerick"}}) {
    CAPTURE(example.file);
    const auto parsed = ParseHostSettings(ReadExample(example.file));
    CHECK(parsed.faults.empty());
    CHECK(parsed.settings.zone.value == example.zone);
    CHECK(parsed.settings.seed_peers.size() == 2);
  }
}

}  // namespace
}  // namespace bilberry::declare
