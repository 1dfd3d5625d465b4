#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <string>

#include "LibBase/random.h"
#include "LibDeclare/builder_program.h"
#include "LibDeclare/configuration_builder.h"
#include "LibDeclare/configuration_parser.h"
#include "LibDeclare/configuration_printer.h"

namespace bilberry::declare {
namespace {

using namespace std::chrono_literals;

constexpr uint64_t kSeed = 20261205;
constexpr int kRounds = 3000;

std::string DrawName(base::Random& random, size_t number) {
  constexpr std::string_view kLetters = "abcXYZ019.-_";
  std::string name = std::to_string(number);
  for (uint64_t n = random.Below(20); n > 0; --n)
    name += kLetters[random.Below(kLetters.size())];
  return name;
}

// A string may hold any text, including comment markers and quotes.
std::string DrawText(base::Random& random) {
  const char* const pieces[] = {"a",  "\"", "\\", "//", "/*", "*/",  "\n",
                                "\t", "é",  "{",  "}",  ",",  "\x01"};
  std::string text = "d";
  for (uint64_t n = random.Below(10); n > 0; --n)
    text += pieces[random.Below(std::size(pieces))];
  return text;
}

std::chrono::milliseconds DrawTime(base::Random& random) {
  return std::chrono::milliseconds(1 + random.Below(600'000));
}

Stage DrawStage(base::Random& random, const Configuration& configuration) {
  Stage stage;
  stage.kind = static_cast<StageKind>(random.Below(5));
  stage.pool =
      configuration.pools[random.Below(configuration.pools.size())].name;
  stage.path = "/" + DrawText(random);
  stage.expected = DrawTime(random);
  return stage;
}

Pipeline DrawPipeline(base::Random& random,
                      const Configuration& configuration) {
  Pipeline pipeline;
  pipeline.rank = kRanks[random.Below(kRankCount)];
  pipeline.deadline = DrawTime(random);
  const size_t count = 1 + random.Below(16);
  for (size_t i = 0; i < count; ++i) {
    pipeline.stages.push_back(DrawStage(random, configuration));
    pipeline.stages.back().name = {DrawName(random, i)};
  }
  if (random.Below(2) == 0)
    pipeline.stages.back().delivery = Delivery::kStreamed;
  else if (random.Below(2) == 0)
    pipeline.stages[random.Below(count)].repeatability =
        Repeatability::kAtMostOnce;
  return pipeline;
}

Configuration DrawConfiguration(base::Random& random) {
  Configuration it;
  it.deployment = DrawText(random);
  for (size_t i = 0; i <= random.Below(4); ++i)
    it.zones.push_back({std::to_string(i) + DrawText(random)});
  for (RankRule& rule : it.ranks) {
    rule.minimum_share_percent = static_cast<uint32_t>(random.Below(34));
    rule.attainment_target_percent = random.Fraction() * 100;
  }
  for (size_t i = 0; i <= random.Below(5); ++i)
    it.pools.push_back({{DrawName(random, i)},
                        static_cast<PoolKind>(random.Below(2)),
                        static_cast<uint32_t>(1 + random.Below(10'000)),
                        static_cast<uint32_t>(1 + random.Below(4'096)),
                        random.Below(2) == 0,
                        static_cast<FencingSupport>(random.Below(2))});
  for (size_t i = 0; i < random.Below(5); ++i) {
    it.pipelines.push_back(DrawPipeline(random, it));
    it.pipelines.back().name = {DrawName(random, i)};
  }
  for (size_t i = 0; i < random.Below(5); ++i)
    it.teams.push_back({{DrawName(random, i)},
                        static_cast<uint32_t>(1 + random.Below(1'000))});
  return it;
}

TEST_CASE("a printed configuration parses to the same configuration") {
  base::Random random(kSeed);
  for (int i = 0; i < kRounds; ++i) {
    CAPTURE(i);
    const Configuration drawn = DrawConfiguration(random);
    const std::string heading = DrawText(random);
    const std::string text = PrintConfiguration(drawn, heading);
    const auto parsed = ParseConfiguration(text);
    for (const Fault& fault : parsed.faults)
      FAIL_CHECK(ToText(text, fault));
    REQUIRE(parsed.configuration == drawn);
    REQUIRE(PrintConfiguration(parsed.configuration, heading) == text);
  }
}

ConfigurationBuilder ValidBuilder() {
  ConfigurationBuilder builder("d");
  builder.AddZone("a").SetRank(Rank::kUrgent, {50, 99.0});
  builder.SetRank(Rank::kOrdinary, {20, 99.0});
  builder.SetRank(Rank::kBackground, {5, 90.0});
  builder.AddPool("p", PoolKind::kService, 3, 4).ReportsLoad().ChecksFencing();
  builder.AddPipeline("q", Rank::kUrgent, 100ms)
      .AddStage("s", StageKind::kCall, "p", "/s", 5ms)
      .AtMostOnce();
  builder.AddTeam("t").AddTeam("u", 3);
  return builder;
}

TEST_CASE("a valid builder returns its configuration and document") {
  const auto built = ValidBuilder().Build();
  CHECK(built.faults.empty());
  CHECK(ParseConfiguration(built.document).configuration ==
        built.configuration);
  CHECK(built.configuration.pools[0].fencing == FencingSupport::kChecked);
  CHECK(built.configuration.pipelines[0].IsAtMostOnce());
  CHECK(built.configuration.teams[1].weight == 3);
}

struct Misuse {
  const char* field;
  const char* reason;  // A part of the expected reason.
  void (*commit)(ConfigurationBuilder& builder);
};

constexpr Misuse kMisuses[] = {
    {"pools[1].workers", "from 1",
     [](auto& it) { it.AddPool("x", PoolKind::kService, 0, 1); }},
    {"pools[1].slots_per_worker", "to 4096",
     [](auto& it) { it.AddPool("x", PoolKind::kService, 1, 5'000); }},
    {"pools[1].name", "may only hold",
     [](auto& it) { it.AddPool("a b", PoolKind::kService, 1, 1); }},
    {"pools", "declared twice",
     [](auto& it) { it.AddPool("p", PoolKind::kService, 1, 1); }},
    {"pipelines[1].stages", "1 to 16",
     [](auto& it) { it.AddPipeline("x", Rank::kUrgent, 1s); }},
    {"pipelines[1].stages", "before a stage",
     [](auto& it) { it.AddPipeline("x", Rank::kUrgent, 1s).AtMostOnce(); }},
    {"pipelines[1].deadline_ms", "from 1",
     [](auto& it) {
       it.AddPipeline("x", Rank::kUrgent, -1ms)
           .AddStage("s", StageKind::kCall, "p", "/s", 1ms);
     }},
    {"pipelines[1].stages[0].pool", "unknown pool",
     [](auto& it) {
       it.AddPipeline("x", Rank::kUrgent, 1s)
           .AddStage("s", StageKind::kCall, "none", "/s", 1ms);
     }},
    {"pipelines[1].stages[0].path", "slash",
     [](auto& it) {
       it.AddPipeline("x", Rank::kUrgent, 1s)
           .AddStage("s", StageKind::kCall, "p", "s", 1ms);
     }},
    {"pipelines[1].stages", "only the last",
     [](auto& it) {
       it.AddPipeline("x", Rank::kUrgent, 1s)
           .AddStage("s", StageKind::kCall, "p", "/s", 1ms)
           .Streamed()
           .AddStage("r", StageKind::kCall, "p", "/r", 1ms);
     }},
    {"ranks.urgent", "set twice",
     [](auto& it) {
       it.SetRank(Rank::kUrgent, {50, 99.0});
     }},
    {"ranks.urgent.attainment_target_percent", "from 0",
     [](auto& it) {
       it.SetRank(Rank::kUrgent, {50, std::nan("")});
     }},
    {"teams[2].weight", "from 1", [](auto& it) { it.AddTeam("x", 0); }},
    {"zones", "declared twice", [](auto& it) { it.AddZone("a"); }},
};

TEST_CASE("each misuse of the builder is reported with field and hint") {
  for (const Misuse& misuse : kMisuses) {
    CAPTURE(misuse.field);
    CAPTURE(misuse.reason);
    ConfigurationBuilder builder = ValidBuilder();
    misuse.commit(builder);
    const Faults faults = builder.Check();
    const auto it = std::ranges::find_if(faults, [&](const Fault& fault) {
      return fault.field == misuse.field &&
             fault.reason.find(misuse.reason) != std::string::npos;
    });
    REQUIRE(it != faults.end());
    CHECK_FALSE(it->hint.empty());
  }
}

TEST_CASE("an empty builder reports missing ranks and zones") {
  const Faults faults = ConfigurationBuilder("d").Check();
  for (const char* field :
       {"ranks.urgent", "ranks.ordinary", "ranks.background", "zones"})
    CHECK(std::ranges::count(faults, field, &Fault::field) == 1);
}

TEST_CASE("a builder's program has an exit code for each outcome") {
  const auto sound = ValidBuilder();
  CHECK(RunBuilderProgram("x", sound, {}).exit_code == 0);
  CHECK(RunBuilderProgram("x", sound, {}).output == sound.Build().document);
  CHECK(RunBuilderProgram("x", sound, {"--what"}).exit_code == 2);
  const auto faulty = RunBuilderProgram("x", ConfigurationBuilder("d"), {});
  CHECK(faulty.exit_code == 3);
  CHECK(faulty.output.empty());
  CHECK(faulty.errors.find("ranks.urgent: is missing") != std::string::npos);
}

}  // namespace
}  // namespace bilberry::declare
