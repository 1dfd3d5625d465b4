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

// The stated times that promises hold from or within.
struct Bounds {
  // Without disturbance for so long, a host is bound by all others.
  std::chrono::milliseconds calm{3000};
  std::chrono::milliseconds configuration{2000};
  std::chrono::milliseconds drain{2000};
  std::chrono::milliseconds grace{8000};
  std::chrono::milliseconds recovery{12'000};
  // Behind the time that a caller gives.
  std::chrono::milliseconds lateness{500};
};

// Checks promises by what callers and endpoints have seen, never by a host's
// own word.
class InvariantChecker {
 public:
  InvariantChecker(Bounds bounds, AnswerShape shape)
      : bounds_(bounds), shape_(shape) {}

  // What callers and endpoints see.
  void NoteSent(SentRequest request);
  void NoteRun(const ObservedRun& run);
  void NoteAnswer(const ObservedAnswer& answer);
  // Bytes with no request waiting on the connection.
  void NoteStrayBytes(const std::string& host,
                      size_t bytes,
                      base::TimePoint now);

  // What is done to the world.
  void BeginPlannedWork(const std::string& part);
  void EndPlannedWork(const std::string& part, base::TimePoint now);
  void BeginDisturbance(const std::string& part);
  void EndDisturbance(const std::string& part, base::TimePoint now);
  void NoteKeyAdded(const std::string& key, base::TimePoint now);
  void NoteKeyWithdrawn(const std::string& key, base::TimePoint now);
  void NoteLeaving(const std::string& endpoint, base::TimePoint now);

  // Whether nothing is being done to the world.
  bool is_undisturbed(base::TimePoint now) const;

  // What becomes of processes.
  void NoteStopped(const std::string& host,
                   int exit_code,
                   base::TimePoint ordered,
                   base::TimePoint now);
  void NoteEndedByItself(const std::string& host,
                         const std::string& how,
                         base::TimePoint now);

  // From now on each kind is to be served again at each of these.
  void BeginRecovery(const std::set<std::string>& hosts, base::TimePoint now);
  bool has_recovered() const { return missing_.empty(); }
  // Call in between; notes what is missing when the time is over.
  void CheckRecovery(base::TimePoint now);

  const std::vector<Violation>& violations() const { return violations_; }
  uint64_t checks(Invariant invariant) const;
  // The longest time seen of what the promise bounds.
  base::Duration worst(Invariant invariant) const;
  // How requests ended, by kind and status.
  const std::map<std::string, uint64_t>& outcomes() const { return outcomes_; }

 private:
  struct Followed {
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
  bool IsInTouch(const std::string& host, base::TimePoint since) const;
  void CheckKeyOfRun(const SentRequest& request, const ObservedRun& run);
  void CheckEndpointOfRun(const SentRequest& request, const ObservedRun& run);
  void CheckRefusal(Followed& followed, const ObservedAnswer& answer);
  void CheckCut(const Followed& followed, const ObservedAnswer& answer);
  void CheckLateness(const SentRequest& request, const ObservedAnswer& answer);
  void CheckDenial(const SentRequest& request, const ObservedAnswer& answer);
  void NoteSuccess(const SentRequest& request, base::TimePoint now);

  Bounds bounds_;
  AnswerShape shape_;
  Disturbances unplanned_;
  Disturbances any_;
  std::map<std::string, Followed> followed_;
  std::map<std::string, base::TimePoint> added_;
  std::map<std::string, base::TimePoint> withdrawn_;
  std::map<std::string, base::TimePoint> leaving_;
  std::set<std::pair<std::string, RequestKind>> missing_;
  base::TimePoint recovery_began_;
  std::vector<Violation> violations_;
  std::map<Invariant, uint64_t> checks_;
  std::map<Invariant, base::Duration> worst_;
  std::map<std::string, uint64_t> outcomes_;
};

}  // namespace bilberry::soak
