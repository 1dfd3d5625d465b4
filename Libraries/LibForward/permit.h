#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibForward/cold_endpoints.h"
#include "LibForward/endpoint_limits.h"

// Permits to send one request to an endpoint that has named a limit for all
// hosts together. One host, the keeper of the limit, grants them.
namespace bilberry::forward {

// A question of this host for a permit.
enum class PermitRequestId : uint64_t {};

struct PermitRequest {
  base::EndpointName endpoint;
  base::Incarnation incarnation{};
  base::ZoneName zone;  // The endpoint's; who keeps its limit goes by it.
  base::Duration longest_wait{};
  LimitReport limit;  // As the asking host knows it.
  std::optional<ColdReport> cold = std::nullopt;  // The same.
};

// The request may be sent, once so much time has passed.
struct PermitGranted {
  base::Duration begins_in{};
};
// All that can be granted within the longest wait is; the next permit begins
// then.
struct PermitRefused {
  base::Duration next_in{};
};
// As far as the host that was asked knows, another one keeps the limit.
struct NotLimitOwner {};

using PermitDecision =
    std::variant<PermitGranted, PermitRefused, NotLimitOwner>;

struct PermitAnswer {
  PermitDecision verdict;
  std::optional<LimitReport> limit;  // As the keeper knows it.
};

// A permit lasts for so long from when it begins, by the clock of the host that
// asked, counted from its question.
inline constexpr std::chrono::milliseconds kPermitLifetime{500};
// How long a question waits for its answer.
inline constexpr std::chrono::milliseconds kPermitTimeout{350};

}  // namespace bilberry::forward
