#pragma once

#include <chrono>
#include <memory>
#include <optional>

#include "LibBase/random.h"
#include "LibForward/carrier_chooser.h"
#include "LibForward/endpoint_chooser.h"
#include "LibForward/forward_context.h"
#include "LibForward/forwarded_run.h"
#include "LibForward/route_index.h"
#include "LibForward/run_placements.h"
#include "LibForward/stage_job_router.h"
#include "LibForward/stream_versions.h"

namespace bilberry::forward {

// Retry-After of a stopping host; the retry reaches another host.
inline constexpr std::chrono::milliseconds kStoppingRetry{50};
inline constexpr std::chrono::milliseconds kNoEndpointRetry{1000};

// Admission control: admits callers' requests or refuses them.
class AdmissionControl {
 public:
  // All arguments must outlive this object.
  AdmissionControl(ForwardContext& context,
                   const StageJobRouter& stages,
                   EndpointChooser& chooser,
                   const RunPlacements& placements,
                   const StreamVersions& streams,
                   const CarrierChooser& carriers,
                   base::Random& random)
      : context_(context),
        stage_job_router_(stages),
        chooser_(chooser),
        placements_(placements),
        stream_versions_(streams),
        carriers_(carriers),
        random_(random) {}

  void SetConfiguration(
      std::shared_ptr<const ForwardConfiguration> configuration);
  // From now on requests are refused as not executed.
  void StopAccepting() { is_accepting_ = false; }
  bool is_accepting() const { return is_accepting_; }

  // Returns empty if the request has been refused; the refusal has been sent
  // then.
  std::optional<ForwardedRun> Admit(ForwardedRequest request,
                                    base::TimePoint now);

 private:
  struct Refusal {
    LocalAnswerCode code = LocalAnswerCode::kBadRequest;
    std::optional<base::Duration> retry_after;
    // Logged; empty if they don't explain the refusal. `part` is a part of the
    // prompt.
    std::string digest;
    std::string part;
  };

  bool Authenticate(const ForwardedRequest& request, ForwardedRun& run);
  void FindOrigin(const ForwardedRequest& request, ForwardedRun& run) const;
  const base::PoolName& DrawFinalPool(const ForwardedPipeline& pipeline);
  // `run` holds what is known of the request's pipeline and team.
  void Refuse(const ForwardedRequest& request,
              const ForwardedRun& run,
              Refusal refusal);

  ForwardContext& context_;
  const StageJobRouter& stage_job_router_;
  EndpointChooser& chooser_;
  const RunPlacements& placements_;
  const StreamVersions& stream_versions_;
  const CarrierChooser& carriers_;
  base::Random& random_;
  std::shared_ptr<const ForwardConfiguration> configuration_;
  RouteIndex routes_;  // Of that configuration.
  bool is_accepting_ = true;
};

}  // namespace bilberry::forward
