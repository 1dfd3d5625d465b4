#include "platform_fixture.h"

#include <fcntl.h>

#include <algorithm>
#include <utility>

#include "Standins/free_address.h"
#include "platform/wire_names.h"

namespace bilberry::platform {

namespace {

// Log lines of the hosts under test are discarded.
int NullDescriptor() {
  static const int descriptor = open("/dev/null", O_WRONLY | O_CLOEXEC);
  return descriptor;
}

}  // namespace

PlatformFixture::PlatformFixture(size_t hosts) {
  for (size_t i = 0; i < hosts; ++i)
    AddHost("entry-" + std::to_string(i + 1));
  WaitUntilReady();
}

void PlatformFixture::AddHost(const std::string& name) {
  AddHost(name, store.address());
}

void PlatformFixture::AddHost(const std::string& name,
                              const base::SocketAddress& store_at) {
  transport::ForwardShellOptions options;
  options.settings.host.value = name;
  options.settings.zone.value = "z1";
  options.settings.callers = standins::FreeAddress(reactor);
  options.settings.readiness = standins::FreeAddress(reactor);
  options.settings.peers = standins::FreeAddress(reactor);
  options.settings.store = store_at;
  options.incarnation = base::Incarnation{++last_boot_};
  options.seed = last_boot_;
  options.log_descriptor = NullDescriptor();
  settings.push_back(options.settings);
  adapters.push_back(std::make_unique<PlatformAdapter>(options.settings.store));
  shells.push_back(transport::Unwrap(
      transport::ForwardShell::Create(reactor, *adapters.back(), options)));
}

void PlatformFixture::WaitUntilReady() {
  REQUIRE(RunUntil([this] {
    return std::ranges::all_of(shells,
                               [](const auto& it) { return it->is_ready(); });
  }));
}

void PlatformFixture::RunFor(std::chrono::milliseconds time) {
  const base::TimePoint end = reactor.Now() + time;
  while (reactor.Now() < end)
    reactor.RunOnce(std::chrono::milliseconds(5));
}

transport::HttpRequest PlatformFixture::Request(const std::string& method,
                                                const std::string& target,
                                                size_t host) {
  transport::HttpRequest request;
  request.forwarded_method = method;
  request.address = settings[host].callers;
  request.path = target;
  request.connection = node::ConnectionUse::kFresh;
  request.headers = {
      {"Host", "shop.example"},
      {wire::kRequestId, "req-" + std::to_string(++last_request_)},
      {wire::kRemainingTime, "2000"},
      {wire::kApiKey, std::string(wire::kApiKeyScheme) + "key-1"}};
  return request;
}

transport::HttpRequest PlatformFixture::StreamRequest(const std::string& target,
                                                      size_t host) {
  transport::HttpRequest request = Request("POST", target, host);
  request.headers.push_back({wire::kPrefix, "aa:100,bb:50"});
  request.headers.push_back({wire::kTokenCounts, "200,20"});
  request.headers.push_back({wire::kPieceCounts, "2,3"});
  request.headers.push_back({wire::kPieceKey, "5eed"});
  request.body = "prompt";
  return request;
}

transport::HttpOutcome PlatformFixture::Ask(transport::HttpRequest request) {
  std::optional<transport::HttpOutcome> outcome;
  http->Send(std::move(request), [&outcome](transport::HttpOutcome it) {
    outcome = std::move(it);
  });
  REQUIRE(RunUntil([&] { return outcome.has_value(); }));
  return std::move(*outcome);
}

transport::HttpResponse PlatformFixture::Answer(
    transport::HttpRequest request) {
  auto outcome = Ask(std::move(request));
  REQUIRE(std::holds_alternative<transport::HttpResponse>(outcome));
  return std::get<transport::HttpResponse>(std::move(outcome));
}

size_t PlatformFixture::DeskArrivals() const {
  return desk.arrivals().size() + other_desk.arrivals().size();
}

}  // namespace bilberry::platform
