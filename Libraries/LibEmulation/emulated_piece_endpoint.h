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

// A result that an endpoint stores until the result is freed or expires.
struct StoredResult {
  uint64_t bytes = 0;
  base::TimePoint expires;
  // Its share of the time of the call that computed it.
  base::Duration compute_time{};
  bool was_read = false;
};

// The cost of a piece at its endpoint.
struct PieceWork {
  double work_factor = 1;
  uint64_t result_bytes = 0;
  // Empty when one of the piece's inputs no longer exists.
  std::optional<base::Duration> fetch_time;
};

// Simulates an endpoint that computes pieces in virtual time: it runs one call
// at a time and stores results up to a limit of bytes.
class EmulatedPieceEndpoint {
 public:
  using Finished = std::function<void(forward::StageCallOutcome)>;
  // Returns a piece's cost; runs when the piece's call begins.
  using Inspect = std::function<PieceWork(const forward::PieceRequest&)>;

  EmulatedPieceEndpoint(Timeline& timeline,
                        forward::ListedEndpoint listed,
                        forward::PieceLimits limits,
                        PoolTally& tally,
                        uint64_t seed);

  const forward::ListedEndpoint& listed() const { return listed_; }

  void Submit(forward::StageCall call, Inspect inspect, Finished finished);
  // Ends the process: breaks all calls and loses all results.
  void Crash();
  void Free(const std::vector<std::string>& handles);
  // Marks the result as read. Null when it is no longer stored.
  const StoredResult* Read(const std::string& handle);
  // Counts the work on results that were never read; called at the end of a
  // run.
  void CountUnreadResults();

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
  // A random factor with a mean of 1.
  double Spread();

  Timeline& timeline_;
  forward::ListedEndpoint listed_;
  forward::PieceLimits limits_;
  PoolTally& tally_;
  base::Random random_;
  std::deque<Waiting> waiting_;
  std::optional<Finished> running_;  // Of the call in progress.
  uint64_t crash_count_ = 0;
  std::map<std::string, StoredResult> results_;
  uint64_t stored_bytes_ = 0;
  uint64_t last_handle_ = 0;
};

}  // namespace bilberry::emulation
