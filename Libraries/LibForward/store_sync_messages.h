#pragma once

#include <cstdint>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibForward/endpoint_limits.h"
#include "LibForward/feed_row.h"
#include "LibForward/notice_batch.h"
#include "LibForward/store_era.h"

// Messages by which a host passes the store's tables on to other hosts, so that
// not every host has to follow the store itself, and that hosts which the store
// rejects know what the others do.
namespace bilberry::forward {

// The version up to which a host knows a table.
struct KnownVersion {
  FeedKind feed{};
  uint64_t version = 0;
};

struct TableUpdate {
  FeedKind feed{};
  uint64_t version = 0;
  // Whether the rows are the whole table instead of the changes since the
  // requested version.
  bool is_whole = false;
  std::vector<FeedRow> rows;
};

struct StoreSyncRequest {
  std::vector<KnownVersion> known;
  // Recent departures known to the requesting host.
  std::vector<EndpointDeparture> departures;
  // Recent crashes that the requesting host observed.
  CrashNews crashes;
  StoreEra era = std::nullopt;  // Of the known versions.
};

struct StoreSyncResponse {
  StoreEra era;  // Of the tables' versions.
  // Since the store last answered the sender's call for endpoints.
  base::Duration age{};
  std::vector<TableUpdate> tables;
  NoticeBatch notices;
  std::vector<EndpointLimitReport> limits;
  uint64_t revision = 0;  // Revision of the configuration; 0 if none is known.
  // Version of the last change of the operators' rows. A host whose
  // configuration feed is at an earlier version has missed a change.
  uint64_t operators_version = 0;
};

}  // namespace bilberry::forward
