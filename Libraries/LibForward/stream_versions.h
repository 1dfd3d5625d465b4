#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibBase/time.h"
#include "LibForward/forward_configuration.h"
#include "LibForward/forward_context.h"
#include "LibForward/stream_row.h"

namespace bilberry::forward {

// The endpoint at which a stream began.
struct StreamOrigin {
  base::PoolName pool;
  std::string software_version;
};
// What tells the origin of a stream.
enum class OriginEvidence {
  kRow,          // Its row in the store.
  kOnlyVersion,  // Its pool had one version all the time.
  kNone,         // Nothing: the origin is unknown.
};

std::string_view ToText(OriginEvidence evidence);

// Knows at which software version each resumable stream of this host began, and
// keeps it in the store while endpoints of several versions serve in a pool or
// did so lately. Callers may take a broken stream up at any host, also after
// all hosts were killed and the endpoints of its version have left.
class StreamVersions {
 public:
  explicit StreamVersions(ForwardContext& context) : context_(context) {}

  // The pools of streams that may be resumed.
  void SetConfiguration(const ForwardConfiguration& configuration);
  void SetEndpoints(std::span<const ListedEndpoint> endpoints,
                    base::TimePoint now);
  // The store may have lost what this host wrote.
  void WriteAgain();

  // The first event of the stream has been passed on.
  void NoteBegun(const std::string& stream,
                 StreamOrigin origin,
                 base::TimePoint now);
  // The stream is complete or too old to be taken up.
  void Forget(const std::string& stream);

  // Returns what this host knows by itself; empty if the store has to be asked.
  std::optional<StreamOrigin> Find(const std::string& stream) const;
  // Asks the store for the origin of a stream, which a request for this pool
  // takes up. TakeLookup() returns the outcome.
  void LookUp(const std::string& stream,
              const base::PoolName& pool,
              base::CallerId caller,
              base::TimePoint now);
  // The endpoints that are known hold all that the store listed at `as_of`.
  void NoteEndpointsKnown(base::TimePoint as_of, base::TimePoint now);

  struct Lookup {
    base::CallerId caller{};
    std::string stream;
    std::optional<StreamOrigin> origin;
    OriginEvidence evidence = OriginEvidence::kNone;
  };
  std::optional<Lookup> TakeLookup();

  void Handle(const StreamRowsRead& event, base::TimePoint now);
  void Handle(const StreamRowsWritten& event);
  void Handle(const StreamRowsFailed& event, base::TimePoint now);
  void HandleTimer(base::TimePoint now);
  std::optional<base::TimePoint> NextWakeup() const;

 private:
  // When a version was last listed; empty if it is listed now.
  using VersionTimes = std::map<std::string, std::optional<base::TimePoint>>;
  struct Stream {
    StreamOrigin origin;
    bool is_written = false;
  };
  struct PendingLookup {
    std::string stream;
    base::PoolName pool;
    base::CallerId caller{};
    base::TimePoint began;
    // Endpoints as of this time tell which versions the pool has.
    base::TimePoint endpoints_needed_as_of;
  };

  bool HasSeveralVersions(const base::PoolName& pool) const;
  bool IsMixed(const base::PoolName& pool) const;
  void NoteVersionsChanged(const base::PoolName& pool);
  void ForgetOldVersions(base::TimePoint now);
  void ForgetOldStreams(base::TimePoint now);
  // The store has no row of the stream, or doesn't tell.
  void EndWithoutRow(PendingLookup lookup, base::TimePoint now);
  // Whether it is known which versions the pool had while the stream may have
  // begun.
  bool KnowsVersions(const PendingLookup& lookup) const;
  void EndUnconfirmedLookups(base::TimePoint now);
  void ReadPools();
  void ApplyPools(const std::vector<StreamRow>& rows, base::TimePoint now);
  void Flush(base::TimePoint now);
  void Write(WriteStreamRows rows);
  // When rows are to be written or removed; empty if none are.
  std::optional<base::TimePoint> FlushDue() const;

  ForwardContext& context_;
  std::set<base::PoolName> resumable_pools_;
  std::map<base::PoolName, VersionTimes> versions_;
  // The versions that the pools' rows hold, as far as known.
  std::map<base::PoolName, std::vector<std::string>> written_versions_;
  bool knows_pools_ = false;
  std::optional<base::TimePoint> read_pools_at_ = base::TimePoint();
  std::map<std::string, Stream> streams_;  // By the caller's attempt.
  std::deque<std::pair<base::TimePoint, std::string>> begun_at_;
  std::set<std::string> unwritten_;
  std::set<std::string> unremoved_;
  std::set<base::PoolName> unwritten_pools_;
  std::optional<StreamCallId> pools_call_;
  std::map<StreamCallId, WriteStreamRows> writes_;
  std::map<StreamCallId, PendingLookup> lookups_;
  // Lookups that wait for newer endpoints, the oldest first.
  std::deque<PendingLookup> unconfirmed_lookups_;
  base::TimePoint endpoints_known_as_of_;
  std::deque<Lookup> ended_lookups_;
  base::TimePoint next_flush_;
  base::TimePoint next_removal_;
  uint64_t last_call_ = 0;
};

}  // namespace bilberry::forward
