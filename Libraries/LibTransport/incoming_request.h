#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "LibTransport/http_message.h"
#include "LibTransport/memory_reservation.h"

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
  // Accounts for the body. Who keeps the body keeps this as long.
  std::shared_ptr<MemoryReservation> body_memory;
};

// Returns the request's body, which stays accounted for as long as it exists.
std::shared_ptr<const std::string> TakeSharedBody(IncomingRequest& request);

}  // namespace bilberry::transport
