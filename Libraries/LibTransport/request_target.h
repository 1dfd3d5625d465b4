#pragma once

#include <string>
#include <string_view>

#include "LibTransport/http_message.h"

namespace bilberry::transport {

struct RequestTarget {
  std::string path;
  HttpHeaders arguments;  // Parameters of the query, in order.
};

// Splits a request target into its path and its query, and decodes what is
// percent-encoded in them.
RequestTarget ParseTarget(std::string_view target);

}  // namespace bilberry::transport
