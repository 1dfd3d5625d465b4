#include "experiment_run.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "LibTransport/json_text.h"

namespace bilberry::load {

namespace {

using transport::HttpOutcome;
using transport::HttpRequest;
using transport::HttpResponse;

constexpr std::chrono::milliseconds kLongestWait{20};
// Timeout of a request.
constexpr std::chrono::milliseconds kTimeout{15'000};
constexpr std::chrono::milliseconds kFetchTimeout{5'000};
constexpr double kPercent = 100.0;

// The deadlines of the pipelines in Examples/valbruna.
base::Duration DeadlineOf(const std::string& pipeline) {
  if (pipeline == "stock")
    return std::chrono::milliseconds(1000);
  if (pipeline == "events")
    return std::chrono::milliseconds(2000);
  return std::chrono::milliseconds(3000);
}

std::string BodyOf(const Flow& flow, uint64_t number) {
  // A retrying caller sends the same body each time.
  if (flow.period)
    return "{" + flow.extra + "}";
  const std::string members = flow.extra.empty() ? "" : "," + flow.extra;
  return "{\"request\":" + std::to_string(number) + members + "}";
}

bool IsWhole(const HttpResponse& response) {
  if (response.status != 200)
    return false;
  const std::string* type =
      FindHeader(response.headers, transport::kContentTypeHeader);
  if (type == nullptr || *type != transport::kEventStreamType)
    return true;
  return response.body.find("event: end\n") != std::string::npos;
}

bool WasRefused(const HttpResponse& response) {
  const std::string* executed =
      FindHeader(response.headers, transport::kExecutedHeader);
  return executed != nullptr && *executed == "no";
}

void Count(Tally& tally,
           const HttpResponse* response,
           base::Duration latency,
           base::Duration deadline) {
  ++tally.sent;
  if (response != nullptr && IsWhole(*response)) {
    ++(latency <= deadline ? tally.in_time : tally.late);
    tally.latency.Record(latency);
  } else if (response != nullptr && WasRefused(*response)) {
    ++tally.refused;
  } else {
    ++tally.failed;
  }
}

}  // namespace

double Tally::Attainment() const {
  if (sent == 0)
    return kPercent;
  return kPercent * static_cast<double>(in_time) / static_cast<double>(sent);
}

ExperimentRun::ExperimentRun(transport::Reactor& reactor,
                             transport::HttpClient& http,
                             const Experiment& experiment,
                             ExperimentSite site)
    : reactor_(reactor),
      http_(http),
      experiment_(experiment),
      site_(std::move(site)) {}

ExperimentResult ExperimentRun::Run(base::Duration length, uint64_t seed) {
  arrivals_ = ScheduleOf(experiment_, length, seed);
  was_in_time_.assign(arrivals_.size(), false);
  const base::TimePoint began = reactor_.Now();
  while (reactor_.Now() - began < length || open_ > 0) {
    const base::Duration elapsed = reactor_.Now() - began;
    SendOrders(elapsed, length);
    SendDue(elapsed);
    base::Duration wait = kLongestWait;
    if (next_arrival_ < arrivals_.size())
      wait = std::min(wait, arrivals_[next_arrival_].time - elapsed);
    reactor_.RunOnce(
        std::max(std::chrono::milliseconds(0),
                 std::chrono::duration_cast<std::chrono::milliseconds>(wait)));
  }
  result_.elapsed = length;
  FetchCounts();
  return std::move(result_);
}

void ExperimentRun::SendDue(base::Duration elapsed) {
  while (next_arrival_ < arrivals_.size() &&
         arrivals_[next_arrival_].time <= elapsed) {
    Send(arrivals_[next_arrival_], next_arrival_);
    ++next_arrival_;
  }
}

void ExperimentRun::SendOrders(base::Duration elapsed, base::Duration length) {
  while (next_order_ < experiment_.orders.size()) {
    const Order& order = experiment_.orders[next_order_];
    const double passed = static_cast<double>(elapsed.count()) /
                          static_cast<double>(length.count());
    if (passed < order.at)
      return;
    HttpRequest request;
    request.method = transport::HttpMethod::kPost;
    request.address = site_.pools.at(order.pool);
    request.path = order.path;
    request.body = order.body;
    request.timeout = kFetchTimeout;
    ++open_;
    http_.Send(std::move(request), [this](const HttpOutcome&) { --open_; });
    ++next_order_;
  }
}

void ExperimentRun::Send(const Arrival& arrival, uint64_t number) {
  const Flow& flow = experiment_.flows[arrival.flow];
  HttpRequest request;
  request.method = transport::HttpMethod::kPost;
  request.address = site_.hosts[number % site_.hosts.size()];
  request.path = "/v1/pipelines/" + flow.pipeline;
  request.headers = {{transport::kTeamHeader, flow.team},
                     {transport::kIdempotencyKeyHeader,
                      experiment_.name + "-" + std::to_string(number)}};
  if (!flow.rank.empty())
    request.headers.push_back({transport::kRankHeader, flow.rank});
  request.body = BodyOf(flow, number);
  request.timeout = kTimeout;
  ++open_;
  http_.Send(std::move(request), [this, &flow, number, began = reactor_.Now()](
                                     const HttpOutcome& outcome) {
    --open_;
    Note(flow, number, reactor_.Now() - began, outcome);
  });
}

void ExperimentRun::Note(const Flow& flow,
                         uint64_t number,
                         base::Duration latency,
                         const HttpOutcome& outcome) {
  const auto* response = std::get_if<HttpResponse>(&outcome);
  const base::Duration deadline = DeadlineOf(flow.pipeline);
  for (Tally* tally :
       {&result_.all, &result_.labels[flow.label], &result_.teams[flow.team]})
    Count(*tally, response, latency, deadline);
  was_in_time_[number] =
      response != nullptr && IsWhole(*response) && latency <= deadline;
}

std::string ExperimentRun::Fetch(const base::SocketAddress& address,
                                 std::string path) {
  HttpRequest request;
  request.address = address;
  request.path = std::move(path);
  request.timeout = kFetchTimeout;
  std::optional<HttpOutcome> outcome;
  http_.Send(std::move(request),
             [&outcome](HttpOutcome it) { outcome = std::move(it); });
  while (!outcome)
    reactor_.RunOnce(kLongestWait);
  const auto* response = std::get_if<HttpResponse>(&*outcome);
  return response == nullptr ? std::string() : response->body;
}

void ExperimentRun::FetchCounts() {
  for (const auto& [pool, address] : site_.pools) {
    AddCounts(pool, Fetch(address, "/counts"));
    AddWork(Fetch(address, "/work"));
  }
}

void ExperimentRun::AddCounts(const std::string& pool,
                              const std::string& text) {
  const auto counts = transport::ParseJsonValue(text);
  if (!counts)
    return;
  for (const Json::Value& count : (*counts)["executions"])
    result_.executions[pool] += count.asUInt64();
  for (const Json::Value& count : (*counts)["deaths"])
    result_.deaths += count.asUInt64();
  for (const Json::Value& count : (*counts)["executions_by_key"])
    result_.doubled += count.asUInt64() > 1 ? 1 : 0;
}

void ExperimentRun::AddWork(const std::string& text) {
  const auto work = transport::ParseJsonValue(text);
  if (!work)
    return;
  for (const std::string& name : work->getMemberNames()) {
    const base::Duration time((*work)[name].asInt64());
    const size_t number = std::stoul(name);
    result_.work += time;
    if (number < was_in_time_.size() && !was_in_time_[number])
      result_.wasted_work += time;
  }
}

}  // namespace bilberry::load
