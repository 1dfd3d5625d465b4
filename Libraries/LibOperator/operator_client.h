#pragma once

#include <json/value.h>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "LibBase/error.h"
#include "LibBase/platform.h"
#include "LibDeclare/configuration.h"
#include "LibOperator/console.h"
#include "LibTransport/http_client.h"
#include "LibTransport/platform_client.h"
#include "LibTransport/reactor.h"

namespace bilberry::operators {

// The network as a command uses it: each question is waited for.
class OperatorClient {
 public:
  static base::Result<std::unique_ptr<OperatorClient>> Create();

  transport::PlatformClient::Outcome Ask(const base::SocketAddress& platform,
                                         base::PlatformRequest request);

  // Asks all hosts at once; the results are in the hosts' order.
  std::vector<base::Result<Json::Value>> CallAll(
      const std::vector<base::SocketAddress>& hosts,
      const std::string& method,
      const std::string& operator_token);

 private:
  OperatorClient() = default;

  transport::Reactor reactor_;
  std::unique_ptr<transport::HttpClient> http_;
};

// A file that holds a configuration without faults.
struct ValidConfiguration {
  std::string document;
  declare::Configuration configuration;
};

// Or what to end with, after the file's faults have been printed.
std::variant<ValidConfiguration, ExitCode> ReadValidConfiguration(
    const std::string& path,
    Console& console);

// The flag's address, or nothing after a complaint has been printed.
std::optional<base::SocketAddress> AddressOf(const std::string& flag,
                                             const std::string& text,
                                             Console& console);

}  // namespace bilberry::operators
