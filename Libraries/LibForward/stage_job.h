#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibForward/cell.h"
#include "LibForward/forward_configuration.h"

namespace bilberry::forward {

// The result of one piece, kept by the endpoint that made it.
struct StageResult {
  base::SocketAddress maker;
  std::string handle;

  friend auto operator<=>(const StageResult&, const StageResult&) = default;
};

// Whether any stage of the request has run yet.
enum class RequestProgress { kNew, kUnderWay };

// Of one stage of one request; who asks for more is refused.
inline constexpr uint32_t kMaxPieces = 10'000;

// All pieces of one stage of one request. Times are what is left, so that a
// job may be sent to another host.
struct StageJob {
  std::string request_id;
  base::PipelineName pipeline;  // The kind of request.
  base::PoolName pool;
  Cell cell;           // Whose endpoints make it.
  uint32_t stage = 0;  // Its index in the pipeline.
  uint32_t piece_count = 0;
  // What the pieces read: the request's key, or results of other stages.
  std::variant<std::string, std::vector<StageResult>> input;
  uint64_t result_bytes = 0;  // Of one piece, about.
  Urgency urgency = Urgency::kMost;
  base::Duration until_target{};
  base::Duration until_deadline{};
  // Until the first of its inputs is dropped by the endpoint that made it.
  std::optional<base::Duration> until_inputs_gone;
  // What the request needs after this stage, at the least.
  base::Duration time_after{};
  // Where the results will be read, and those that they are made from are;
  // empty when it makes no difference.
  base::ZoneName reader_zone;
  // What crosses zones for one piece that is made elsewhere, about.
  uint64_t cross_zone_bytes = 0;
  RequestProgress progress = RequestProgress::kNew;
};

struct JobResults {
  std::vector<StageResult> results;
};

enum class JobFailureKind {
  kTooLate,     // It can't make its deadline, given what waits before it.
  kNoEndpoint,  // The pool has none.
  kInputGone,   // A result that it reads has been dropped.
  kFailed,      // Endpoints failed it.
  kHostLost,    // The host that was asked has gone.
};

std::string_view ToText(JobFailureKind kind);

struct JobFailure {
  JobFailureKind kind = JobFailureKind::kFailed;
  // When there may be room.
  base::Duration retry_after{};
};

using JobOutcome = std::variant<JobResults, JobFailure>;

// A job's number at the host that works on it.
enum class JobId : uint64_t {};
// One call to an endpoint that makes pieces.
enum class StageCallId : uint64_t {};

// One piece, as it is asked for in a call.
struct PieceRequest {
  std::string request_id;
  uint32_t stage = 0;
  uint32_t piece = 0;
  base::Duration left{};
  std::variant<std::string, std::vector<StageResult>> input;
};

// A decision: call this endpoint with these pieces now.
struct StageCall {
  StageCallId id{};
  base::EndpointName endpoint;
  base::Incarnation incarnation{};  // Of the endpoint.
  base::SocketAddress address;
  std::vector<PieceRequest> pieces;
  base::Duration timeout{};
  // What the decision went by, for the log.
  uint32_t room_percent = 0;    // In use at the endpoint, with this call.
  uint32_t usable_percent = 0;  // Of its room.
  uint32_t waiting_pieces = 0;  // Left for other calls.
};

// Why an endpoint made no result of a piece.
enum class PieceRefusal { kLate, kInputGone, kNoRoom, kError };

// The handle, or why there is none.
using PieceOutcome = std::variant<std::string, PieceRefusal>;

enum class StageCallFailure {
  kNotRun,       // The endpoint says so.
  kUnreachable,  // No connection was made; it surely got nothing.
  kBroken,       // The pieces may have been worked on.
  kMalformed,    // The same, and what came is no answer to this call.
};

std::string_view ToText(StageCallFailure failure);

// One outcome for each piece, in the order of the call.
using StageCallOutcome =
    std::variant<std::vector<PieceOutcome>, StageCallFailure>;

// Results of one endpoint that nobody will read.
struct FreeRequest {
  base::PoolName pool;
  base::EndpointName endpoint;
  base::Incarnation incarnation{};  // Of the endpoint.
  base::SocketAddress address;
  std::vector<std::string> handles;
};

}  // namespace bilberry::forward
