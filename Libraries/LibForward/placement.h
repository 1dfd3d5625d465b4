#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibForward/forwarded_request.h"

// Placement: for each final pool of each zone one host, the placement owner,
// decides which endpoint runs a request, since it knows the runs of all hosts.
// The placement is advice: the requesting host still checks the endpoint, and
// chooses by itself if it gets no answer in time.
namespace bilberry::forward {

// The endpoints of one final pool in one zone, which one host places.
struct PlacementDomain {
  base::PoolName pool;
  base::ZoneName zone;

  friend auto operator<=>(const PlacementDomain&,
                          const PlacementDomain&) = default;
};

// Number of a placement request of this host.
enum class PlacementRequestId : uint64_t {};

// Identifies a placed run among those of all hosts.
struct PlacedRunId {
  base::Incarnation host{};  // Of the host that holds the run.
  uint64_t number = 0;

  friend auto operator<=>(const PlacedRunId&, const PlacedRunId&) = default;
};

// What a placement owner knows of a run. Times are relative to the message.
struct PlacementRun {
  PlacedRunId id;
  std::vector<PrefixPart> prefix;  // The last part belongs to the run alone.
  uint64_t max_output_tokens = 0;
  base::Duration until_sent{};  // Expected; zero if its stages are done.
  base::Duration until_target{};
  base::Duration until_deadline{};  // The owner forgets the run by then.
  // Longest pause between events at which the answer is still on time.
  std::optional<base::Duration> max_pause;
};

struct PlacementRequest {
  PlacementDomain domain;
  PlacementRun run;
  // Endpoints at which the run was already attempted.
  std::vector<base::EndpointName> avoided;
};

struct Placed {
  base::EndpointName endpoint;
  base::Incarnation incarnation{};
  // Expected time from sending the request to its first event.
  base::Duration first_event{};
};
// The owner has no endpoint for the run.
struct NoPlacement {};
// According to the receiving host's list, another host is the owner.
struct NotPlacementOwner {};

using PlacementDecision = std::variant<Placed, NoPlacement, NotPlacementOwner>;

struct PlacementAnswer {
  PlacementDecision decision;
  // Expected time to the first event of the next average run of this domain.
  base::Duration wait{};
};

// The first event has arrived, this long after the request was sent.
struct RunBegun {
  base::Duration first_event{};
};
struct RunEnded {
  // Longest pause between events; empty if there were fewer than two.
  std::optional<base::Duration> longest_pause;
};
// The run was not sent to the endpoint at which it was placed, or was withdrawn
// from it.
struct RunMoved {};
// Tells a new owner of a run in flight.
struct RunHeld {
  PlacementRun run;
  base::EndpointName endpoint;
  bool has_begun = false;
};

using RunProgress = std::variant<RunBegun, RunEnded, RunMoved, RunHeld>;

struct RunReport {
  PlacedRunId id;
  RunProgress progress;
};

// What has become of runs of one domain, from the host that holds them.
struct PlacementReport {
  PlacementDomain domain;
  std::vector<RunReport> runs;
};

// An endpoint as its placement owner sees it, for operators.
struct EndpointPlacementStatus {
  PlacementDomain domain;
  base::EndpointName endpoint;
  uint32_t runs = 0;
  uint64_t tokens_to_prefill = 0;
  double pace = 1;  // Time that work takes, relative to the domain's mean.
  base::Duration first_event{};  // Expected for the next average run.
};

// Timeout of a placement request. A run whose stages are done by then waits no
// longer for its answer.
inline constexpr std::chrono::milliseconds kPlacementTimeout{100};

}  // namespace bilberry::forward
