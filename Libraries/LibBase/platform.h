#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "LibBase/ids.h"

// What the core asks of the platform's table, object store and host list, and
// what comes back. docs/CONTRACTS.md has the same over HTTP.
namespace bilberry::base {

// The number of a table row's present value; 0 means that there is no row.
enum class RowVersion : uint64_t { kAbsent = 0 };

// A write that takes effect only if the row is at `expected`.
struct TableWrite {
  std::string key;
  RowVersion expected = RowVersion::kAbsent;
  std::string value;
};

struct TableRow {
  std::string key;
  RowVersion version = RowVersion::kAbsent;
  std::string value;
};

// The outcome of one write. `row` is the row as it is after the transaction,
// so a lost condition shows what stood in the way.
struct TableWriteResult {
  bool was_applied = false;
  TableRow row;
};

// One transaction of independent conditional writes.
struct WriteRows {
  std::vector<TableWrite> writes;
};

// Reads a row unless it is still at `unless`.
struct ReadRow {
  std::string key;
  RowVersion unless = RowVersion::kAbsent;
};

// Reads the rows whose keys begin with `prefix`, at most `limit` of them.
struct ListRows {
  std::string prefix;
  uint32_t limit = 1000;
};

struct StoreObject {
  std::string name;
  std::string content;
};

struct FetchObject {
  std::string name;
};

// Asks for the host list's changes after `version`.
struct PollHosts {
  uint64_t version = 0;
};

using PlatformRequest = std::
    variant<WriteRows, ReadRow, ListRows, StoreObject, FetchObject, PollHosts>;

struct RowsWritten {
  std::vector<TableWriteResult> results;
};

// Absent row: `version` is kAbsent. Unchanged: `row` is empty.
struct RowRead {
  std::optional<TableRow> row;
};

struct RowsListed {
  std::vector<TableRow> rows;
};

struct ObjectStored {};

// `content` is empty when there is no such object.
struct ObjectFetched {
  std::optional<std::string> content;
};

enum class HostKind { kEndpoint, kEntryHost };
enum class HostState { kLive, kLeaving, kGone };

// One row of the platform's list of hosts.
struct HostEntry {
  std::string name;
  HostKind kind = HostKind::kEndpoint;
  PoolName pool;  // Empty for entry hosts.
  ZoneName zone;
  SocketAddress address;
  Incarnation incarnation{};
  HostState state = HostState::kLive;

  friend bool operator==(const HostEntry&, const HostEntry&) = default;
};

// The entries changed after the version asked for.
struct HostsPolled {
  uint64_t version = 0;
  std::vector<HostEntry> changed;
};

using PlatformAnswer = std::variant<RowsWritten,
                                    RowRead,
                                    RowsListed,
                                    ObjectStored,
                                    ObjectFetched,
                                    HostsPolled>;

// How a request to the platform ended without an answer.
enum class PlatformFailure {
  kNotSent,  // Surely without effect.
  kUnknown,  // May have taken effect, or may yet.
};

}  // namespace bilberry::base
