#include <doctest/doctest.h>

#include <string>

#include "LibDeclare/configuration_parser.h"
#include "LibDeclare/host_settings.h"

namespace bilberry::declare {
namespace {

constexpr const char* kValid = R"({
  "deployment": "d", "zones": ["a"],
  "ranks": {
    "urgent": {"minimum_share_percent": 50, "attainment_target_percent": 99},
    "ordinary": {"minimum_share_percent": 20, "attainment_target_percent": 99},
    "background": {"minimum_share_percent": 5, "attainment_target_percent": 90}
  },
  "pools": [
    {"name": "p", "kind": "service", "workers": 3, "slots_per_worker": 4}
  ],
  "pipelines": [
    {"name": "q", "rank": "urgent", "deadline_ms": 100, "stages": [
      {"name": "s", "kind": "call", "pool": "p", "path": "/s", "expected_ms": 5}
    ]}
  ],
  "teams": [{"name": "t"}]
})";

struct BadInput {
  const char* from;  // The part of the valid text to replace.
  const char* to;
  int line;
  const char* field;
  const char* reason;  // A part of the expected reason.
};

constexpr BadInput kBadInputs[] = {
    {R"("deployment": "d",)", "", 1, "deployment", "is missing"},
    {R"("deployment": "d",)", R"("deployment": 3,)", 2, "deployment", "string"},
    {R"("zones": ["a"])", R"("zones": "a")", 2, "zones", "array"},
    {R"("zones": ["a"])", R"("zones": ["a"], "zoo": 1)", 2, "zoo", "unknown"},
    {R"("zones": ["a"])", R"("zones": [])", 2, "zones", "at least one"},
    {R"("zones": ["a"])", R"("zones": ["a", "a"])", 2, "zones", "twice"},
    {R"("zones": ["a"])", R"("zones": ["a"], "zones": [])", 2, "", "JSON"},
    {R"("minimum_share_percent": 50)", R"("minimum_share_percent": 101)", 4,
     "ranks.urgent.minimum_share_percent", "from 0 to 100"},
    {R"("minimum_share_percent": 50)", R"("minimum_share_percent": 90)", 3,
     "ranks", "more than 100"},
    {R"("workers": 3)", R"("workers": 0)", 9, "pools[0].workers", "from 1"},
    {R"("workers": 3)", R"("workers": -1)", 9, "pools[0].workers", "from 1"},
    {R"("workers": 3)", R"("workers": 2.5)", 9, "pools[0].workers", "whole"},
    {R"("kind": "service")", R"("kind": "sevice")", 9, "pools[0].kind",
     "unknown value"},
    {R"("pool": "p")", R"("pool": "x")", 13, "pipelines[0].stages[0].pool",
     "unknown pool"},
    {R"("path": "/s")", R"("path": "s")", 13, "pipelines[0].stages[0].path",
     "slash"},
    {R"("expected_ms": 5})",
     R"("expected_ms": 5},
      {"name": "s", "kind": "call", "pool": "p", "path": "/", "expected_ms": 5})",
     12, "pipelines[0].stages", "declared twice"},
    {R"("deadline_ms": 100)", R"("deadline_ms": 0)", 12,
     "pipelines[0].deadline_ms", "from 1"},
    {R"("rank": "urgent")", R"("rank": "high")", 12, "pipelines[0].rank",
     "unknown value"},
    {R"({"name": "t"})", R"({"name": "t"}, {"name": "t"})", 16, "teams",
     "declared twice"},
    {R"({"name": "t"})", R"({"name": "a/b"})", 16, "teams[0].name",
     "may only hold"},
    {"})", "", 0, "", "JSON"},
};

std::string Replaced(const BadInput& bad) {
  std::string text = kValid;
  const size_t at = text.rfind(bad.from);
  if (at == std::string::npos)
    return text.substr(0, text.size() / 2);
  return text.replace(at, std::string(bad.from).size(), bad.to);
}

TEST_CASE("the unchanged text is valid") {
  CHECK(ParseConfiguration(kValid).faults.empty());
}

TEST_CASE("invalid configurations are rejected with line, field and reason") {
  for (const BadInput& bad : kBadInputs) {
    CAPTURE(bad.to);
    const auto parsed = ParseConfiguration(Replaced(bad));
    REQUIRE_FALSE(parsed.faults.empty());
    const Fault& fault = parsed.faults.front();
    CAPTURE(fault.reason);
    CHECK(fault.field == bad.field);
    CHECK(fault.reason.find(bad.reason) != std::string::npos);
    CHECK_FALSE(fault.hint.empty());
    if (bad.line > 0)
      CHECK(fault.line == bad.line);
  }
}

TEST_CASE("all faults are reported at once") {
  std::string text = kValid;
  text.replace(text.find("\"workers\": 3"), 12, "\"workers\": 0");
  text.replace(text.find("\"kind\": \"call\""), 14, "\"kind\": \"cull\"");
  CHECK(ParseConfiguration(text).faults.size() == 2);
}

TEST_CASE("deeply nested and empty texts are rejected") {
  CHECK_FALSE(ParseConfiguration("").faults.empty());
  CHECK_FALSE(ParseConfiguration("[]").faults.empty());
  CHECK_FALSE(ParseConfiguration(std::string(100'000, '[')).faults.empty());
}

TEST_CASE("invalid settings are rejected") {
  for (
      const char* text :
      {"", "{}", "[]", R"({"host": 1})",
       R"({"host": "h", "zone": "z", "callers": {"ip": "x", "port": 70000}})"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseHostSettings(text).faults.empty());
  }
}

}  // namespace
}  // namespace bilberry::declare
