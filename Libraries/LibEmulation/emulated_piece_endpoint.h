#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "LibBase/random.h"
#include "LibEmulation/emulation_report.h"
#include "LibEmulation/timeline.h"
#include "LibForward/forward_endpoint.h"
#include "LibForward/stage_job.h"

namespace bilberry::emulation {

// A result that an endpoint keeps until it is freed or its life is over.
struct StoredResult {
  uint64_t bytes = 0;
  base::TimePoint expires;
  base::Duration made_in{};  // Its share of the call that made it.
  bool was_read = false;
};

// A piece as the endpoint sees it.
struct PieceWork {
  double work_factor = 1;
  uint64_t result_bytes = 0;
  // Empty when one of its inputs is gone.
  std::optional<base::Duration> fetch_time;
};

// An endpoint that makes pieces in virtual time: one call after the other, and
// room for so many bytes of results.
class EmulatedPieceEndpoint {
 public:
  using Finished = std::function<void(forward::StageCallOutcome)>;
  // Looks at a piece when its call begins.
  using Inspect = std::function<PieceWork(const forward::PieceRequest&)>;

  EmulatedPieceEndpoint(Timeline& timeline,
                        forward::ListedEndpoint listed,
                        forward::PieceLimits limits,
                        PoolTally& tally,
                        uint64_t seed);

  const forward::ListedEndpoint& listed() const { return listed_; }

  void Take(forward::StageCall call, Inspect inspect, Finished finished);
  void Free(const std::vector<std::string>& handles);
  // Null when it isn't kept any more. Marks it as read.
  const StoredResult* Read(const std::string& handle);
  // Counts what was never read; at the end of a run.
  void CountUnread();

 private:
  struct Waiting {
    forward::StageCall call;
    Inspect inspect;
    Finished finished;
  };

  void BeginNext();
  void End(const Waiting& waiting, const std::vector<PieceWork>& works);
  void Drop(std::map<std::string, StoredResult>::iterator it);
  void DropExpired();
  // A factor around 1.
  double Spread();

  Timeline& timeline_;
  forward::ListedEndpoint listed_;
  forward::PieceLimits limits_;
  PoolTally& tally_;
  base::Random random_;
  std::deque<Waiting> waiting_;
  bool is_busy_ = false;
  std::map<std::string, StoredResult> kept_;
  uint64_t kept_bytes_ = 0;
  uint64_t last_handle_ = 0;
};

}  // namespace bilberry::emulation
