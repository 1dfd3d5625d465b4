#include "Standins/small_platform.h"

#include <utility>

#include "platform/wire_names.h"

namespace bilberry::standins {

namespace {

namespace wire = platform::wire;

constexpr uint64_t kFirstRevision = 7;

base::Result<std::unique_ptr<PieceEndpointStandin>> MakeEndpoint(
    transport::Reactor& reactor,
    const std::string& ip,
    const std::string& name,
    bool needs_inputs) {
  PieceEndpointModel model;
  model.name.value = name;
  model.needs_inputs = needs_inputs;
  return PieceEndpointStandin::Create(reactor, {ip, 0}, std::move(model));
}

}  // namespace

std::string SmallConfiguration(uint64_t revision, size_t more_routes) {
  std::string more;
  for (size_t i = 1; i <= more_routes; ++i) {
    const std::string name = "more-" + std::to_string(i);
    more.append(R"({"name":")").append(name);
    more.append(R"(","host":"shop.example","pathPrefix":"/)").append(name);
    more.append(
        R"(/","kind":"idempotent","timeoutMs":2000,"targetLatencyMs":300,)"
        R"("priority":1,"service":"desk","maxAttempts":2,"stages":[]},)");
  }
  return R"({"version":)" + std::to_string(revision) + R"(,
    "routes":[)" +
         more + R"(
      {"name":"read","host":"shop.example","pathPrefix":"/read/",
       "kind":"idempotent","timeoutMs":2000,"targetLatencyMs":300,
       "priority":1,"service":"desk","maxAttempts":2,"stages":[]},
      {"name":"book","host":"shop.example","pathPrefix":"/book/",
       "kind":"non_idempotent","timeoutMs":2000,"targetLatencyMs":300,
       "priority":1,"service":"desk","maxAttempts":1},
      {"name":"open","host":"shop.example","pathPrefix":"/open/",
       "kind":"idempotent","timeoutMs":2000,"targetLatencyMs":300,
       "priority":1,"service":"desk","maxAttempts":1,"allowAnonymous":true},
      {"name":"draft","host":"shop.example","pathPrefix":"/draft/",
       "kind":"streaming","timeoutMs":5000,"targetLatencyMs":1000,
       "priority":0,"service":"llm","maxAttempts":1,"sticky":true,
       "stages":[{"service":"maker","after":[],"bytes":8000},
                 {"service":"maker","after":[0],"bytes":6000}]},
      {"name":"resume","host":"shop.example","pathPrefix":"/resume/",
       "kind":"streaming","timeoutMs":5000,"targetLatencyMs":1000,
       "priority":2,"service":"llm","maxAttempts":2,"sticky":true,
       "resumable":true,
       "stages":[{"service":"maker","after":[],"bytes":8000}]}],
    "services":[
      {"name":"desk","healthPath":"/health"},
      {"name":"llm","healthPath":"/health","engine":{"slots":64}},
      {"name":"maker","healthPath":"/health","pieces":{"slots":1,"queue":2,"batch":8,"callMs":20,
       "itemMs":1,"roomMb":10,"handleS":4}}],
    "limits":{"maxHeaderBytes":8192,"maxBodyBytes":65536,
              "headerTimeoutMs":3000,"idleTimeoutMs":15000},
    "tenants":[{"name":"sposi","apiKeys":["key-1","key-2"]}]})";
}

base::Result<std::unique_ptr<SmallPlatform>> SmallPlatform::Create(
    transport::Reactor& reactor,
    const base::SocketAddress& store_address) {
  auto platform = std::make_unique<SmallPlatform>();
  const std::string& ip = store_address.ip;
  TRY(store, RowStoreStandin::Create(reactor, store_address));
  platform->store = std::move(store);
  TRY(desk, MakeEndpoint(reactor, ip, "desk-1", false));
  platform->desk = std::move(desk);
  TRY(other_desk, MakeEndpoint(reactor, ip, "desk-2", false));
  platform->other_desk = std::move(other_desk);
  TRY(engine, MakeEndpoint(reactor, ip, "llm-1", true));
  platform->engine = std::move(engine);
  TRY(other_engine, MakeEndpoint(reactor, ip, "llm-2", true));
  platform->other_engine = std::move(other_engine);
  TRY(maker, MakeEndpoint(reactor, ip, "maker-1", false));
  platform->maker = std::move(maker);
  platform->store->Put(wire::kConfigurationTable, wire::kConfigurationKey,
                       SmallConfiguration(kFirstRevision));
  platform->Add(*platform->desk, "desk");
  platform->Add(*platform->other_desk, "desk");
  platform->Add(*platform->engine, "llm");
  platform->Add(*platform->other_engine, "llm");
  platform->Add(*platform->maker, "maker");
  return platform;
}

void SmallPlatform::Add(PieceEndpointStandin& endpoint,
                        const std::string& pool) {
  List(endpoint, pool);
  endpoint.SetOnRestart(
      [this, &endpoint, pool](const base::EndpointName& earlier) {
        store->Remove(wire::kEndpointTable, earlier.value);
        List(endpoint, pool);
      });
}

void SmallPlatform::List(const PieceEndpointStandin& endpoint,
                         const std::string& pool,
                         const std::string& state) {
  store->Put(wire::kEndpointTable, endpoint.model().name.value,
             R"({"service":")" + pool + R"(","address":")" +
                 base::ToText(endpoint.address()) +
                 R"(","zone":"z1","state":")" + state + R"(","seq":1})");
}

}  // namespace bilberry::standins
