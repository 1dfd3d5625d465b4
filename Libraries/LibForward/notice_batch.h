#pragma once

#include <string>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibPolicy/quarantine.h"

// Endpoints' notices as gossiped between hosts.
namespace bilberry::forward {

// This incarnation of the endpoint announced its shutdown in an answer.
struct EndpointDeparture {
  base::EndpointName endpoint;
  base::Incarnation incarnation{};
  base::Duration age{};  // Since the answer.
};

// This incarnation of the endpoint asked a host for a backoff.
struct BackoffReport {
  base::EndpointName endpoint;
  base::Incarnation incarnation{};
  base::Duration lasts{};
  base::Duration age{};  // Since the answer.
};

// An endpoint began to answer a request with this part of a prompt.
struct PartAnswer {
  std::string part;
  base::Duration age{};

  friend auto operator<=>(const PartAnswer&, const PartAnswer&) = default;
};

// Which requests were running at endpoints that crashed, and which parts of
// prompts they held. Requests are named by digests, endpoints by name and
// incarnation.
struct CrashNews {
  std::vector<policy::CrashSuspicion> suspicions;
  // Requests that endpoints have answered, which clears them of suspicion.
  std::vector<std::string> cleared;
  // Answers that clear parts of prompts of the crashes before them.
  std::vector<PartAnswer> answered;

  bool is_empty() const {
    return suspicions.empty() && cleared.empty() && answered.empty();
  }
};

struct NoticeBatch {
  std::vector<EndpointDeparture> departures;
  std::vector<BackoffReport> backoffs;
  CrashNews crashes;

  bool is_empty() const {
    return departures.empty() && backoffs.empty() && crashes.is_empty();
  }
};

}  // namespace bilberry::forward
