#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>

#include "LibTransport/peer_client.h"
#include "LibTransport/report_codec.h"
#include "single_host_fixture.h"

namespace bilberry::transport {
namespace {

// One entry host with two pools of one endpoint each.
class SmallDeploymentFixture : public SingleHostFixture {
 public:
  SmallDeploymentFixture() {
    platform->store().PutHost(engine->entry());
    platform->store().PutHost(desk->entry());
    shell = StartHost();
  }

  HttpResponse Post(const std::string& path, HttpHeaders headers) {
    return SingleHostFixture::Post(path, std::move(headers), R"("asked")");
  }

  std::unique_ptr<standins::EndpointStandin> engine =
      MakeEndpoint("engine-1", "engines");
  std::unique_ptr<standins::EndpointStandin> desk =
      MakeEndpoint("desk-1", "desk");
  std::unique_ptr<NodeShell> shell;
};

TEST_SUITE_BEGIN("contract");

TEST_CASE("a streamed quotation passes four stages and ends with an event") {
  SmallDeploymentFixture fixture;
  const auto response =
      fixture.Post("/v1/pipelines/quotation", {{kTeamHeader, "t"}});
  CHECK(response.status == 200);
  CHECK(*FindHeader(response.headers, kContentTypeHeader) == kEventStreamType);
  CHECK(FindHeader(response.headers, kRequestIdHeader) != nullptr);
  CHECK(response.body.starts_with("data: token-0\n\n"));
  for (const char* path : {"/encode", "/retrieve", "/rerank", "/generate"})
    CHECK(response.body.find(path) != std::string::npos);
  CHECK(response.body.find("\"asked\"") != std::string::npos);
  CHECK(response.body.find("event: end\n") != std::string::npos);
}

TEST_CASE("a repeated booking runs once and gets the same answer") {
  SmallDeploymentFixture fixture;
  const HttpHeaders headers{{kTeamHeader, "t"}, {kIdempotencyKeyHeader, "k"}};
  const auto first = fixture.Post("/v1/pipelines/booking", headers);
  const auto second = fixture.Post("/v1/pipelines/booking", headers);
  CHECK(first.status == 200);
  CHECK(second.status == 200);
  CHECK(first.body == second.body);
  CHECK(fixture.desk->executions_by_key().at("k") == 1);
  CHECK(*FindHeader(second.headers, kExecutedHeader) == "yes");
}

TEST_CASE("errors are returned as JSON with headers") {
  SmallDeploymentFixture fixture;
  const auto response =
      fixture.Post("/v1/pipelines/none", {{kTeamHeader, "t"}});
  CHECK(response.status == 404);
  CHECK(*FindHeader(response.headers, kExecutedHeader) == "no");
  CHECK(response.body.find(R"("code":"unknown_pipeline")") !=
        std::string::npos);
}

TEST_CASE("a body over the limit is refused with 413 and runs nothing") {
  SmallDeploymentFixture fixture;
  HttpRequest request;
  request.method = HttpMethod::kPost;
  request.address = fixture.callers;
  request.path = "/v1/pipelines/stock";
  request.headers = {{kTeamHeader, "t"}};
  request.body = std::string(size_t{2} * 1024 * 1024, 'x');
  const auto response = fixture.Ask(std::move(request));
  CHECK(response.status == 413);
  CHECK(*FindHeader(response.headers, kExecutedHeader) == "no");
  CHECK(fixture.desk->executions() == 0);
}

TEST_CASE("malformed peer messages are refused and change nothing") {
  SmallDeploymentFixture fixture;
  for (const char* body :
       {"", "{", "[]", "null", R"({"jsonrpc":"1.0","id":1,"method":"digest"})",
        R"({"jsonrpc":"2.0","id":1,"method":"none","params":{}})",
        R"({"jsonrpc":"2.0","id":1,"method":"digest","params":{}})",
        R"({"jsonrpc":"2.0","id":1,"method":"digest",
            "params":{"v":99,"host":"h","incarnation":1,"revision":9}})",
        R"({"jsonrpc":"2.0","id":1,"method":"status","params":{}})"}) {
    CAPTURE(std::string(body));
    HttpRequest request;
    request.method = HttpMethod::kPost;
    request.address = fixture.peers;
    request.path = "/rpc";
    request.body = body;
    const auto response = fixture.Ask(std::move(request));
    CHECK(response.body.starts_with(R"({"error")"));
  }
  CHECK(fixture.Post("/v1/pipelines/stock", {{kTeamHeader, "t"}}).status ==
        200);
}

TEST_CASE("a graceful shutdown completes the run in flight") {
  SmallDeploymentFixture fixture;
  HttpRequest request;
  request.method = HttpMethod::kPost;
  request.address = fixture.callers;
  request.path = "/v1/pipelines/quotation";
  request.headers = {{kTeamHeader, "t"}};
  request.body = "{}";
  std::optional<HttpOutcome> outcome;
  bool has_begun = false;
  std::string stream;
  fixture.http->Send(
      std::move(request),
      [&outcome](HttpOutcome it) { outcome = std::move(it); },
      [&](const HttpResponse&, const std::string& bytes) {
        has_begun = true;
        stream += bytes;
      });
  while (!has_begun)
    fixture.reactor.RunOnce(kTurnTimeout);
  fixture.shell->RequestStop();
  const base::TimePoint end = fixture.reactor.Now() + kTestTimeout;
  while (!fixture.shell->has_finished() && fixture.reactor.Now() < end)
    fixture.reactor.RunOnce(kTurnTimeout);
  CHECK(fixture.shell->has_finished());
  while (!outcome && fixture.reactor.Now() < end)
    fixture.reactor.RunOnce(kTurnTimeout);
  REQUIRE(outcome);
  CHECK(std::holds_alternative<HttpResponse>(*outcome));
  CHECK(stream.find("event: end\n") != std::string::npos);
}

TEST_CASE("the report requires the operator token, metrics do not") {
  SmallDeploymentFixture fixture;
  CHECK(fixture.Post("/v1/pipelines/stock", {{kTeamHeader, "t"}}).status ==
        200);
  HttpRequest scrape;
  scrape.address = fixture.callers;
  scrape.path = "/metrics";
  const auto metrics = fixture.Ask(std::move(scrape));
  CHECK(metrics.status == 200);
  CHECK(metrics.body.find("pipeline=\"stock\",outcome=\"met\"} 1\n") !=
        std::string::npos);
  for (const bool has_token : {true, false}) {
    CAPTURE(has_token);
    PeerClient client(*fixture.http);
    std::optional<base::Result<Json::Value>> result;
    client.Call(fixture.peers, "report", Json::objectValue,
                has_token ? fixture.token : "wrong", kTestTimeout,
                [&result](base::Result<Json::Value> it) {
                  result.emplace(std::move(it));
                });
    while (!result)
      fixture.reactor.RunOnce(kTurnTimeout);
    REQUIRE(result->has_value() == has_token);
    if (!has_token)
      continue;
    const auto report = DecodeReport(result->value());
    REQUIRE(report);
    CHECK(report.value().ranks.begin()->second.level.total.met == 1);
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::transport
