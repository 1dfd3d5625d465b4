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

// The result of one piece, held by the endpoint that produced it.
struct StageResult {
  base::SocketAddress producer;
  std::string handle;

  friend auto operator<=>(const StageResult&, const StageResult&) = default;
};

// Whether any stage of the request has run already.
enum class RequestProgress { kNew, kUnderWay };

// Maximum number of pieces of one stage of a request; requests with more are
// refused.
inline constexpr uint32_t kMaxPieces = 10'000;

// All pieces of one stage of one request. Times are relative, so that a job can
// be sent to another host.
struct StageJob {
  std::string request_id;
  std::string digest;           // Of the request's content.
  base::PipelineName pipeline;  // The kind of request.
  base::PoolName pool;
  Cell cell;           // Endpoints of this cell produce the pieces.
  uint32_t stage = 0;  // Index in the pipeline.
  uint32_t piece_count = 0;
  // The input of the pieces: the request's key, or results of other stages.
  std::variant<std::string, std::vector<StageResult>> input;
  uint64_t result_bytes = 0;  // Estimate for one piece.
  Urgency urgency = Urgency::kMost;
  base::Duration until_target{};
  base::Duration until_deadline{};
  // Until the first of the inputs is dropped by the endpoint that holds it.
  std::optional<base::Duration> until_inputs_expire;
  // Minimum time that the request needs after this stage.
  base::Duration time_after{};
  // The zone in which the results are read and the inputs are held; empty if
  // the zone makes no difference.
  base::ZoneName reader_zone;
  // Estimated cross-zone traffic of one piece that is produced in another zone.
  uint64_t cross_zone_bytes = 0;
  RequestProgress progress = RequestProgress::kNew;
};

struct JobResults {
  std::vector<StageResult> results;
};

enum class JobFailureKind {
  kTooLate,     // The deadline can't be met with the jobs ahead in the queue.
  kNoEndpoint,  // The pool has no endpoints.
  kInputGone,   // An input has been dropped.
  kFailed,      // Endpoints failed, and no retries were left.
  kHostLost,    // The dispatching host was lost.
};

std::string_view ToText(JobFailureKind kind);

struct JobFailure {
  JobFailureKind kind = JobFailureKind::kFailed;
  // When capacity is expected to be available.
  base::Duration retry_after{};
};

using JobOutcome = std::variant<JobResults, JobFailure>;

// Identifies a job on the host that dispatches it.
enum class JobId : uint64_t {};
// Identifies one call to an endpoint that produces pieces.
enum class StageCallId : uint64_t {};

// One piece within a call.
struct PieceRequest {
  std::string request_id;
  std::string digest;  // Of the request's content; not sent to the endpoint.
  uint32_t stage = 0;
  uint32_t piece = 0;
  base::Duration left{};
  std::variant<std::string, std::vector<StageResult>> input;
};

// A call of one endpoint with a batch of pieces, to be sent now.
struct StageCall {
  StageCallId id{};
  base::EndpointName endpoint;
  base::Incarnation incarnation{};  // Of the endpoint.
  base::SocketAddress address;
  std::vector<PieceRequest> pieces;
  base::Duration timeout{};
  // For the log: the parts of the endpoint's memory that are in use, including
  // this call, and that may be filled, and the pieces that still wait.
  uint32_t used_percent = 0;
  uint32_t usable_percent = 0;
  uint32_t waiting_pieces = 0;
};

// Why an endpoint produced no result for a piece.
enum class PieceRefusal { kLate, kInputGone, kNoMemory, kError };

// The handle of the result, or why there is none.
using PieceOutcome = std::variant<std::string, PieceRefusal>;

enum class StageCallFailure {
  kNotRun,       // The endpoint said so.
  kUnreachable,  // No connection was made; nothing was sent.
  kBroken,       // The pieces may have been worked on.
  kMalformed,    // As kBroken, with an answer that doesn't belong to this call.
};

std::string_view ToText(StageCallFailure failure);

// One outcome for each piece, in the order of the call.
using StageCallOutcome =
    std::variant<std::vector<PieceOutcome>, StageCallFailure>;

// Asks one endpoint to drop results that nobody will read.
struct FreeRequest {
  base::PoolName pool;
  base::EndpointName endpoint;
  base::Incarnation incarnation{};  // Of the endpoint.
  base::SocketAddress address;
  std::vector<std::string> handles;
};

}  // namespace bilberry::forward
