#include "planned_deployment.h"

#include <chrono>

#include "LibDeclare/configuration_builder.h"
#include "LibMembership/configuration_head.h"

namespace bilberry::sizes {

namespace {

using namespace std::chrono_literals;
using declare::ConfigurationBuilder;
using declare::Rank;
using declare::StageKind;

constexpr uint32_t kSlotsPerWorker = 8;
constexpr int kMinStages = 3;
constexpr int kStageCounts = 4;  // Pipelines have three to six stages.

std::string Numbered(const char* prefix, int number) {
  return prefix + std::to_string(number);
}

void AddPipeline(ConfigurationBuilder& builder, int number) {
  auto pipeline =
      builder.AddPipeline(Numbered("pipeline-", number),
                          declare::kRanks[number % declare::kRankCount], 3s);
  const int stages = kMinStages + number % kStageCounts;
  for (int i = 0; i < stages; ++i)
    pipeline.AddStage(Numbered("stage-", i), StageKind::kCall,
                      Numbered("pool-", (number + i) % kPools),
                      Numbered("/stage-", i), 50ms);
}

base::HostEntry Entry(const std::string& name,
                      base::HostKind kind,
                      int number) {
  base::HostEntry entry;
  entry.name = name;
  entry.kind = kind;
  entry.zone = {Numbered("zone-", number % kZones)};
  entry.address = {"10.0." + std::to_string(number / 250) + "." +
                       std::to_string(number % 250),
                   8081};
  entry.incarnation = base::Incarnation{0x1234567890abcdefU + number};
  return entry;
}

}  // namespace

std::string PlannedDocument() {
  ConfigurationBuilder builder("planned");
  for (int i = 0; i < kZones; ++i)
    builder.AddZone(Numbered("zone-", i));
  builder.SetRank(Rank::kUrgent, {50, 99.5});
  builder.SetRank(Rank::kOrdinary, {20, 99.0});
  builder.SetRank(Rank::kBackground, {5, 95.0});
  for (int i = 0; i < kPools; ++i)
    builder.AddPool(Numbered("pool-", i), declare::PoolKind::kEngine,
                    kWorkers / kPools, kSlotsPerWorker);
  for (int i = 0; i < kPipelines; ++i)
    AddPipeline(builder, i);
  // A pipeline with a single stage, to measure the cost of one request.
  builder.AddPipeline("single", Rank::kUrgent, 3s)
      .AddStage("call", StageKind::kCall, "pool-0", "/call", 50ms);
  builder.AddPipeline("booking", Rank::kUrgent, 3s)
      .AddStage("book", StageKind::kCall, "pool-0", "/book", 50ms)
      .AtMostOnce();
  builder.AddTeam("t");
  for (int i = 1; i < kTeams; ++i)
    builder.AddTeam(Numbered("team-", i));
  return builder.Build().document;
}

void PutPlannedDeployment(fakes::PlatformStore& store) {
  const std::string object = "configuration/1-planned";
  store.Apply(base::StoreObject{object, PlannedDocument()});
  base::WriteRows write;
  write.writes.push_back(
      {std::string(membership::kConfigurationHeadKey),
       base::RowVersion::kAbsent,
       membership::SerializeHead({base::Revision{1}, object, "planned"})});
  store.Apply(write);
  for (int i = 0; i < kEntryHosts; ++i)
    store.PutHost(Entry(Numbered("entry-", i), base::HostKind::kEntryHost, i));
  for (int i = 0; i < kWorkers; ++i) {
    base::HostEntry worker = Entry(Numbered("worker-", i),
                                   base::HostKind::kEndpoint, kEntryHosts + i);
    worker.pool = {Numbered("pool-", i % kPools)};
    store.PutHost(worker);
  }
}

void PutSecondRevision(fakes::PlatformStore& store) {
  const std::string key(membership::kConfigurationHeadKey);
  const base::TableRow& row = store.rows().at(key);
  auto head = membership::ParseHead(row.value).value();
  head.revision = base::Revision{2};
  head.change = "second";
  store.Apply(
      base::WriteRows{{{key, row.version, membership::SerializeHead(head)}}});
}

}  // namespace bilberry::sizes
