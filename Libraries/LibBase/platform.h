#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "LibBase/ids.h"

// Requests to the platform's table, object store and host list, and their
// answers. docs/CONTRACTS.md specifies their form over HTTP.
namespace bilberry::base {

// Version of a table row's current value; 0 means that the row does not exist.
enum class RowVersion : uint64_t { kAbsent = 0 };

// A compare-and-swap: the write is applied only if the row is at version
// `expected`.
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

// The result of one write. `row` is the row after the transaction, so a
// rejected write shows the conflicting value.
struct TableWriteResult {
  bool was_applied = false;
  TableRow row;
};

// One transaction of conditional writes, each of which is applied or rejected
// on its own.
struct WriteRows {
  std::vector<TableWrite> writes;
};

// Reads a row if its version is no longer `unless`.
struct ReadRow {
  std::string key;
  RowVersion unless = RowVersion::kAbsent;
};

// Reads at most `limit` rows whose keys begin with `prefix`.
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

// Requests the changes of the host list since `version`.
struct PollHosts {
  uint64_t version = 0;
};

using PlatformRequest = std::
    variant<WriteRows, ReadRow, ListRows, StoreObject, FetchObject, PollHosts>;

struct RowsWritten {
  std::vector<TableWriteResult> results;
};

// `row` is empty if the row is unchanged; its version is kAbsent if the row
// does not exist.
struct RowRead {
  std::optional<TableRow> row;
};

struct RowsListed {
  std::vector<TableRow> rows;
};

struct ObjectStored {};

// `content` is empty if the object does not exist.
struct ObjectFetched {
  std::optional<std::string> content;
};

enum class HostKind { kEndpoint, kEntryHost };
enum class HostState { kLive, kLeaving, kGone };

// One entry of the platform's host list.
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

// The entries that changed since the requested version.
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

// Why a request to the platform has no answer.
enum class PlatformFailure {
  kNotSent,  // The request had no effect.
  kUnknown,  // The request may have taken effect, or may still do so.
};

}  // namespace bilberry::base
