#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "LibForward/forward_node.h"

namespace bilberry::forward {

using std::chrono::milliseconds;

// One entry host in virtual time that records its actions.
class NodeBench {
 public:
  explicit NodeBench(std::shared_ptr<const ForwardConfiguration> configuration =
                         MakeConfiguration(),
                     ForwardOptions options = Options(),
                     std::vector<FeedRow> endpoints = MakeEndpoints())
      : node(std::move(options)) {
    Feed(TimerDue{});
    Feed(TableListed{
        FeedKind::kConfiguration, {{"c", std::move(configuration)}}, false, 1});
    Feed(TableListed{FeedKind::kEndpoints, std::move(endpoints), false, 1});
  }

  static std::vector<FeedRow> MakeEndpoints() {
    return {{"e1", MakeEndpoint("e1", "llm")},
            {"e2", MakeEndpoint("e2", "llm")},
            {"m1", MakeEndpoint("m1", "maker")}};
  }

  static ForwardOptions Options() {
    ForwardOptions options;
    options.own = {{"own"}, {"10.0.0.1", 1}, {"z"}, 1, 0};
    options.incarnation = base::Incarnation{1};
    return options;
  }

  static std::shared_ptr<const ForwardConfiguration> MakeConfiguration() {
    ForwardConfiguration configuration;
    configuration.revision = 1;
    ForwardedPipeline pipeline;
    pipeline.name.value = "draft";
    pipeline.host = "h";
    pipeline.path_prefix = "/d/";
    pipeline.delivery = declare::Delivery::kStreamed;
    pipeline.timeout = milliseconds(3000);
    pipeline.target_latency = milliseconds(1000);
    pipeline.final_pools = {{{"llm"}, 1}};
    pipeline.stages = {{{"maker"}, {}, 1000}};
    configuration.pipelines.push_back(pipeline);
    ForwardedPool maker;
    maker.name.value = "maker";
    maker.pieces = PieceLimits{1,
                               8,
                               milliseconds(100),
                               milliseconds(10),
                               1'000'000,
                               milliseconds(4000)};
    ForwardedPool engines;
    engines.name.value = "llm";
    engines.slots = 64;
    configuration.pools = {engines, maker};
    for (ForwardedPool& pool : configuration.pools)
      pool.health_path = "/health";
    return std::make_shared<const ForwardConfiguration>(configuration);
  }

  static ListedEndpoint MakeEndpoint(const std::string& name,
                                     const std::string& pool) {
    return {{name}, {pool}, {"z"}, {"10.0.1." + name.substr(1), 80}};
  }

  static ForwardedRequest Request(uint64_t caller) {
    ForwardedRequest request;
    request.caller = base::CallerId{caller};
    request.request_id = "r" + std::to_string(caller);
    request.host = "h";
    request.path = "/d/x";
    request.budget = milliseconds(6000);
    request.piece_counts = {2};
    request.piece_key = "k";
    return request;
  }

  void Feed(Event event) {
    for (Action& action : node.Handle(std::move(event), now))
      actions.push_back(std::move(action));
  }

  // Advances the time and fires the timers that are due meanwhile.
  void PassTo(base::TimePoint time) {
    for (auto next = node.NextWakeup(); next && *next <= time;
         next = node.NextWakeup()) {
      now = std::max(now, *next);
      Feed(TimerDue{});
    }
    now = time;
    Feed(TimerDue{});
  }

  // The last action of type T; null if there was none.
  template <typename T>
  const T* Last() const {
    for (auto it = actions.rbegin(); it != actions.rend(); ++it) {
      if (const auto* found = std::get_if<T>(&*it))
        return found;
    }
    return nullptr;
  }

  // Adds a peer that is large enough to become the dispatcher of all pools.
  void AddPeer() {
    Feed(TableListed{
        FeedKind::kHosts,
        {{"peer", PeerHost{{"peer"}, {"10.0.0.2", 1}, {"z"}, 1000, 0}}},
        false,
        1});
  }

  // Answers the last health check.
  void EndHealthCheck(HealthCheckResult result) {
    const auto* check = Last<CheckEndpointHealth>();
    REQUIRE(check != nullptr);
    Feed(EndpointHealthChecked{check->endpoint.name,
                               check->endpoint.incarnation, result});
  }

  void EndStage(const StageCall& call) {
    std::vector<PieceOutcome> pieces;
    for (size_t i = 0; i < call.pieces.size(); ++i)
      pieces.emplace_back("h" + std::to_string(handles++));
    Feed(StageCallEnded{call.id, pieces});
  }

  ForwardNode node;
  base::TimePoint now{milliseconds(1)};
  std::vector<Action> actions;
  int handles = 0;
};

inline AnswerHead GoodHead(const std::string& request) {
  AnswerHead head;
  head.status = 200;
  head.echoed_request_id = request;
  head.is_sealed = true;
  return head;
}

}  // namespace bilberry::forward
