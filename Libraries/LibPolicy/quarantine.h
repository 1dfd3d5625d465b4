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

// How long a request stays refused after its endpoints died, and how long a
// death is remembered.
inline constexpr std::chrono::minutes kQuarantinePeriod{60};
// The same while another request is as suspect as this one.
inline constexpr std::chrono::seconds kAmbiguousQuarantinePeriod{10};
// Breaks at one endpoint within this time are one death of it.
inline constexpr std::chrono::seconds kCrashMergeWindow{2};
// The same for what a peer tells, which comes later and repeatedly.
inline constexpr std::chrono::seconds kPeerCrashMergeWindow{15};
// A process that died does not answer again within this time.
inline constexpr std::chrono::milliseconds kMinRestartTime{1000};
// An answer this soon after a break may have been sent before it.
inline constexpr std::chrono::milliseconds kLateAnswerWindow{50};
// How long peers are told of something new.
inline constexpr std::chrono::seconds kGossipPeriod{10};
inline constexpr size_t kCrashesToQuarantine = 2;
inline constexpr size_t kCrashesToConfirm = 3;
inline constexpr size_t kMaxCrashes = 256;
inline constexpr size_t kMaxSuspectsPerCrash = 64;
inline constexpr size_t kMaxQuarantinedRequests = 1024;
inline constexpr size_t kMaxGossipedItems = 64;

// One request that was in flight at an endpoint when that died.
struct CrashSuspicion {
  std::string request;
  base::EndpointName endpoint;

  friend auto operator<=>(const CrashSuspicion&,
                          const CrashSuspicion&) = default;
};

// Finds the requests that crash the endpoints that run them. A request in
// flight at two deaths is refused. While another one was in flight at the same
// deaths, it is refused only for a short time: the next death, or an answer to
// one of them, shows which it was. Requests are named by their digests.
class Quarantine {
 public:
  // The connection of this request's attempt broke.
  void NoteDisconnect(const std::string& request,
                      const base::EndpointName& endpoint,
                      base::TimePoint now);

  // An endpoint has answered an attempt: breaks just before were no death.
  void NoteAnswer(const base::EndpointName& endpoint,
                  base::TimePoint attempt_began,
                  base::TimePoint now);

  // The request was answered, so that it crashes nothing.
  void Clear(const std::string& request);

  // A peer has told of a suspicion, or that it refuses a request.
  void NotePeerSuspicion(const CrashSuspicion& suspicion, base::TimePoint now);
  void NotePeerQuarantine(const std::string& request, base::TimePoint now);

  // A request that keeps coming stays refused.
  bool IsQuarantined(const std::string& request, base::TimePoint now);

  // Forgets what has aged.
  void Advance(base::TimePoint now);

  // What peers are to be told, as of the last Advance(). Suspicions are told
  // by the host that saw them; refusals are passed on once.
  std::vector<CrashSuspicion> SuspicionsToGossip() const;
  std::vector<std::string> QuarantinedToGossip() const;

  size_t crash_count() const { return deaths_.size(); }
  size_t quarantined_count() const { return refusals_.size(); }

 private:
  enum class Source { kOwn, kPeer };

  struct Death {
    base::EndpointName endpoint;
    base::TimePoint began;
    base::TimePoint last_heard;
    Source source = Source::kOwn;
    std::set<std::string> suspects;
  };

  struct Refusal {
    base::TimePoint began;
    base::TimePoint until;
  };

  Death& DeathOf(const base::EndpointName& endpoint,
                 Source source,
                 base::TimePoint now);
  void Suspect(Death& death, const std::string& request);
  // Refuses the request for good reason, if there is one by now.
  void Weigh(const std::string& request, base::TimePoint now);
  std::vector<const Death*> DeathsWith(const std::string& request) const;
  static bool HasOtherSuspect(const std::vector<const Death*>& deaths);
  void Refuse(const std::string& request, base::TimePoint now);

  std::deque<Death> deaths_;  // In their order.
  std::map<std::string, Refusal> refusals_;
  base::TimePoint advanced_;
};

}  // namespace bilberry::policy
