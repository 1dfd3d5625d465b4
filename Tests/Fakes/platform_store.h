#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "LibBase/platform.h"

namespace bilberry::fakes {

// Counts of requests to the platform, for experiments.
struct PlatformCounts {
  uint64_t transactions = 0;
  uint64_t rows_written = 0;
  uint64_t reads = 0;
};

// In-memory fake of the platform's table, object store and host list, used by
// unit tests and the stand-in process.
class PlatformStore {
 public:
  base::PlatformAnswer Apply(const base::PlatformRequest& request);

  void PutHost(base::HostEntry entry);
  // Replaces the table, like a restore from a backup.
  void RestoreRows(std::map<std::string, base::TableRow> rows) {
    rows_ = std::move(rows);
  }

  const std::map<std::string, base::TableRow>& rows() const { return rows_; }
  const PlatformCounts& counts() const { return counts_; }

 private:
  struct ListedHost {
    base::HostEntry entry;
    uint64_t version = 0;
  };

  base::PlatformAnswer Do(const base::WriteRows& request);
  base::PlatformAnswer Do(const base::ReadRow& request);
  base::PlatformAnswer Do(const base::ListRows& request);
  base::PlatformAnswer Do(const base::StoreObject& request);
  base::PlatformAnswer Do(const base::FetchObject& request);
  base::PlatformAnswer Do(const base::PollHosts& request);
  base::TableWriteResult Write(const base::TableWrite& write);

  std::map<std::string, base::TableRow> rows_;
  std::map<std::string, std::string> objects_;
  std::map<std::string, ListedHost> hosts_;
  uint64_t host_version_ = 0;
  PlatformCounts counts_;
};

}  // namespace bilberry::fakes
