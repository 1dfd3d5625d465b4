#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibForward/forward_endpoint.h"
#include "LibForward/notice_batch.h"
#include "LibPolicy/quarantine.h"

namespace bilberry::forward {

// What a health check found at the address of an endpoint whose connection
// broke.
enum class HealthCheckResult {
  kSameProcess,
  kOtherProcess,
  kNoProcess,  // The address refuses connections.
  kUnknown,    // No answer in time.
};

// An endpoint that crashed, and what this host knows it to have run: requests
// by their digests, and the parts of their prompts.
struct EndpointCrash {
  ListedEndpoint endpoint;
  std::string evidence;
  std::vector<policy::CrashSuspect> suspects;
};

// A part of prompts that crashes endpoints.
struct RefusedPart {
  std::string name;
  base::TimePoint until;
};

// Finds the requests that crash the endpoints which run them, and the parts of
// prompts that do. A broken connection counts as a crash only once a health
// check or the endpoint list shows that the process is gone; until then the
// requests that broke with it are undecided. Requests are identified by the
// digests of their contents.
class CrashTracker {
 public:
  void SetEndpoints(std::span<const ListedEndpoint> endpoints,
                    base::TimePoint now);

  // A connection broke while the endpoint ran these requests, or before it
  // began to answer requests with these parts.
  void NoteBroken(const base::EndpointName& name,
                  const std::vector<policy::CrashSuspect>& suspects,
                  base::TimePoint now);
  void NoteChecked(const base::EndpointName& name,
                   base::Incarnation incarnation,
                   HealthCheckResult result,
                   base::TimePoint now);
  // An endpoint answered the request, so it crashes none.
  void NoteAnswered(const std::string& digest, base::TimePoint now);
  // An endpoint began to answer a request with these parts, so none of them
  // crashes it.
  void NoteBegun(const std::vector<policy::CrashSuspect>& parts,
                 base::TimePoint now);
  // Applies what a peer tells.
  void Apply(const CrashNews& news, base::TimePoint now);

  // Whether the request is refused.
  bool IsQuarantined(const std::string& digest, base::TimePoint now);
  // Returns the part because of which requests with these parts are refused;
  // empty if they aren't.
  std::optional<RefusedPart> FindRefusedPart(
      const std::vector<policy::CrashSuspect>& parts,
      base::TimePoint now) const;
  // The number of crashes, known or undecided, of which the request is a
  // suspect.
  size_t CrashCountOf(const std::string& digest) const;
  // Until when the request waits for a health check before it is sent again;
  // empty if it doesn't.
  std::optional<base::TimePoint> UndecidedUntil(const std::string& digest,
                                                base::TimePoint now) const;

  // Returns the endpoints to check now.
  std::vector<ListedEndpoint> TakeDueChecks(base::TimePoint now);
  // Returns the crashes that this host has found since the last call.
  std::vector<EndpointCrash> TakeCrashes();
  // Returns the digests of the requests that are refused since the last call.
  std::vector<std::string> TakeQuarantined();
  // Returns the parts of prompts that are refused since the last call.
  std::vector<std::string> TakeRefusedParts();
  // News that this host is the first to know.
  CrashNews TakeNews();
  // News for peers that may have missed them.
  CrashNews NewsToRepeat(base::TimePoint now) const;

  // What this host observed itself in the last seconds.
  CrashNews OwnNews() const;
  bool knows_crashes() const { return quarantine_.crash_count() > 0; }

  std::optional<base::TimePoint> NextWakeup() const;

 private:
  // Broken connections of an endpoint of which it isn't known whether it
  // crashed.
  struct BrokenEndpoint {
    ListedEndpoint listed;
    base::TimePoint broke_at;
    std::map<std::string, policy::CrashSuspect> suspects;  // By name.
    base::TimePoint next_check;
    base::Duration check_interval{};
    bool is_being_checked = false;
  };

  // Which requests and parts of prompts were answered, and when.
  struct Clearance {
    policy::CrashSuspect suspect;
    base::TimePoint at;
  };

  bool IsIdle() const;
  void NoteCrash(const base::EndpointName& name,
                 std::string evidence,
                 base::TimePoint now);
  void Clear(const std::string& digest, base::TimePoint now);
  void AddClearance(policy::CrashSuspect suspect, base::TimePoint at);
  // The part was answered at this time. Returns false if it was no suspect.
  bool ClearPart(const std::string& part, base::TimePoint at);
  // Tells peers of an answer that clears the part of the crash, unless they
  // have been told.
  void TellAnswer(const policy::CrashSuspicion& suspicion, base::TimePoint now);
  void JudgeParts(base::TimePoint now);
  void NoteSuspect(const policy::CrashSuspicion& suspicion,
                   base::TimePoint now);
  void Advance(base::TimePoint now);

  policy::Quarantine quarantine_{
      {policy::kCrashesToConfirm, /*reports_tell_age=*/true}};
  std::map<base::EndpointName, ListedEndpoint> listed_;
  std::map<base::EndpointName, BrokenEndpoint> broken_;
  std::vector<Clearance> clearances_;  // In the order of their times.
  std::vector<EndpointCrash> crashes_;
  // Digests that were returned by TakeQuarantined(), or will be next.
  std::set<std::string> refused_;
  std::vector<std::string> newly_refused_;
  std::vector<std::string> newly_refused_parts_;
  CrashNews news_;
};

}  // namespace bilberry::forward
