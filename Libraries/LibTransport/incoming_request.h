#pragma once

#include <cstdint>
#include <string>

#include "LibTransport/http_message.h"

namespace bilberry::transport {

enum class ExchangeId : uint64_t {};

struct IncomingRequest {
  ExchangeId exchange{};
  std::string method;
  std::string path;
  std::string target;  // Path and query as received.
  HttpHeaders headers;
  HttpHeaders arguments;  // Parameters of the URL's query.
  std::string body;
};

}  // namespace bilberry::transport
