#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"

namespace bilberry::policy {

// How long a request is refused after it crashed endpoints, and how long a
// crash is remembered.
inline constexpr std::chrono::minutes kQuarantinePeriod{60};
// How long a request is refused while another request is as suspect.
inline constexpr std::chrono::seconds kAmbiguousQuarantinePeriod{10};
// Disconnects of one endpoint within this time count as one crash.
inline constexpr std::chrono::seconds kCrashMergeWindow{2};
// Merge window for suspicions from peers, which arrive later and repeatedly.
inline constexpr std::chrono::seconds kPeerCrashMergeWindow{15};
// A crashed process does not answer again within this time.
inline constexpr std::chrono::milliseconds kMinRestartTime{1000};
// An answer this soon after a disconnect may have been sent before it.
inline constexpr std::chrono::milliseconds kLateAnswerWindow{50};
// How long a new suspicion or quarantine is gossiped.
inline constexpr std::chrono::seconds kGossipPeriod{10};
inline constexpr size_t kCrashesToQuarantine = 2;
inline constexpr size_t kCrashesToConfirm = 3;
inline constexpr size_t kMaxCrashes = 256;
inline constexpr size_t kMaxSuspectsPerCrash = 64;
inline constexpr size_t kMaxQuarantinedRequests = 1024;
inline constexpr size_t kMaxGossipedItems = 64;

// A request that was in flight at an endpoint when the endpoint crashed.
struct CrashSuspicion {
  std::string request;
  base::EndpointName endpoint;

  friend auto operator<=>(const CrashSuspicion&,
                          const CrashSuspicion&) = default;
};

// Poison request detection: refuses requests that crash the endpoints that run
// them. A request in flight at two crashes is refused. While another request
// was in flight at the same crashes, it is refused only for a short time, until
// a third crash or an answer to one of them shows which request is the cause.
// Requests are identified by their digests.
class Quarantine {
 public:
  // The connection of an attempt of this request broke.
  void NoteDisconnect(const std::string& request,
                      const base::EndpointName& endpoint,
                      base::TimePoint now);

  // The endpoint answered an attempt, which shows that disconnects just before
  // were no crash.
  void NoteAnswer(const base::EndpointName& endpoint,
                  base::TimePoint attempt_began,
                  base::TimePoint now);

  // The request was answered, so it is no longer a suspect of any crash.
  void Clear(const std::string& request);

  // A peer reported a suspicion, or that it refuses a request.
  void NotePeerSuspicion(const CrashSuspicion& suspicion, base::TimePoint now);
  void NotePeerQuarantine(const std::string& request, base::TimePoint now);

  // Whether the request is refused now. Each request extends its quarantine.
  bool IsQuarantined(const std::string& request, base::TimePoint now);

  // Drops expired crashes and quarantines.
  void Advance(base::TimePoint now);

  // Suspicions and quarantined requests to gossip, as of the last Advance().
  // Only the host that observed a crash gossips its suspicions; quarantines are
  // gossiped by every host that has begun one lately.
  std::vector<CrashSuspicion> SuspicionsToGossip() const;
  std::vector<std::string> QuarantinedToGossip() const;

  size_t crash_count() const { return crashes_.size(); }
  size_t quarantined_count() const { return quarantined_.size(); }

 private:
  enum class Source { kOwn, kPeer };

  struct Crash {
    base::EndpointName endpoint;
    base::TimePoint began;
    base::TimePoint last_reported;
    Source source = Source::kOwn;
    std::set<std::string> suspects;
  };

  struct QuarantineEntry {
    base::TimePoint began;
    base::TimePoint until;
  };

  Crash& FindOrAddCrash(const base::EndpointName& endpoint,
                        Source source,
                        base::TimePoint now);
  void AddSuspect(Crash& crash, const std::string& request);
  // Quarantines the request for the full time if the crashes identify it as the
  // cause.
  void Evaluate(const std::string& request, base::TimePoint now);
  std::vector<const Crash*> CrashesWithSuspect(
      const std::string& request) const;
  static bool HasOtherSuspect(const std::vector<const Crash*>& crashes);
  void BeginQuarantine(const std::string& request, base::TimePoint now);

  std::deque<Crash> crashes_;  // In order of creation.
  std::map<std::string, QuarantineEntry> quarantined_;
  base::TimePoint last_advance_;
};

}  // namespace bilberry::policy
