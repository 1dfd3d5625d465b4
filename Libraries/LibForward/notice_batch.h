#pragma once

#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"

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

struct NoticeBatch {
  std::vector<EndpointDeparture> departures;
  std::vector<BackoffReport> backoffs;

  bool is_empty() const { return departures.empty() && backoffs.empty(); }
};

}  // namespace bilberry::forward
