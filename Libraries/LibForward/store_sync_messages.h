#pragma once

#include <cstdint>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibForward/endpoint_limits.h"
#include "LibForward/feed_row.h"
#include "LibForward/notice_batch.h"

// What one host tells another of the store's tables, so that not every host has
// to follow the store by itself.
namespace bilberry::forward {

// The feeds that hosts pass on.
inline constexpr FeedKind kRelayedFeeds[] = {FeedKind::kEndpoints,
                                             FeedKind::kHosts};

// What a host knows of one table, up to a version of the store's.
struct KnownVersion {
  FeedKind feed{};
  uint64_t version = 0;
};

struct TableUpdate {
  FeedKind feed{};
  uint64_t version = 0;
  // Whether the rows are all there are, rather than those that have changed
  // since the version asked for.
  bool is_whole = false;
  std::vector<FeedRow> rows;
};

struct StoreSyncRequest {
  std::vector<KnownVersion> known;
  std::vector<EndpointDeparture> departures;  // That the asking host knows.
};

struct StoreSyncResponse {
  base::Duration age{};  // Since the store told the peer what endpoints exist.
  std::vector<TableUpdate> tables;
  NoticeBatch notices;
  std::vector<EndpointLimitReport> limits;
  uint64_t revision = 0;  // Of the configuration; 0 if none is known.
  // Whoever knows the operators' rows up to an earlier version has missed a
  // change of them.
  uint64_t operators_version = 0;
};

}  // namespace bilberry::forward
