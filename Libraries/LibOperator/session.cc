#include "session.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

#include "LibTransport/peer_client.h"

namespace bilberry::ctl {

namespace {

constexpr std::chrono::milliseconds kLongestWait{100};
constexpr std::chrono::milliseconds kTimeout{3000};

}  // namespace

base::Result<std::unique_ptr<Session>> Session::Create() {
  std::unique_ptr<Session> session(new Session);
  TRY(http, transport::HttpClient::Create(session->reactor_));
  session->http_ = std::move(http);
  return session;
}

transport::PlatformClient::Outcome Session::Ask(
    const base::SocketAddress& platform,
    base::PlatformRequest request) {
  transport::PlatformClient client(*http_, platform);
  std::optional<transport::PlatformClient::Outcome> outcome;
  client.Send(std::move(request), kTimeout,
              [&outcome](transport::PlatformClient::Outcome it) {
                outcome = std::move(it);
              });
  while (!outcome)
    reactor_.RunOnce(kLongestWait);
  return std::move(*outcome);
}

base::Result<Json::Value> Session::Call(const base::SocketAddress& host,
                                        const std::string& method,
                                        const std::string& operator_token) {
  transport::PeerClient client(*http_);
  std::optional<base::Result<Json::Value>> result;
  client.Call(host, method, Json::objectValue, operator_token, kTimeout,
              [&result](base::Result<Json::Value> it) {
                result.emplace(std::move(it));
              });
  while (!result)
    reactor_.RunOnce(kLongestWait);
  return std::move(*result);
}

base::Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    return base::Error{base::ErrorCode::kNotFound, base::Step::kConfiguration,
                       "", path + " can't be read"};
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::optional<std::string> ReadSoundConfiguration(const std::string& path) {
  auto text = ReadFile(path);
  if (!text) {
    std::cerr << "bilberryctl: " << ToText(text.error()) << "\n";
    return std::nullopt;
  }
  const auto parsed = declare::ParseConfiguration(text.value());
  for (const declare::Fault& fault : parsed.faults)
    std::cerr << ToText(path, fault) << "\n";
  if (!parsed.faults.empty())
    return std::nullopt;
  return std::move(text.value());
}

std::optional<base::SocketAddress> AddressOf(const std::string& flag,
                                             const std::string& text) {
  auto address = base::ParseSocketAddress(text);
  if (!address)
    std::cerr << "bilberryctl: --" << flag << " must be IP:PORT, not \"" << text
              << "\"\n";
  return address;
}

}  // namespace bilberry::ctl
