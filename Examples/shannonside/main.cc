// Prints the configuration of this deployment, for bilberryctl apply.

#include <chrono>
#include <iostream>
#include <string_view>
#include <vector>

#include "LibDeclare/builder_program.h"
#include "LibDeclare/configuration_builder.h"

namespace {

using namespace std::chrono_literals;
using bilberry::declare::ConfigurationBuilder;
using bilberry::declare::PoolKind;
using bilberry::declare::Rank;
using bilberry::declare::StageKind;

void DeclareRanks(ConfigurationBuilder& builder) {
  builder.SetRank(Rank::kUrgent, {60, 99.5});
  builder.SetRank(Rank::kOrdinary, {20, 99.0});
  builder.SetRank(Rank::kBackground, {5, 95.0});
}

void DeclarePools(ConfigurationBuilder& builder) {
  constexpr uint32_t kSlots = 8;
  builder.AddPool("lever-pool", PoolKind::kEngine, 9, kSlots);
  builder.AddPool("hire-desk", PoolKind::kService, 3, kSlots);
  builder.AddPool("billing", PoolKind::kService, 3, kSlots).ReportsLoad();
  builder.AddPool("returns", PoolKind::kService, 5, kSlots).ReportsLoad();
  builder.AddPool("fleet-track", PoolKind::kService, 5, kSlots).ReportsLoad();
}

void DeclareDrafting(ConfigurationBuilder& builder) {
  builder.AddPipeline("hire-quote", Rank::kUrgent, 3000ms)
      .AddStage("encode", StageKind::kEncode, "lever-pool", "/encode", 20ms)
      .AddStage("retrieve", StageKind::kRetrieve, "hire-desk", "/retrieve",
                20ms)
      .AddStage("rerank", StageKind::kRerank, "lever-pool", "/rerank", 20ms)
      .AddStage("generate", StageKind::kGenerate, "lever-pool", "/generate",
                400ms)
      .Streamed();
  builder.AddPipeline("damage-summary", Rank::kBackground, 10000ms)
      .AddStage("retrieve", StageKind::kRetrieve, "returns", "/retrieve", 20ms)
      .AddStage("generate", StageKind::kGenerate, "lever-pool", "/generate",
                800ms)
      .Streamed();
}

void DeclareServices(ConfigurationBuilder& builder) {
  builder.AddPipeline("stock-question", Rank::kUrgent, 1000ms)
      .AddStage("query", StageKind::kCall, "hire-desk", "/stock", 10ms);
  builder.AddPipeline("booking", Rank::kUrgent, 3000ms)
      .AddStage("book", StageKind::kCall, "hire-desk", "/book", 30ms)
      .AtMostOnce();
  builder.AddPipeline("deposit", Rank::kUrgent, 3000ms)
      .AddStage("charge", StageKind::kCall, "billing", "/charge", 50ms)
      .AtMostOnce();
  builder.AddPipeline("track", Rank::kOrdinary, 2000ms)
      .AddStage("query", StageKind::kCall, "fleet-track", "/position", 15ms);
}

ConfigurationBuilder Declare() {
  ConfigurationBuilder builder("shannonside");
  builder.Describe(
      "Shannonside Clamp Hire Consortium: partner depots that hire out clamps "
      "and\n"
      "vices while the customer waits on the phone.");
  builder.AddZone("limerick").AddZone("ennis").AddZone("tralee");
  DeclareRanks(builder);
  DeclarePools(builder);
  DeclareDrafting(builder);
  DeclareServices(builder);
  for (const char* team : {"limerick-depot", "ennis-depot", "tralee-depot",
                           "shannon-fabricators", "clare-builders"})
    builder.AddTeam(team);
  return builder;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string_view> arguments(argv + 1, argv + argc);
  const auto outcome =
      bilberry::declare::RunBuilderProgram("shannonside", Declare(), arguments);
  std::cout << outcome.output;
  std::cerr << outcome.errors;
  return outcome.exit_code;
}
