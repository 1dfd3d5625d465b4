// Runs a pool of endpoint stand-ins in one process.

#include <charconv>
#include <cxxopts.hpp>
#include <iostream>
#include <memory>
#include <random>
#include <vector>

#include "LibTransport/http_client.h"
#include "LibTransport/json_text.h"
#include "LibTransport/platform_codec.h"
#include "LibTransport/program.h"
#include "Standins/endpoint_standin.h"
#include "Standins/relay.h"

namespace {

using bilberry::base::HostEntry;
using bilberry::standins::EndpointModel;
using bilberry::standins::EndpointStandin;
using bilberry::standins::LinkState;
using bilberry::standins::Relay;
using bilberry::transport::HttpClient;
using bilberry::transport::HttpListener;
using bilberry::transport::HttpOutcome;
using bilberry::transport::HttpRequest;
using bilberry::transport::HttpResponse;
using bilberry::transport::IncomingRequest;
using bilberry::transport::Reactor;
using bilberry::transport::TimerQueue;

constexpr std::chrono::milliseconds kLongestWait{100};
constexpr std::chrono::milliseconds kRegisterTimeout{5000};
constexpr int kMaxCount = 250;

constexpr const char* kEveryEndpoint = "all";

// An endpoint, and the relay in front of it if the pool has links.
struct LinkedEndpoint {
  std::unique_ptr<EndpointStandin> endpoint;
  std::unique_ptr<Relay> link;
};

using Standins = std::vector<LinkedEndpoint>;

EndpointModel ModelOf(const cxxopts::ParseResult& flags) {
  EndpointModel model;
  model.slots = flags["slots"].as<uint32_t>();
  model.service = std::chrono::milliseconds(flags["service-ms"].as<int>());
  model.tokens = flags["tokens"].as<uint32_t>();
  model.between_tokens = std::chrono::milliseconds(flags["token-ms"].as<int>());
  model.batch_percent = flags["model-batch-percent"].as<uint32_t>();
  model.per_kilobyte =
      std::chrono::microseconds(flags["model-kilobyte-us"].as<int>());
  model.resumes_streams = flags["model-resumes"].as<bool>();
  model.crash_mark = flags["model-crash-mark"].as<std::string>();
  model.restart_time =
      std::chrono::milliseconds(flags["model-restart-ms"].as<int>());
  model.reports_load = flags["reports-load"].as<bool>();
  return model;
}

// Endpoint I of the pool listens at SUBNET.I; zones are assigned round-robin.
HostEntry EntryOf(const cxxopts::ParseResult& flags, int index) {
  const auto zones = flags["zones"].as<std::vector<std::string>>();
  const std::string pool = flags["pool"].as<std::string>();
  HostEntry entry;
  entry.name = pool + "-" + std::to_string(index);
  entry.pool = {pool};
  entry.zone = {zones[static_cast<size_t>(index - 1) % zones.size()]};
  entry.address = {
      flags["subnet"].as<std::string>() + "." + std::to_string(index),
      flags["port"].as<uint16_t>()};
  entry.incarnation = bilberry::base::Incarnation{std::random_device()()};
  return entry;
}

void Register(Reactor& reactor,
              HttpClient& http,
              const Standins& standins,
              const cxxopts::ParseResult& flags) {
  Json::Value hosts(Json::arrayValue);
  for (const LinkedEndpoint& standin : standins) {
    HostEntry entry = standin.endpoint->entry();
    if (standin.link)
      entry.address = standin.link->address();
    hosts.append(bilberry::transport::EncodeHost(entry));
  }
  HttpRequest request;
  request.method = bilberry::transport::HttpMethod::kPost;
  request.address = {flags["platform-ip"].as<std::string>(),
                     flags["platform-control-port"].as<uint16_t>()};
  request.path = "/hosts";
  request.body = bilberry::transport::PrintCompact(hosts);
  request.timeout = kRegisterTimeout;
  bool is_done = false;
  http.Send(std::move(request), [&is_done](const HttpOutcome& outcome) {
    is_done = true;
    const auto* response = std::get_if<HttpResponse>(&outcome);
    if (response == nullptr || response->status != 200)
      std::cerr << "endpointstandin: the platform did not list the pool\n";
  });
  while (!is_done)
    reactor.RunOnce(kLongestWait);
}

Json::Value NumberOf(uint64_t number) {
  return static_cast<Json::UInt64>(number);
}

HttpResponse Counts(const Standins& standins) {
  Json::Value answer;
  answer["executions"] = Json::objectValue;
  answer["deaths"] = Json::objectValue;
  answer["executions_by_key"] = Json::objectValue;
  for (const LinkedEndpoint& standin : standins) {
    const EndpointStandin& endpoint = *standin.endpoint;
    const std::string& name = endpoint.entry().name;
    answer["executions"][name] = NumberOf(endpoint.executions());
    answer["deaths"][name] = NumberOf(endpoint.deaths());
    for (const auto& [key, count] : endpoint.executions_by_key()) {
      Json::Value& sum = answer["executions_by_key"][key];
      sum = NumberOf(sum.asUInt64() + count);
    }
  }
  return {200, {}, bilberry::transport::PrintCompact(answer)};
}

// Service time in microseconds by the load tool's request number.
HttpResponse Work(const Standins& standins) {
  Json::Value answer(Json::objectValue);
  for (const LinkedEndpoint& standin : standins) {
    for (const auto& [number, time] : standin.endpoint->work_by_request()) {
      Json::Value& sum = answer[std::to_string(number)];
      sum = NumberOf(sum.asUInt64() + static_cast<uint64_t>(time.count()));
    }
  }
  return {200, {}, bilberry::transport::PrintCompact(answer)};
}

bool DropLinks(const LinkedEndpoint& standin) {
  if (!standin.link)
    return false;
  standin.link->Order(LinkState::kDropsOldConnections);
  return true;
}

bool SetSlowdown(EndpointStandin& endpoint, const std::string& body) {
  uint32_t factor = 0;
  std::from_chars(body.data(), body.data() + body.size(), factor);
  if (factor == 0)
    return false;
  endpoint.SetSlowdown(factor);
  return true;
}

bool InjectFault(EndpointStandin& endpoint, const std::string& body) {
  const auto fault = bilberry::standins::ParseFault(body);
  if (!fault)
    return false;
  endpoint.InjectFault(fault.value());
  return true;
}

// Executes a control request; returns false if it is unknown or malformed.
bool HandleOrder(const LinkedEndpoint& standin,
                 const std::string& order,
                 const std::string& body) {
  EndpointStandin& endpoint = *standin.endpoint;
  if (order == "/leave")
    endpoint.Leave();
  else if (order == "/die")
    endpoint.Die();
  else if (order == "/revive")
    endpoint.Revive();
  else if (order == "/forget")
    return DropLinks(standin);
  else if (order == "/slow")
    return SetSlowdown(endpoint, body);
  else if (order == "/faults")
    return InjectFault(endpoint, body);
  else
    return false;
  return true;
}

// Control interface: POST /ORDER/NAME, where NAME is an endpoint's name or
// "all"; GET /counts; GET /work.
HttpResponse Control(const Standins& standins, const IncomingRequest& request) {
  if (request.path == "/counts")
    return Counts(standins);
  if (request.path == "/work")
    return Work(standins);
  const size_t slash = request.path.find('/', 1);
  if (slash == std::string::npos)
    return {404, {}, ""};
  const std::string order = request.path.substr(0, slash);
  const std::string name = request.path.substr(slash + 1);
  int status = 404;
  for (const LinkedEndpoint& standin : standins) {
    if (name == kEveryEndpoint || name == standin.endpoint->entry().name)
      status = HandleOrder(standin, order, request.body) ? 200 : 400;
  }
  return {status, {}, ""};
}

// With links, the listed address is the relay's, and the endpoint listens at
// the next higher port.
bilberry::base::Result<LinkedEndpoint> MakeEndpoint(
    Reactor& reactor,
    TimerQueue& timers,
    const cxxopts::ParseResult& flags,
    int index) {
  HostEntry entry = EntryOf(flags, index);
  const auto listed = entry.address;
  const bool has_link = flags["links"].as<bool>();
  if (has_link)
    ++entry.address.port;
  LinkedEndpoint linked;
  TRY(endpoint,
      EndpointStandin::Create(reactor, timers, entry, ModelOf(flags)));
  linked.endpoint = std::move(endpoint);
  if (has_link) {
    TRY(link, Relay::Create(reactor, listed, entry.address));
    linked.link = std::move(link);
  }
  return linked;
}

int Run(const cxxopts::ParseResult& flags) {
  Reactor reactor;
  TimerQueue timers(reactor);
  auto http = HttpClient::Create(reactor);
  Standins standins;
  const int count = flags["count"].as<int>();
  if (count < 1 || count > kMaxCount) {
    std::cerr << "endpointstandin: --count must be from 1 to 250\n";
    return bilberry::transport::kExitUsage;
  }
  for (int i = 1; i <= count; ++i) {
    auto standin = MakeEndpoint(reactor, timers, flags, i);
    if (!standin) {
      std::cerr << "endpointstandin: " << ToText(standin.error()) << "\n";
      return 3;
    }
    standins.push_back(std::move(standin.value()));
  }
  std::unique_ptr<HttpListener> control;
  auto listener = HttpListener::Create(
      reactor,
      {{flags["subnet"].as<std::string>() + ".254",
        flags["port"].as<uint16_t>()}},
      [&](const IncomingRequest& it) {
        control->Respond(it.exchange, Control(standins, it));
      });
  if (!listener) {
    std::cerr << "endpointstandin: " << ToText(listener.error()) << "\n";
    return 3;
  }
  control = std::move(listener.value());
  Register(reactor, *http.value(), standins, flags);
  while (!bilberry::transport::IsStopRequested())
    reactor.RunOnce(kLongestWait);
  return 0;
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("endpointstandin",
                           "Stands in for a pool of endpoints. Orders go to "
                           "SUBNET.254 at the same port.");
  auto add = options.add_options();
  add("pool", "Name of the pool", cxxopts::value<std::string>());
  add("count", "Endpoints", cxxopts::value<int>()->default_value("3"));
  add("subnet", "First three octets of the addresses",
      cxxopts::value<std::string>());
  add("port", "Port", cxxopts::value<uint16_t>()->default_value("9000"));
  add("zones", "Zones, assigned round-robin",
      cxxopts::value<std::vector<std::string>>());
  add("slots", "Number of concurrent requests",
      cxxopts::value<uint32_t>()->default_value("4"));
  add("service-ms", "Time of a request",
      cxxopts::value<int>()->default_value("5"));
  add("tokens", "Tokens of a streamed answer",
      cxxopts::value<uint32_t>()->default_value("8"));
  add("token-ms", "Time between tokens",
      cxxopts::value<int>()->default_value("2"));
  add("reports-load", "Report the load with each answer",
      cxxopts::value<bool>()->default_value("false"));
  add("model-batch-percent",
      "Additional time for each further request of a batch",
      cxxopts::value<uint32_t>()->default_value("0"));
  add("model-kilobyte-us", "Time for each KiB of the body",
      cxxopts::value<int>()->default_value("0"));
  add("model-resumes", "Resume streams in the middle",
      cxxopts::value<bool>()->default_value("true"));
  add("model-crash-mark", "Text of bodies that crash the endpoint",
      cxxopts::value<std::string>()->default_value(""));
  add("model-restart-ms", "Downtime after such a crash",
      cxxopts::value<int>()->default_value("3000"));
  add("links", "Put a relay with injectable faults in front of each endpoint",
      cxxopts::value<bool>()->default_value("false"));
  add("platform-ip", "Address of the platform's stand-in",
      cxxopts::value<std::string>());
  add("platform-control-port", "Its control port",
      cxxopts::value<uint16_t>()->default_value("7001"));
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  return bilberry::transport::RunProgram(argc, argv, MakeOptions(), Run);
}
