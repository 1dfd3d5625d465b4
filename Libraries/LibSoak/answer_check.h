#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "LibSoak/invariant.h"
#include "LibSoak/observation.h"

namespace bilberry::soak {

// The shape of the answers of the soak test's endpoints.
struct AnswerShape {
  size_t padding = 20'000;  // Bytes after the line that names the request.
  uint32_t events = 8;      // Number of events of a stream.
};

struct AnswerFault {
  Invariant invariant{};
  std::string detail;
};

// Checks an answer against the request that its caller sent; nullopt if no
// invariant is violated.
std::optional<AnswerFault> CheckAnswer(const SentRequest& request,
                                       const ObservedAnswer& answer,
                                       const AnswerShape& shape);

}  // namespace bilberry::soak
