#pragma once

#include <string>

#include "LibBase/http_header.h"
#include "LibBase/random.h"

namespace bilberry::standins {

// The bytes of one request, and what they mean.
struct SpelledRequest {
  std::string spelling;  // What is unusual about it.
  std::string bytes;
  // Whether RFC 9112 allows the spelling. If not, a server has to answer 400
  // and to close the connection.
  bool is_sound = true;
  std::string method;
  std::string target;
  base::HttpHeaders headers;  // As a reader has to understand them.
  std::string body;
};

// Spells a POST request, drawn from the grammar of RFC 9112 or from its near
// misses.
SpelledRequest DrawSpelledRequest(base::Random& random,
                                  std::string target,
                                  base::HttpHeaders headers,
                                  std::string body);

}  // namespace bilberry::standins
