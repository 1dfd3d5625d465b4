#pragma once

#include <json/value.h>

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibTransport/http_listener.h"
#include "LibTransport/timer_queue.h"
#include "Standins/fault_injector.h"

namespace bilberry::standins {

// In-memory stand-in of the platform's row store: tables with rows, reads,
// transactions, and long polls that are held until a row changes.
class RowStoreStandin {
 public:
  static base::Result<std::unique_ptr<RowStoreStandin>> Create(
      transport::Reactor& reactor,
      const base::SocketAddress& address);

  const base::SocketAddress& address() const { return service_->address(); }

  // Rows of the empty part.
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  bool Has(const std::string& table, const std::string& key) const;

  void InjectFault(Fault fault) { fault_injector_.Order(fault); }
  // Drops the change history: polls for changes up to now fail.
  void ForgetHistory() { forgotten_ = version_; }
  // The store's data at one moment.
  struct Copy;
  Copy TakeCopy() const;
  // Comes back from an older copy, in a new era. What operators and endpoints
  // have written since is written again a little later; the hosts' own rows are
  // not.
  void Restore(Copy copy);
  // For `lasts`, transactions are performed only after `delay`, if their
  // conditions still hold then, and are not answered.
  void PerformLate(std::chrono::milliseconds delay,
                   std::chrono::milliseconds lasts);
  uint64_t call_count() const { return call_count_; }

 private:
  struct RowKey {
    std::string table;
    std::string part;
    std::string key;

    friend auto operator<=>(const RowKey&, const RowKey&) = default;
  };
  struct Row {
    std::string value;
    uint64_t version = 0;
    bool is_removed = false;
  };

  // A long poll that waits for a change.
  struct HeldPoll {
    transport::ExchangeId exchange{};
    std::string table;
    uint64_t after = 0;
  };

  explicit RowStoreStandin(transport::Reactor& reactor);

  void Write(const RowKey& key, const std::string& value);
  void Remove(const RowKey& key);
  // The version that a condition has to name; 0 if there is no such row.
  uint64_t VersionOf(const RowKey& key) const;
  Json::Value PrintRow(const RowKey& key, const Row& row) const;
  transport::HttpResponse Conflict(const Json::Value& expected) const;
  transport::HttpResponse Answer(int status, std::string body) const;
  void WriteAgain(const std::map<RowKey, Row>& lost, uint64_t restored);

  void Handle(const transport::IncomingRequest& request);
  transport::HttpResponse List(const transport::IncomingRequest& request) const;
  transport::HttpResponse Write(const transport::IncomingRequest& request);
  void Follow(const transport::IncomingRequest& request);
  // Returns the table's changes since a version.
  std::string ChangesOf(const std::string& table, uint64_t after) const;
  std::string Print(Json::Value rows) const;
  bool HasChanged(const std::string& table, uint64_t after) const;
  void AnswerHeldPolls();

  transport::TimerQueue timers_;
  FaultInjector fault_injector_;
  std::shared_ptr<transport::HttpListener> service_;
  std::map<RowKey, Row> rows_;
  std::vector<HeldPoll> held_polls_;
  uint64_t version_ = 0;
  uint64_t forgotten_ = 0;
  uint64_t era_ = 1;
  uint64_t call_count_ = 0;
  std::chrono::milliseconds write_delay_{0};
  // How many orders of PerformLate() last.
  uint64_t late_orders_ = 0;
};

struct RowStoreStandin::Copy {
  std::map<RowKey, Row> rows;
  uint64_t version = 0;
};

}  // namespace bilberry::standins
