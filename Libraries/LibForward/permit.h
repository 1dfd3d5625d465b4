#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibForward/cold_endpoints.h"
#include "LibForward/endpoint_limits.h"

// Distributed rate limiting: a permit allows one request to an endpoint that
// has announced a rate limit for all hosts together. One host, the limit's
// owner, grants the endpoint's permits.
namespace bilberry::forward {

// Number of a permit request of this host.
enum class PermitRequestId : uint64_t {};

struct PermitRequest {
  base::EndpointName endpoint;
  base::Incarnation incarnation{};
  // The endpoint's zone, by which the limit's owner is chosen.
  base::ZoneName zone;
  base::Duration longest_wait{};
  LimitReport limit;  // As known to the requesting host.
  // As known to the requesting host.
  std::optional<ColdReport> cold = std::nullopt;
};

// The request may be sent once `begins_in` has passed.
struct PermitGranted {
  base::Duration begins_in{};
};
// No permit is left within the longest wait; the next one begins in `next_in`.
struct PermitRefused {
  base::Duration next_in{};
};
// According to the host list of the receiving host, another host owns the
// limit.
struct NotLimitOwner {};

using PermitDecision =
    std::variant<PermitGranted, PermitRefused, NotLimitOwner>;

struct PermitAnswer {
  PermitDecision decision;
  std::optional<LimitReport> limit;  // As known to the limit's owner.
};

// Validity of a permit from when it begins. The requesting host measures it by
// its own clock, counted from when it sent the permit request.
inline constexpr std::chrono::milliseconds kPermitLifetime{500};
// Timeout of a permit request.
inline constexpr std::chrono::milliseconds kPermitTimeout{350};

}  // namespace bilberry::forward
