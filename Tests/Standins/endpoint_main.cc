// A pool of endpoint stand-ins as one process.

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

namespace {

using bilberry::base::HostEntry;
using bilberry::standins::EndpointModel;
using bilberry::standins::EndpointStandin;
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

using Standins = std::vector<std::unique_ptr<EndpointStandin>>;

EndpointModel ModelOf(const cxxopts::ParseResult& flags) {
  EndpointModel model;
  model.slots = flags["slots"].as<uint32_t>();
  model.service = std::chrono::milliseconds(flags["service-ms"].as<int>());
  model.tokens = flags["tokens"].as<uint32_t>();
  model.between_tokens = std::chrono::milliseconds(flags["token-ms"].as<int>());
  model.reports_load = flags["reports-load"].as<bool>();
  return model;
}

// Endpoint I of the pool listens at SUBNET.I and is in the Ith zone, in turn.
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
  for (const auto& standin : standins)
    hosts.append(bilberry::transport::EncodeHost(standin->entry()));
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

EndpointStandin* Find(const Standins& standins, const std::string& name) {
  for (const auto& standin : standins) {
    if (standin->entry().name == name)
      return standin.get();
  }
  return nullptr;
}

HttpResponse Counts(const Standins& standins) {
  Json::Value answer;
  answer["executions"] = Json::objectValue;
  answer["executions_by_key"] = Json::objectValue;
  for (const auto& standin : standins) {
    answer["executions"][standin->entry().name] =
        static_cast<Json::UInt64>(standin->executions());
    for (const auto& [key, count] : standin->executions_by_key()) {
      Json::Value& sum = answer["executions_by_key"][key];
      sum = static_cast<Json::UInt64>(sum.asUInt64() + count);
    }
  }
  return {200, {}, bilberry::transport::PrintCompact(answer)};
}

// POST /faults/NAME, POST /leave/NAME, GET /counts.
HttpResponse Control(const Standins& standins, const IncomingRequest& request) {
  if (request.path == "/counts")
    return Counts(standins);
  const size_t slash = request.path.find('/', 1);
  if (slash == std::string::npos)
    return {404, {}, ""};
  const std::string order = request.path.substr(0, slash);
  EndpointStandin* standin = Find(standins, request.path.substr(slash + 1));
  if (standin == nullptr)
    return {404, {}, ""};
  if (order == "/leave") {
    standin->Leave();
    return {200, {}, ""};
  }
  const auto fault = bilberry::standins::ParseFault(request.body);
  if (order != "/faults" || !fault)
    return {400, {}, ""};
  standin->OrderFault(fault.value());
  return {200, {}, ""};
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
    auto standin = EndpointStandin::Create(reactor, timers, EntryOf(flags, i),
                                           ModelOf(flags));
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
  while (!bilberry::transport::StopWasOrdered())
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
  add("subnet", "First three numbers of the addresses",
      cxxopts::value<std::string>());
  add("port", "Port", cxxopts::value<uint16_t>()->default_value("9000"));
  add("zones", "Zones, in turn", cxxopts::value<std::vector<std::string>>());
  add("slots", "Requests at once",
      cxxopts::value<uint32_t>()->default_value("4"));
  add("service-ms", "Time of a request",
      cxxopts::value<int>()->default_value("5"));
  add("tokens", "Tokens of a streamed answer",
      cxxopts::value<uint32_t>()->default_value("8"));
  add("token-ms", "Time between tokens",
      cxxopts::value<int>()->default_value("2"));
  add("reports-load", "Tell the load with each answer",
      cxxopts::value<bool>()->default_value("false"));
  add("platform-ip", "Where the platform's stand-in is",
      cxxopts::value<std::string>());
  add("platform-control-port", "Its port of orders",
      cxxopts::value<uint16_t>()->default_value("7001"));
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  return bilberry::transport::RunProgram(argc, argv, MakeOptions(), Run);
}
