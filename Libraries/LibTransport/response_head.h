#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "LibTransport/http_message.h"

namespace bilberry::transport {

// How the body of a response ends.
enum class BodyFraming {
  kNone,    // There is no body.
  kLength,  // After a number of bytes.
  kChunks,
  kClose,  // With the connection.
};

struct ResponseHead {
  int status = 200;
  const HttpHeaders& headers;
  BodyFraming framing = BodyFraming::kNone;
  size_t body_bytes = 0;
  bool closes_connection = false;
};

// Prints the status line and the headers of a response (RFC 9112). Headers that
// can't be part of a head are left out.
std::string PrintHead(const ResponseHead& head,
                      std::chrono::system_clock::time_point now);

// Whether responses with this status never have a body.
bool IsBodyless(int status);

}  // namespace bilberry::transport
