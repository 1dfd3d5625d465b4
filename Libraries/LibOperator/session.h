#pragma once

#include <json/value.h>

#include <memory>
#include <optional>
#include <string>

#include "LibBase/error.h"
#include "LibBase/platform.h"
#include "LibDeclare/configuration_parser.h"
#include "LibTransport/http_client.h"
#include "LibTransport/platform_client.h"
#include "LibTransport/reactor.h"

namespace bilberry::ctl {

// The network as a command uses it: one question at a time, waited for.
class Session {
 public:
  static base::Result<std::unique_ptr<Session>> Create();

  transport::PlatformClient::Outcome Ask(const base::SocketAddress& platform,
                                         base::PlatformRequest request);

  base::Result<Json::Value> Call(const base::SocketAddress& host,
                                 const std::string& method,
                                 const std::string& operator_token);

 private:
  Session() = default;

  transport::Reactor reactor_;
  std::unique_ptr<transport::HttpClient> http_;
};

base::Result<std::string> ReadFile(const std::string& path);

// The file's document, or nothing after its faults have been printed.
std::optional<std::string> ReadSoundConfiguration(const std::string& path);

// The flag's address, or nothing after a complaint has been printed.
std::optional<base::SocketAddress> AddressOf(const std::string& flag,
                                             const std::string& text);

}  // namespace bilberry::ctl
