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
  builder.SetRank(Rank::kUrgent, {50, 99.5});
  builder.SetRank(Rank::kOrdinary, {20, 99.0});
  builder.SetRank(Rank::kBackground, {5, 95.0});
}

void DeclarePools(ConfigurationBuilder& builder) {
  constexpr uint32_t kSlots = 8;
  builder.AddPool("lucignolo", PoolKind::kEngine, 9, kSlots);
  builder.AddPool("banco", PoolKind::kService, 3, kSlots);
  builder.AddPool("magazzino", PoolKind::kService, 3, kSlots).ReportsLoad();
  builder.AddPool("fatture", PoolKind::kService, 5, kSlots).ReportsLoad();
  builder.AddPool("calendario", PoolKind::kService, 5, kSlots).ReportsLoad();
}

void DeclareDrafting(ConfigurationBuilder& builder) {
  builder.AddPipeline("quotation", Rank::kOrdinary, 3000ms)
      .AddStage("encode", StageKind::kEncode, "lucignolo", "/encode", 20ms)
      .AddStage("retrieve", StageKind::kRetrieve, "banco", "/retrieve", 20ms)
      .AddStage("rerank", StageKind::kRerank, "lucignolo", "/rerank", 20ms)
      .AddStage("generate", StageKind::kGenerate, "lucignolo", "/generate",
                400ms)
      .Streamed();
  builder.AddPipeline("inventory-summary", Rank::kBackground, 10000ms)
      .AddStage("retrieve", StageKind::kRetrieve, "magazzino", "/retrieve",
                20ms)
      .AddStage("generate", StageKind::kGenerate, "lucignolo", "/generate",
                800ms)
      .Streamed();
  builder.AddPipeline("booking-chat", Rank::kUrgent, 3000ms)
      .AddStage("encode", StageKind::kEncode, "lucignolo", "/encode", 20ms)
      .AddStage("retrieve", StageKind::kRetrieve, "banco", "/retrieve", 20ms)
      .AddStage("generate", StageKind::kGenerate, "lucignolo", "/generate",
                400ms)
      .Streamed();
}

void DeclareServices(ConfigurationBuilder& builder) {
  builder.AddPipeline("booking", Rank::kUrgent, 3000ms)
      .AddStage("book", StageKind::kCall, "banco", "/book", 30ms)
      .AtMostOnce();
  builder.AddPipeline("stock", Rank::kUrgent, 1000ms)
      .AddStage("query", StageKind::kCall, "banco", "/stock", 10ms);
  builder.AddPipeline("dispatch", Rank::kOrdinary, 3000ms)
      .AddStage("plan", StageKind::kCall, "magazzino", "/plan", 30ms);
  builder.AddPipeline("invoice", Rank::kOrdinary, 3000ms)
      .AddStage("issue", StageKind::kCall, "fatture", "/issue", 30ms)
      .AtMostOnce();
  builder.AddPipeline("events", Rank::kOrdinary, 2000ms)
      .AddStage("query", StageKind::kCall, "calendario", "/events", 15ms);
}

ConfigurationBuilder Declare() {
  ConfigurationBuilder builder("valbruna");
  builder.Describe(
      "Lanterne Valbruna S.r.l.: candle lanterns for weddings, festivals and "
      "village\n"
      "processions.");
  builder.AddZone("zona-a").AddZone("zona-b").AddZone("zona-c");
  DeclareRanks(builder);
  DeclarePools(builder);
  DeclareDrafting(builder);
  DeclareServices(builder);
  for (const char* team :
       {"hotel-dolomiti", "grand-eventi", "parrocchia-san-floriano",
        "pro-loco-paluzza", "malga-nuova"})
    builder.AddTeam(team);
  return builder;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string_view> arguments(argv + 1, argv + argc);
  const auto outcome =
      bilberry::declare::RunBuilderProgram("valbruna", Declare(), arguments);
  std::cout << outcome.output;
  std::cerr << outcome.errors;
  return outcome.exit_code;
}
