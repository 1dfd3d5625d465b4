#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
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
inline constexpr size_t kCrashesToConfirm = 3;
inline constexpr size_t kMaxCrashes = 256;
inline constexpr size_t kMaxSuspectsPerCrash = 256;
inline constexpr size_t kMaxQuarantinedRequests = 1024;
inline constexpr size_t kMaxGossipedItems = 256;

struct QuarantineOptions {
  // The number of crashes after which their only common suspect is refused. At
  // kCrashesToConfirm crashes all common suspects are.
  size_t crashes_to_quarantine = 2;
  // Whether peers tell how long ago a crash was. Reports of one name are of one
  // crash then if their crashes are of about the same time, whenever they come.
  bool reports_tell_age = false;
};

// What the name of a crashed endpoint stands for.
enum class CrashedName {
  kEndpoint,  // A later process may have the name, and crash too.
  kProcess,   // It crashes once.
};

// A request that was in flight at an endpoint when the endpoint crashed.
struct CrashSuspicion {
  std::string request;
  base::EndpointName endpoint;
  base::Duration age{};  // Of the crash; 0 if it isn't told.
  CrashedName kind = CrashedName::kEndpoint;

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
  explicit Quarantine(QuarantineOptions options = {}) : options_(options) {}

  // The connection of an attempt of this request broke.
  void NoteDisconnect(const std::string& request,
                      const base::EndpointName& endpoint,
                      base::TimePoint now,
                      CrashedName kind = CrashedName::kEndpoint);

  // The endpoint answered an attempt, which shows that disconnects just before
  // were no crash.
  void NoteAnswer(const base::EndpointName& endpoint,
                  base::TimePoint attempt_began,
                  base::TimePoint now);

  // The request was answered, so it is no longer a suspect of any crash, and is
  // not refused any more. Returns false if it was no suspect.
  bool Clear(const std::string& request);

  // A peer reported a suspicion, or that it refuses a request.
  void NotePeerSuspicion(const CrashSuspicion& suspicion, base::TimePoint now);
  void NotePeerQuarantine(const std::string& request, base::TimePoint now);

  // Whether the request is refused now. Each request extends its quarantine.
  bool IsQuarantined(const std::string& request, base::TimePoint now);

  // The number of crashes of which the request is a suspect.
  size_t CrashCountOf(const std::string& request) const;

  // Drops expired crashes and quarantines.
  void Advance(base::TimePoint now);

  // Suspicions and quarantined requests to gossip, as of the last Advance().
  // Only the host that observed a crash gossips its suspicions; quarantines are
  // gossiped by every host that has begun one lately.
  std::vector<CrashSuspicion> SuspicionsToGossip() const;
  std::vector<std::string> QuarantinedToGossip() const;
  // Suspicions for peers, whoever observed the crash, with their ages: those of
  // crashes that began at `since` or later and, however old, those of requests
  // that are suspects of at least `min_crashes`.
  std::vector<CrashSuspicion> SuspicionsToRepeat(size_t min_crashes,
                                                 base::TimePoint since,
                                                 base::TimePoint now) const;

  size_t crash_count() const { return crashes_.size(); }
  size_t quarantined_count() const { return quarantined_.size(); }

 private:
  enum class Source { kOwn, kPeer };

  struct Crash {
    base::EndpointName endpoint;
    CrashedName kind = CrashedName::kEndpoint;
    base::TimePoint began;
    base::TimePoint last_reported;
    Source source = Source::kOwn;
    std::set<std::string> suspects;
  };

  struct QuarantineEntry {
    base::TimePoint began;
    base::TimePoint until;
  };

  bool IsSameCrash(const Crash& crash,
                   const CrashSuspicion& suspicion,
                   Source source,
                   base::TimePoint now) const;
  Crash& FindOrAddCrash(const CrashSuspicion& suspicion,
                        Source source,
                        base::TimePoint now);
  void AddSuspect(Crash& crash, const std::string& request);
  // Quarantines the request for the full time if the crashes identify it as the
  // cause.
  void Evaluate(const std::string& request, base::TimePoint now);
  // Drops the crashes for which the predicate holds.
  template <typename Predicate>
  void EraseCrashes(Predicate is_erased);
  bool EraseSuspect(Crash& crash, const std::string& request);
  std::vector<const Crash*> CrashesWithSuspect(
      const std::string& request) const;
  static bool HasOtherSuspect(const std::vector<const Crash*>& crashes);
  void BeginQuarantine(const std::string& request, base::TimePoint now);

  QuarantineOptions options_;
  std::deque<Crash> crashes_;  // In order of creation.
  // The number of crashes by suspect.
  std::unordered_map<std::string, size_t> crash_counts_;
  std::map<std::string, QuarantineEntry> quarantined_;
  base::TimePoint last_advance_;
};

}  // namespace bilberry::policy
