#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "LibDeclare/configuration_difference.h"

namespace bilberry::declare {
namespace {

Configuration Small() {
  Configuration it;
  it.deployment = "d";
  it.zones = {{"a"}, {"b"}};
  it.pools = {{{"p"}, PoolKind::kService, 3, 4}, {{"q"}}};
  Pipeline pipeline;
  pipeline.name = {"x"};
  pipeline.stages.resize(2);
  pipeline.stages[0].name = {"one"};
  pipeline.stages[1].name = {"two"};
  it.pipelines = {pipeline};
  it.teams = {{{"t"}, 1}};
  return it;
}

struct Change {
  void (*make)(Configuration& it);
  std::vector<std::string> lines;
};

TEST_CASE("exactly the fields that differ are reported") {
  const Change changes[] = {
      {[](auto&) {}, {}},
      {[](auto& it) { it.deployment = "e"; }, {"~ deployment: d -> e"}},
      {[](auto& it) { it.zones.pop_back(); }, {"~ zones: a, b -> a"}},
      {[](auto& it) { it.ranks[0].minimum_share_percent = 5; },
       {"~ ranks.urgent.minimum_share_percent: 0 -> 5"}},
      {[](auto& it) { it.ranks[2].attainment_target_percent = 90; },
       {"~ ranks.background.attainment_target_percent: 99.000000 -> "
        "90.000000"}},
      {[](auto& it) { it.pools[0].workers = 5; },
       {"~ pools.p.workers: 3 -> 5"}},
      {[](auto& it) { it.pools[0].fencing = FencingSupport::kChecked; },
       {"~ pools.p.fencing: ignored -> checked"}},
      {[](auto& it) { std::swap(it.pools[0], it.pools[1]); }, {}},
      {[](auto& it) { it.pipelines[0].rank = Rank::kUrgent; },
       {"~ pipelines.x.rank: ordinary -> urgent"}},
      {[](auto& it) {
         std::swap(it.pipelines[0].stages[0], it.pipelines[0].stages[1]);
       },
       {"~ pipelines.x.stages: one, two -> two, one"}},
      {[](auto& it) {
         it.pipelines[0].stages[1].delivery = Delivery::kStreamed;
       },
       {"~ pipelines.x.stages.two.delivery: whole -> streamed"}},
      {[](auto& it) { it.teams[0].weight = 2; }, {"~ teams.t.weight: 1 -> 2"}},
      {[](auto& it) { it.teams.clear(); }, {"- teams.t.weight: 1"}},
      {[](auto& it) {
         it.teams.push_back({{"u"}, 1});
       },
       {"+ teams.u.weight: 1"}},
  };
  for (const Change& change : changes) {
    Configuration after = Small();
    change.make(after);
    std::vector<std::string> lines;
    for (const Difference& difference : Compare(Small(), after))
      lines.push_back(ToText(difference));
    CHECK(lines == change.lines);
  }
}

}  // namespace
}  // namespace bilberry::declare
