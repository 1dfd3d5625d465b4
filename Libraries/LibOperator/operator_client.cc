#include "LibOperator/operator_client.h"

#include <fstream>
#include <sstream>
#include <utility>

#include "LibDeclare/configuration_parser.h"
#include "LibTransport/peer_client.h"

namespace bilberry::operators {

namespace {

constexpr std::chrono::milliseconds kLongestWait{100};
constexpr std::chrono::milliseconds kTimeout{3000};

}  // namespace

base::Result<std::unique_ptr<OperatorClient>> OperatorClient::Create() {
  std::unique_ptr<OperatorClient> session(new OperatorClient);
  TRY(http, transport::HttpClient::Create(session->reactor_));
  session->http_ = std::move(http);
  return session;
}

transport::PlatformClient::Outcome OperatorClient::Ask(
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

std::vector<base::Result<Json::Value>> OperatorClient::CallAll(
    const std::vector<base::SocketAddress>& hosts,
    const std::string& method,
    const std::string& operator_token) {
  transport::PeerClient client(*http_);
  std::vector<std::optional<base::Result<Json::Value>>> results(hosts.size());
  size_t missing = hosts.size();
  for (size_t i = 0; i < hosts.size(); ++i) {
    client.Call(hosts[i], method, Json::objectValue, operator_token, kTimeout,
                [&results, &missing, i](base::Result<Json::Value> it) {
                  results[i].emplace(std::move(it));
                  --missing;
                });
  }
  while (missing > 0)
    reactor_.RunOnce(kLongestWait);
  std::vector<base::Result<Json::Value>> all;
  all.reserve(hosts.size());
  for (auto& result : results)
    all.push_back(std::move(*result));
  return all;
}

std::vector<transport::HttpOutcome> OperatorClient::FetchAll(
    const std::vector<base::SocketAddress>& hosts,
    const std::string& path) {
  std::vector<transport::HttpOutcome> outcomes(hosts.size());
  size_t missing = hosts.size();
  for (size_t i = 0; i < hosts.size(); ++i) {
    transport::HttpRequest request;
    request.address = hosts[i];
    request.path = path;
    request.timeout = kTimeout;
    http_->Send(std::move(request),
                [&outcomes, &missing, i](transport::HttpOutcome it) {
                  outcomes[i] = std::move(it);
                  --missing;
                });
  }
  while (missing > 0)
    reactor_.RunOnce(kLongestWait);
  return outcomes;
}

std::variant<ValidConfiguration, ExitCode> ReadValidConfiguration(
    const std::string& path,
    Console& console) {
  std::ifstream file(path);
  std::ostringstream text;
  // Opening a directory succeeds, but reading from it fails.
  if (!file || !(text << file.rdbuf()))
    return console.ReportError(
        ExitCode::kUnreadable,
        path + " can't be read, or is empty; name another file");
  auto parsed = declare::ParseConfiguration(text.str());
  for (const declare::Fault& fault : parsed.faults)
    console.err << ToText(path, fault) << "\n";
  if (!parsed.faults.empty())
    return ExitCode::kInvalidFile;
  return ValidConfiguration{text.str(), std::move(parsed.configuration)};
}

std::optional<base::SocketAddress> AddressOf(const std::string& flag,
                                             const std::string& text,
                                             Console& console) {
  auto address = base::ParseSocketAddress(text);
  if (!address)
    console.ReportError(ExitCode::kUsage,
                        "--" + flag + " must be IP:PORT, not \"" + text + "\"");
  return address;
}

}  // namespace bilberry::operators
