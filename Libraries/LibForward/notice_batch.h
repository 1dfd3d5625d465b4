#pragma once

#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"

// What hosts tell each other of what endpoints said in their answers.
namespace bilberry::forward {

// That this life of an endpoint leaves, by its own word in an answer.
struct EndpointDeparture {
  base::EndpointName endpoint;
  base::Incarnation incarnation{};
  base::Duration age{};  // Since it said so.
};

// That this life of an endpoint asked a host to leave it alone for so long.
struct BackoffReport {
  base::EndpointName endpoint;
  base::Incarnation incarnation{};
  base::Duration lasts{};
  base::Duration age{};  // Since it said so.
};

struct NoticeBatch {
  std::vector<EndpointDeparture> departures;
  std::vector<BackoffReport> backoffs;

  bool is_empty() const { return departures.empty() && backoffs.empty(); }
};

}  // namespace bilberry::forward
