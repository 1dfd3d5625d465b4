#pragma once

#include <cstdint>
#include <optional>
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

// What a host asks a peer for.
enum class StoreSyncKind : uint8_t {
  // What changes all the time: endpoints, hosts, and notices of endpoints.
  kNews,
  kOperatorsRows,
};

// How new a copy of the operators' rows is.
struct OperatorsRowsAge {
  uint64_t revision = 0;  // Of the configuration; 0 if there is none.
  // Of the store's table, at the last change of one of the rows.
  uint64_t version = 0;

  bool IsNewerThan(const OperatorsRowsAge& other) const {
    return revision > other.revision || version > other.version;
  }
};

// The operators' rows that the sender of a request can pass on.
struct OfferedOperatorsRows {
  base::SocketAddress sender;
  OperatorsRowsAge age;
};

struct StoreSyncRequest {
  std::vector<KnownVersion> known;
  // Recent departures known to the requesting host.
  std::vector<EndpointDeparture> departures;
  // Recent crashes that the requesting host observed.
  CrashNews crashes;
  StoreEra era = std::nullopt;  // Of the known versions.
  // So that a host learns of newer rows from those that poll it, too. Empty in
  // messages of earlier versions.
  std::optional<OfferedOperatorsRows> offer = std::nullopt;
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
