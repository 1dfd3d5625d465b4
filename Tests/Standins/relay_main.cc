// Runs relays between zones in one process; control requests inject faults into
// the links.

#include <array>
#include <cxxopts.hpp>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibTransport/http_listener.h"
#include "LibTransport/program.h"
#include "Standins/relay.h"

namespace {

using bilberry::base::ParseSocketAddress;
using bilberry::standins::LinkState;
using bilberry::standins::Relay;
using bilberry::transport::FindHeader;
using bilberry::transport::HttpListener;
using bilberry::transport::HttpResponse;
using bilberry::transport::IncomingRequest;

constexpr std::chrono::milliseconds kLongestWait{100};

constexpr std::array kStates{
    std::pair{LinkState::kHealthy, "sound"},
    std::pair{LinkState::kSilent, "silent"},
    std::pair{LinkState::kDropsOldConnections, "forgets-old"},
    std::pair{LinkState::kOneWayOut, "one-way-out"},
    std::pair{LinkState::kOneWayBack, "one-way-back"},
    std::pair{LinkState::kRefusing, "refusing"},
    std::pair{LinkState::kSlow, "slow"},
    std::pair{LinkState::kDuplicating, "doubling"},
};

struct Link {
  std::string from;
  std::string to;
  std::unique_ptr<Relay> relay;
};

using Links = std::vector<Link>;

// "FROM>TO=LISTEN=TARGET", both ends IP:PORT.
std::optional<Link> MakeLink(bilberry::transport::Reactor& reactor,
                             const std::string& text) {
  const size_t arrow = text.find('>');
  const size_t first = text.find('=');
  const size_t second = text.find('=', first + 1);
  if (arrow == std::string::npos || second == std::string::npos ||
      arrow > first)
    return std::nullopt;
  const auto listen =
      ParseSocketAddress(text.substr(first + 1, second - first - 1));
  const auto target = ParseSocketAddress(text.substr(second + 1));
  if (!listen || !target)
    return std::nullopt;
  auto relay = Relay::Create(reactor, *listen, *target);
  if (!relay)
    return std::nullopt;
  return Link{text.substr(0, arrow), text.substr(arrow + 1, first - arrow - 1),
              std::move(relay.value())};
}

std::optional<LinkState> StateOf(const std::string& name) {
  for (const auto& [state, text] : kStates) {
    if (name == text)
      return state;
  }
  return std::nullopt;
}

std::string ArgumentOf(const IncomingRequest& request, const char* name) {
  const std::string* value = FindHeader(request.arguments, name);
  return value == nullptr ? "" : *value;
}

// Sets the state of all links from or to `zone`, or only of those that also
// touch `other`.
int Order(const Links& links, const IncomingRequest& request) {
  const auto state = StateOf(ArgumentOf(request, "state"));
  const std::string zone = ArgumentOf(request, "zone");
  const std::string other = ArgumentOf(request, "other");
  if (!state || zone.empty())
    return 400;
  for (const Link& link : links) {
    const bool touches = link.from == zone || link.to == zone;
    const bool touches_other =
        other.empty() || link.from == other || link.to == other;
    if (touches && touches_other)
      link.relay->Order(*state);
  }
  return 200;
}

int Run(const cxxopts::ParseResult& flags) {
  bilberry::transport::Reactor reactor;
  Links links;
  for (const auto& text : flags["link"].as<std::vector<std::string>>()) {
    auto link = MakeLink(reactor, text);
    if (!link) {
      std::cerr << "relaystandin: can't create the link " << text << "\n";
      return bilberry::transport::kExitUsage;
    }
    links.push_back(std::move(*link));
  }
  std::unique_ptr<HttpListener> control;
  auto created = HttpListener::Create(
      reactor,
      {{flags["ip"].as<std::string>(), flags["control-port"].as<uint16_t>()}},
      [&](const IncomingRequest& it) {
        control->Respond(it.exchange, HttpResponse{Order(links, it), {}, ""});
      });
  if (!created) {
    std::cerr << "relaystandin: " << ToText(created.error()) << "\n";
    return 3;
  }
  control = std::move(created.value());
  while (!bilberry::transport::IsStopRequested())
    reactor.RunOnce(kLongestWait);
  return 0;
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("relaystandin",
                           "Relays between zones with injectable faults: POST "
                           "/order?zone=Z&state=S[&other=Z].");
  options.add_options()("ip", "Address of the control port",
                        cxxopts::value<std::string>())(
      "control-port", "Control port",
      cxxopts::value<uint16_t>()->default_value("7002"))(
      "link", "FROM>TO=IP:PORT=IP:PORT: zones, where to listen, the target",
      cxxopts::value<std::vector<std::string>>());
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  return bilberry::transport::RunProgram(argc, argv, MakeOptions(), Run);
}
