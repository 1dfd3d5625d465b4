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

// Blocking client for the platform and the entry hosts.
class OperatorClient {
 public:
  static base::Result<std::unique_ptr<OperatorClient>> Create();

  transport::PlatformClient::Outcome Ask(const base::SocketAddress& platform,
                                         base::PlatformRequest request);

  // Calls all hosts in parallel and waits for all; the results are in the order
  // of `hosts`.
  std::vector<base::Result<Json::Value>> CallAll(
      const std::vector<base::SocketAddress>& hosts,
      const std::string& method,
      const std::string& operator_token);

  // Fetches a page from all hosts in parallel and waits for all; the outcomes
  // are in the order of `hosts`.
  std::vector<transport::HttpOutcome> FetchAll(
      const std::vector<base::SocketAddress>& hosts,
      const std::string& path);

 private:
  OperatorClient() = default;

  transport::Reactor reactor_;
  std::unique_ptr<transport::HttpClient> http_;
};

// The text and the parsed form of a valid configuration file.
struct ValidConfiguration {
  std::string document;
  declare::Configuration configuration;
};

// Prints the file's faults and returns the exit code if the file is invalid.
std::variant<ValidConfiguration, ExitCode> ReadValidConfiguration(
    const std::string& path,
    Console& console);

// The flag's address; prints an error and returns nullopt if it is invalid.
std::optional<base::SocketAddress> AddressOf(const std::string& flag,
                                             const std::string& text,
                                             Console& console);

}  // namespace bilberry::operators
