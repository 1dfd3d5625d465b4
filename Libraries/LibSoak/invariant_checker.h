#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "LibSoak/answer_check.h"
#include "LibSoak/disturbances.h"
#include "LibSoak/invariant.h"
#include "LibSoak/observation.h"

namespace bilberry::soak {

inline constexpr const char* kStorePart = "the store";
inline constexpr const char* kEndpointsPart = "the endpoints";

// Time bounds of the invariants.
struct Bounds {
  // A host must meet the other bounds once it has been undisturbed for this
  // long.
  std::chrono::milliseconds calm{3000};
  std::chrono::milliseconds configuration{2000};
  std::chrono::milliseconds drain{2000};
  std::chrono::milliseconds grace{8000};
  std::chrono::milliseconds recovery{12'000};
  // Allowed delay after the caller's deadline.
  std::chrono::milliseconds lateness{500};
  // The time in which all hosts learn of a request that crashed as many
  // endpoints as it may.
  std::chrono::milliseconds spread{1000};
  uint32_t crashes = 3;
};

// Checks the invariants against what callers and endpoints observe, never
// against what a host reports.
class InvariantChecker {
 public:
  InvariantChecker(Bounds bounds, AnswerShape shape)
      : bounds_(bounds), shape_(shape) {}

  // Observations of callers and endpoints.
  void NoteSent(SentRequest request);
  void NoteRun(const ObservedRun& run);
  void NoteAnswer(const ObservedAnswer& answer);
  // Records bytes that arrived on a connection without a waiting request.
  void NoteStrayBytes(const std::string& host,
                      size_t bytes,
                      base::TimePoint now);

  // Injected faults and planned maintenance.
  void BeginPlannedWork(const std::string& part);
  void EndPlannedWork(const std::string& part, base::TimePoint now);
  void BeginDisturbance(const std::string& part);
  void EndDisturbance(const std::string& part, base::TimePoint now);
  void NoteKeyAdded(const std::string& key, base::TimePoint now);
  void NoteKeyWithdrawn(const std::string& key, base::TimePoint now);
  void NoteLeaving(const std::string& endpoint, base::TimePoint now);

  // Whether no fault or planned work is active.
  bool is_undisturbed(base::TimePoint now) const;

  // Ends of processes.
  void NoteStopped(const std::string& host,
                   int exit_code,
                   base::TimePoint ordered,
                   base::TimePoint now);
  void NoteUnexpectedExit(const std::string& host,
                          const std::string& how,
                          base::TimePoint now);

  // Expects from now on that each host serves each kind of request again.
  void BeginRecovery(const std::set<std::string>& hosts, base::TimePoint now);
  bool has_recovered() const { return missing_.empty(); }
  // To be called regularly; reports what is still missing after the recovery
  // bound.
  void CheckRecovery(base::TimePoint now);

  const std::vector<Violation>& violations() const { return violations_; }
  uint64_t checks(Invariant invariant) const;
  // The longest observed time of those that the invariant bounds.
  base::Duration worst(Invariant invariant) const;
  // Number of requests by kind and status.
  const std::map<std::string, uint64_t>& outcomes() const { return outcomes_; }

 private:
  struct TrackedRequest {
    SentRequest request;
    uint32_t runs = 0;
    std::optional<int> refusal;
  };

  void Report(Invariant invariant,
              base::TimePoint now,
              const std::string& request,
              std::string detail);
  void Count(Invariant invariant) { ++checks_[invariant]; }
  void NoteTime(Invariant invariant, base::Duration time);
  bool IsHostUndisturbed(const std::string& host, base::TimePoint since) const;
  void CheckKeyOfRun(const SentRequest& request, const ObservedRun& run);
  void CheckContained(const SentRequest& request, const ObservedRun& run);
  void CheckEndpointOfRun(const SentRequest& request, const ObservedRun& run);
  void CheckRefusal(TrackedRequest& tracked, const ObservedAnswer& answer);
  void CheckCut(const TrackedRequest& tracked, const ObservedAnswer& answer);
  void CheckLateness(const SentRequest& request, const ObservedAnswer& answer);
  void CheckDenial(const SentRequest& request, const ObservedAnswer& answer);
  void NoteSuccess(const SentRequest& request, base::TimePoint now);

  Bounds bounds_;
  AnswerShape shape_;
  Disturbances unplanned_;
  Disturbances any_;
  std::map<std::string, TrackedRequest> requests_;
  std::map<std::string, base::TimePoint> added_;
  std::map<std::string, base::TimePoint> withdrawn_;
  std::map<std::string, base::TimePoint> leaving_;
  // When endpoints crashed under each deadly request, by its target.
  std::map<std::string, std::vector<base::TimePoint>> crashes_;
  std::set<std::pair<std::string, RequestKind>> missing_;
  base::TimePoint recovery_began_;
  std::vector<Violation> violations_;
  std::map<Invariant, uint64_t> checks_;
  std::map<Invariant, base::Duration> worst_;
  std::map<std::string, uint64_t> outcomes_;
};

}  // namespace bilberry::soak
