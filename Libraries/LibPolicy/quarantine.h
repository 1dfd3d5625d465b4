#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibPolicy/answered_parts.h"

namespace bilberry::policy {

// How long a request or a part of a prompt is refused after it crashed
// endpoints, and how long a crash is remembered.
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
// Crashes after which a part of a prompt is refused, and after which it is if
// endpoints have answered requests with it before.
inline constexpr size_t kCrashesOfPart = 3;
inline constexpr size_t kCrashesOfAnsweredPart = 5;
// Endpoints that crash within this time may have one cause of their own, such
// as a zone that fails; against a part of a prompt they count as one crash.
inline constexpr std::chrono::milliseconds kSameMoment{100};
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

// The depth of a suspect that is a whole request.
inline constexpr uint32_t kWholeRequest = std::numeric_limits<uint32_t>::max();

// What a crash may be due to: a request, named by its digest, or a part of its
// prompt.
struct CrashSuspect {
  std::string name;
  // The part's position in its prompt: requests share the parts at the front
  // with more others than those behind.
  uint32_t depth = kWholeRequest;

  friend auto operator<=>(const CrashSuspect&, const CrashSuspect&) = default;
};

// A request that was in flight at an endpoint when the endpoint crashed, or a
// part of its prompt if the endpoint had not begun to answer it.
struct CrashSuspicion {
  std::string request;  // The suspect's name.
  base::EndpointName endpoint;
  base::Duration age{};  // Of the crash; 0 if it isn't told.
  CrashedName kind = CrashedName::kEndpoint;
  uint32_t depth = kWholeRequest;  // The suspect's.

  friend auto operator<=>(const CrashSuspicion&,
                          const CrashSuspicion&) = default;
};

// Poison request detection: refuses requests that crash the endpoints that run
// them, and parts of prompts that crash the endpoints which begin to answer
// them.
//
// A request in flight at two crashes is refused. While another request was in
// flight at the same crashes, it is refused only for a short time, until a
// third crash or an answer to one of them shows which request is the cause.
// Requests are identified by their digests.
//
// A part is a suspect of the crashes since an endpoint last began to answer a
// request that holds it. Of the suspects with the same crashes the one that
// fewest requests share is the cause; crashes under a refused suspect
// incriminate no other.
class Quarantine {
 public:
  explicit Quarantine(QuarantineOptions options = {}) : options_(options) {}

  // The connection of an attempt of this request broke.
  void NoteDisconnect(const std::string& request,
                      const base::EndpointName& endpoint,
                      base::TimePoint now,
                      CrashedName kind = CrashedName::kEndpoint);

  // The same, of any suspect, some time after the crash.
  void NoteOwnSuspicion(const CrashSuspicion& suspicion, base::TimePoint now);

  // The endpoint answered an attempt, which shows that disconnects just before
  // were no crash.
  void NoteAnswer(const base::EndpointName& endpoint,
                  base::TimePoint attempt_began,
                  base::TimePoint now);

  // The request was answered, so it is no longer a suspect of any crash, and is
  // not refused any more. Returns false if it was no suspect.
  bool Clear(const std::string& request);

  // An endpoint began, at this time, to answer a request with this part of a
  // prompt: the part is no longer a suspect of earlier crashes. Returns false
  // if it was a suspect of none.
  bool NotePartAnswered(const std::string& part, base::TimePoint at);
  // When an endpoint last began to answer a request with this part; empty if
  // that isn't known.
  std::optional<base::TimePoint> PartAnsweredAt(const std::string& part) const {
    return answered_parts_.LastOf(part);
  }

  // Refuses the parts of prompts that the known crashes identify as causes.
  // Returns those that were not refused before.
  std::vector<std::string> JudgeParts(base::TimePoint now);
  // Until when the part is refused; empty if it isn't. The time is not extended
  // by further requests.
  std::optional<base::TimePoint> PartRefusedUntil(const std::string& part,
                                                  base::TimePoint now) const;

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
  // that are suspects of at least `min_crashes`. Of crashes whose cause is
  // known only the cause.
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
    std::string cause;  // The refused part that explains it; empty if unknown.
  };

  struct SuspectState {
    size_t crash_count = 0;
    uint32_t depth = kWholeRequest;
  };

  // A part and the crashes that may be due to it.
  struct Candidate {
    std::string part;
    uint32_t depth = 0;
    std::vector<Crash*> crashes;
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
  void AddSuspect(Crash& crash, const std::string& request, uint32_t depth);
  void Add(const CrashSuspicion& suspicion, Source source, base::TimePoint now);
  // Quarantines the request for the full time if the crashes identify it as the
  // cause.
  void Evaluate(const std::string& request, base::TimePoint now);
  // Drops the crashes for which the predicate holds.
  template <typename Predicate>
  void EraseCrashes(Predicate is_erased);
  bool EraseSuspect(Crash& crash, const std::string& request);
  std::vector<const Crash*> CrashesWithSuspect(
      const std::string& request) const;
  // Whether several requests were in flight at all of these crashes.
  bool HasOtherSuspect(const std::vector<const Crash*>& crashes) const;
  void BeginQuarantine(const std::string& request, base::TimePoint now);
  bool IsPart(const std::string& suspect) const;
  // Whether a refused request was in flight at the crash.
  bool HasRefusedRequest(const Crash& crash) const;
  // The parts that may be the cause of some crash, without the crashes that
  // have another cause.
  std::vector<Candidate> PartCandidates();
  bool IsCause(const Candidate& candidate) const;
  // Whether a suspect that fewer requests share is in all of these crashes.
  bool HasDeeperSuspect(const Candidate& candidate) const;
  // Ends the refusal of parts all of whose crashes have another cause.
  void ReleaseExplained();

  QuarantineOptions options_;
  std::deque<Crash> crashes_;  // In order of creation.
  std::unordered_map<std::string, SuspectState> suspects_;
  AnsweredParts answered_parts_;
  std::map<std::string, QuarantineEntry> quarantined_;
  base::TimePoint last_advance_;
};

}  // namespace bilberry::policy
