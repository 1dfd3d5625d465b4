#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibBase/ids.h"
#include "LibForward/endpoint_conditions.h"
#include "LibForward/forward_action.h"
#include "LibForward/peer_host.h"

namespace bilberry::forward {

// Formats a duration for log records, in whole milliseconds.
inline std::string ToMilliseconds(base::Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

struct ForwardOptions {
  PeerHost own;
  base::Incarnation incarnation{};
  uint64_t seed = 0;
  // Upper bound of the time that a shutdown takes.
  std::chrono::milliseconds stop_timeout{7000};
  // The number of retries of a pool that all hosts together may make in a burst
  // of failures, in addition to a fraction of the pool's requests. Empty if
  // unknown.
  std::optional<uint32_t> retry_allowance;
  // Bounds the rate at which all hosts together send requests to a cold
  // endpoint.
  ColdRateBound cold_bound;
  // Pools whose endpoints have fewer slots are not placed by an owner: under
  // load, requests wait for such slots, which the owner would take for slowness
  // and move sessions without need.
  uint32_t min_placement_slots = 20;
  // Whether stage jobs are sent to the dispatchers of other hosts. If not, this
  // host makes all calls for its own requests, as a baseline for comparison.
  bool shares_calls = true;
};

// Options, endpoint state and pending actions shared by the components of one
// entry host.
class ForwardContext {
 public:
  explicit ForwardContext(ForwardOptions options)
      : options_(std::move(options)) {
    conditions_.reach = ReachMonitor(options_.seed + 7);
  }

  const ForwardOptions& options() const { return options_; }

  EndpointConditions& conditions() { return conditions_; }
  const EndpointConditions& conditions() const { return conditions_; }

  void Emit(Action action) { actions_.push_back(std::move(action)); }
  void Log(base::LogEventId id,
           std::string request_id,
           std::vector<LogField> fields = {}) {
    Emit(WriteLog{id, std::move(request_id), std::move(fields)});
  }
  // `source` names the source of the information.
  void LogLeaving(const base::EndpointName& endpoint,
                  base::Incarnation incarnation,
                  std::string_view source) {
    Log(base::LogEventId::kEndpointLeaving, "",
        {{"endpoint", endpoint.value},
         {"incarnation", std::to_string(static_cast<uint64_t>(incarnation))},
         {"told_by", std::string(source)}});
  }
  void LogBackoff(const base::EndpointName& endpoint,
                  base::Duration lasts,
                  std::string_view source) {
    Log(base::LogEventId::kEndpointQuiet, "",
        {{"endpoint", endpoint.value},
         {"for_ms", ToMilliseconds(lasts)},
         {"told_by", std::string(source)}});
  }
  void LogLimit(const base::EndpointName& endpoint,
                base::Incarnation incarnation,
                const RequestLimit& limit,
                std::string_view source) {
    Log(base::LogEventId::kEndpointLimit, "",
        {{"endpoint", endpoint.value},
         {"incarnation", std::to_string(static_cast<uint64_t>(incarnation))},
         {"per_second", ToText(limit)},
         {"told_by", std::string(source)}});
  }
  // The endpoint's entry or an answer says that the endpoint stays cold for
  // `left`. Logged only when the endpoint becomes cold.
  void NoteCold(const ListedEndpoint& endpoint,
                base::Duration left,
                base::TimePoint now) {
    if (!conditions_.cold_endpoints.Note(endpoint, left, now))
      return;
    const auto rate =
        conditions_.cold_endpoints.RateOf(endpoint.name, endpoint.incarnation);
    Log(base::LogEventId::kEndpointCold, "",
        {{"endpoint", endpoint.name.value},
         {"incarnation",
          std::to_string(static_cast<uint64_t>(endpoint.incarnation))},
         {"for_ms", ToMilliseconds(left)},
         {"per_second", ToText(RequestLimit{rate})}});
  }
  Actions TakeActions() { return std::exchange(actions_, {}); }

 private:
  ForwardOptions options_;
  EndpointConditions conditions_;
  Actions actions_;
};

}  // namespace bilberry::forward
