#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "LibSoak/invariant.h"
#include "LibSoak/observation.h"

namespace bilberry::soak {

// What the soak's endpoints answer with.
struct AnswerShape {
  size_t padding = 20'000;  // Bytes behind the line that names the request.
  uint32_t events = 8;      // Of a stream.
};

struct AnswerFault {
  Invariant invariant{};
  std::string detail;
};

// Compares an answer with the request that its caller sent.
std::optional<AnswerFault> CheckAnswer(const SentRequest& request,
                                       const ObservedAnswer& answer,
                                       const AnswerShape& shape);

}  // namespace bilberry::soak
