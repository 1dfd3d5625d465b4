#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibForward/cold_times.h"
#include "LibForward/endpoint_limits.h"

// Permits to send one request to an endpoint that has named a limit for all
// hosts together. One host, the keeper of the limit, grants them.
namespace bilberry::forward {

// A question of this host for a permit.
enum class PermitAskId : uint64_t {};

struct PermitQuestion {
  base::EndpointName endpoint;
  base::Incarnation incarnation{};
  base::ZoneName zone;  // The endpoint's; who keeps its limit goes by it.
  base::Duration longest_wait{};
  LimitWord limit;                              // As the asking host knows it.
  std::optional<ColdWord> cold = std::nullopt;  // The same.
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
struct NotKeeper {};

using PermitVerdict = std::variant<PermitGranted, PermitRefused, NotKeeper>;

struct PermitAnswer {
  PermitVerdict verdict;
  std::optional<LimitWord> limit;  // As the keeper knows it.
};

// A permit lasts for so long from when it begins, by the clock of the host that
// asked, counted from its question.
inline constexpr std::chrono::milliseconds kPermitLasts{500};
// How long a question waits for its answer.
inline constexpr std::chrono::milliseconds kPermitTimeout{350};

}  // namespace bilberry::forward
