#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibEmulation/emulation_report.h"
#include "LibEmulation/load_scenario.h"
#include "LibForward/crash_tracker.h"
#include "LibForward/forwarded_request.h"

namespace bilberry::emulation {

// Endpoints that crash under certain requests, and what becomes of the requests
// that ran beside those.
class EmulatedCrashes {
 public:
  // Both arguments must outlive this object.
  EmulatedCrashes(const LoadScenario& scenario, EmulationReport& report)
      : scenario_(scenario), report_(report) {}

  // Times in the report count from here on.
  void Begin(base::TimePoint now) { begins_ = now; }

  // Records that this request crashes the endpoints that run it.
  void AddDeadly(const forward::ForwardedRequest& request);
  // Records that this request crashes engines because of this part of its
  // prompt.
  void AddDeadlyPart(const forward::ForwardedRequest& request,
                     const std::string& part);
  bool HasDeadlyPart(const std::string& request_id) const;
  // Records that a request reached an engine.
  void NoteArrival(const std::string& request_id,
                   bool was_host_in_touch,
                   base::TimePoint now);
  // Whether this attempt of a caller crashes engines, or endpoints that run its
  // pieces.
  bool CrashesEngines(const std::string& request_id) const;
  bool CrashesPieceEndpoints(const std::string& request_id) const;

  // Records that the endpoint crashed under the deadly request.
  // `was_host_in_touch` tells whether the host that sent it could know what
  // others know.
  void NoteCrash(const base::EndpointName& endpoint,
                 const std::string& request_id,
                 bool was_host_in_touch,
                 base::TimePoint now);
  // Records that the endpoint ended for another reason.
  void NoteEnd(const base::EndpointName& endpoint);
  // Records a request that broke off with a crashed endpoint.
  void NoteBystander(const std::string& request_id);
  void NoteRestart(const base::EndpointName& endpoint);
  // Records that a caller's attempt got its whole answer.
  void NoteAnswered(const std::string& request_id);
  // Records that a host refuses all requests with this digest.
  void NoteQuarantined(const std::string& digest);
  // Records that a host refuses all requests with this part, which is named as
  // in log events.
  void NotePartQuarantined(const std::string& part);

  bool IsDown(const base::EndpointName& endpoint) const;
  // The endpoint's process, as listed once it is up again.
  base::Incarnation IncarnationOf(const base::EndpointName& endpoint) const;
  forward::HealthCheckResult Check(const forward::ListedEndpoint& known) const;

 private:
  // What crashes endpoints: a request, or a part of prompts.
  struct Deadly {
    bool is_part = false;
    size_t crashes = 0;
    base::TimePoint last_allowed;
    uint64_t late_arrivals = 0;
  };

  struct Process {
    uint64_t incarnation = 1;
    bool is_down = false;
  };

  const LoadScenario& scenario_;
  EmulationReport& report_;
  Deadly& CauseOf(const std::string& request_id);
  static size_t AllowedCrashes(const Deadly& deadly);

  base::TimePoint begins_;
  std::map<std::string, Deadly> deadly_;             // By target or part.
  std::map<std::string, std::string> cause_of_id_;   // Of deadly requests.
  std::map<base::EndpointName, Process> processes_;  // That ever ended.
  std::set<std::string> deadly_digests_;
  std::set<std::string> innocent_digests_;  // That are refused.
  std::set<std::string> innocent_parts_;    // That are refused.
  std::set<std::string> bystanders_;        // By request id.
};

}  // namespace bilberry::emulation
