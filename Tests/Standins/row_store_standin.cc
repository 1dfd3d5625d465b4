#include "Standins/row_store_standin.h"

#include <ace/Codecs.h>
#include <json/value.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "LibTransport/json_text.h"
#include "platform/wire_names.h"

namespace bilberry::standins {

namespace {

namespace wire = platform::wire;
using transport::HttpResponse;
using transport::IncomingRequest;

constexpr int kConflict = 412;
constexpr int kGone = 410;
// How long after a restoration lost rows are written again.
constexpr std::chrono::milliseconds kRewriteDelay{300};

std::string ArgumentOf(const IncomingRequest& request, const char* name) {
  const std::string* value = base::FindHeader(request.arguments, name);
  return value == nullptr ? "" : *value;
}

std::string Encode(const std::string& text) {
  size_t size = 0;
  const std::unique_ptr<ACE_Byte[]> bytes(
      ACE_Base64::encode(reinterpret_cast<const ACE_Byte*>(text.data()),
                         text.size(), &size, false));
  return {reinterpret_cast<const char*>(bytes.get()), size};
}

std::string Decode(const std::string& text) {
  size_t size = 0;
  const std::unique_ptr<ACE_Byte[]> bytes(ACE_Base64::decode(
      reinterpret_cast<const ACE_Byte*>(text.c_str()), &size));
  return {reinterpret_cast<const char*>(bytes.get()), size};
}

Json::Value NameOf(const std::string& table,
                   const std::string& part,
                   const std::string& key) {
  Json::Value row;
  row["table"] = table;
  row["part"] = part;
  row["key"] = key;
  return row;
}

template <typename RowKey>
RowKey KeyOf(const Json::Value& row) {
  return {row["table"].asString(), row["part"].asString(),
          row["key"].asString()};
}

// Whether hosts write the table themselves.
bool IsOwnTable(const std::string& table) {
  return table == wire::kHostTable || table == wire::kFenceTable ||
         table == wire::kStreamTable;
}

}  // namespace

RowStoreStandin::RowStoreStandin(transport::Reactor& reactor)
    : timers_(reactor), fault_injector_(timers_) {}

base::Result<std::unique_ptr<RowStoreStandin>> RowStoreStandin::Create(
    transport::Reactor& reactor,
    const base::SocketAddress& address) {
  std::unique_ptr<RowStoreStandin> store(new RowStoreStandin(reactor));
  RowStoreStandin* raw = store.get();
  transport::ListenerOptions options;
  options.address = address;
  TRY(service, transport::HttpListener::Create(
                   reactor, options,
                   [raw](const IncomingRequest& it) { raw->Handle(it); },
                   [raw](transport::ExchangeId it) {
                     std::erase_if(raw->held_polls_,
                                   [it](const HeldPoll& held) {
                                     return held.exchange == it;
                                   });
                     raw->service_->Abort(it);
                   }));
  store->service_ = std::move(service);
  return store;
}

void RowStoreStandin::Write(const RowKey& key, const std::string& value) {
  rows_[key] = {value, ++version_, false};
  AnswerHeldPolls();
}

void RowStoreStandin::Remove(const RowKey& key) {
  rows_[key] = {"", ++version_, true};
  AnswerHeldPolls();
}

void RowStoreStandin::Put(const std::string& table,
                          const std::string& key,
                          const std::string& value) {
  Write(RowKey{table, "", key}, value);
}

void RowStoreStandin::Remove(const std::string& table, const std::string& key) {
  Remove(RowKey{table, "", key});
}

bool RowStoreStandin::Has(const std::string& table,
                          const std::string& key) const {
  const auto it = rows_.find({table, "", key});
  return it != rows_.end() && !it->second.is_removed;
}

RowStoreStandin::Copy RowStoreStandin::TakeCopy() const {
  return {rows_, version_};
}

void RowStoreStandin::Restore(Copy copy) {
  std::map<RowKey, Row> lost;
  for (const auto& [key, row] : rows_) {
    if (row.version > copy.version && !IsOwnTable(key.table))
      lost.emplace(key, row);
  }
  rows_ = std::move(copy.rows);
  version_ = copy.version;
  forgotten_ = 0;
  ++era_;
  for (const HeldPoll& it : std::exchange(held_polls_, {}))
    service_->Abort(it.exchange);
  timers_.After(kRewriteDelay,
                [this, lost = std::move(lost), restored = version_] {
                  WriteAgain(lost, restored);
                });
}

void RowStoreStandin::WriteAgain(const std::map<RowKey, Row>& lost,
                                 uint64_t restored) {
  for (const auto& [key, row] : lost) {
    const auto it = rows_.find(key);
    if (it != rows_.end() && it->second.version > restored)
      continue;
    if (row.is_removed)
      Remove(key);
    else
      Write(key, row.value);
  }
}

HttpResponse RowStoreStandin::Answer(int status, std::string body) const {
  return {status,
          {{transport::kContentTypeHeader, transport::kJsonType},
           {wire::kStoreEra, std::to_string(era_)}},
          std::move(body)};
}

void RowStoreStandin::PerformLate(std::chrono::milliseconds delay,
                                  std::chrono::milliseconds lasts) {
  write_delay_ = delay;
  ++late_orders_;
  timers_.After(lasts, [this] { --late_orders_; });
}

void RowStoreStandin::Handle(const IncomingRequest& request) {
  ++call_count_;
  if (request.path == wire::kRowsWritePath && late_orders_ > 0) {
    timers_.After(write_delay_, [this, request] { Write(request); });
    return;
  }
  if (request.path == wire::kRowsFollowPath) {
    Follow(request);
    return;
  }
  fault_injector_.Serve(service_, request.exchange, [this, request] {
    if (request.path == wire::kRowsListPath)
      return List(request);
    if (request.path == wire::kRowsWritePath)
      return Write(request);
    return Answer(404, "");
  });
}

std::string RowStoreStandin::Print(Json::Value rows) const {
  Json::Value body;
  body["rows"] = std::move(rows);
  body["truncated"] = false;
  body["ver"] = static_cast<Json::UInt64>(version_);
  body["nowMs"] = 0;
  return transport::PrintCompact(body);
}

std::string RowStoreStandin::ChangesOf(const std::string& table,
                                       uint64_t after) const {
  Json::Value rows(Json::arrayValue);
  for (const auto& [key, row] : rows_) {
    if (key.table != table || row.version <= after)
      continue;
    rows.append(PrintRow(key, row));
  }
  return Print(std::move(rows));
}

Json::Value RowStoreStandin::PrintRow(const RowKey& key, const Row& row) const {
  Json::Value it = NameOf(key.table, key.part, key.key);
  it["ver"] = static_cast<Json::UInt64>(row.version);
  if (row.is_removed)
    it["removed"] = true;
  else
    it["value"] = Encode(row.value);
  return it;
}

HttpResponse RowStoreStandin::List(const IncomingRequest& request) const {
  const std::string limit = ArgumentOf(request, "limit");
  const size_t most = limit.empty() ? SIZE_MAX : std::stoul(limit);
  Json::Value rows(Json::arrayValue);
  for (const auto& [key, row] : rows_) {
    if (row.is_removed || key.table != ArgumentOf(request, "table") ||
        key.part != ArgumentOf(request, "part") ||
        key.key < ArgumentOf(request, "startFrom") || rows.size() >= most)
      continue;
    rows.append(PrintRow(key, row));
  }
  return Answer(200, Print(std::move(rows)));
}

bool RowStoreStandin::HasChanged(const std::string& table,
                                 uint64_t after) const {
  return std::ranges::any_of(rows_, [&](const auto& it) {
    return it.first.table == table && it.second.version > after;
  });
}

void RowStoreStandin::Follow(const IncomingRequest& request) {
  const std::string table = ArgumentOf(request, "table");
  const uint64_t after =
      std::strtoull(ArgumentOf(request, "after").c_str(), nullptr, 10);
  if (after < forgotten_ || after > version_) {
    service_->Respond(request.exchange, Answer(kGone, ""));
    return;
  }
  held_polls_.push_back({request.exchange, table, after});
  const long wait =
      std::strtol(ArgumentOf(request, "waitMs").c_str(), nullptr, 10);
  timers_.After(std::chrono::milliseconds(wait), [this,
                                                  exchange = request.exchange] {
    const auto it =
        std::ranges::find(held_polls_, exchange, &HeldPoll::exchange);
    if (it == held_polls_.end())
      return;
    const HeldPoll held = *it;
    held_polls_.erase(it);
    service_->Respond(exchange, Answer(200, ChangesOf(held.table, held.after)));
  });
  AnswerHeldPolls();
}

void RowStoreStandin::AnswerHeldPolls() {
  std::vector<HeldPoll> due;
  std::erase_if(held_polls_, [&](const HeldPoll& held) {
    if (!HasChanged(held.table, held.after))
      return false;
    due.push_back(held);
    return true;
  });
  for (const HeldPoll& held : due)
    fault_injector_.Serve(service_, held.exchange, [this, held] {
      return Answer(200, ChangesOf(held.table, held.after));
    });
}

uint64_t RowStoreStandin::VersionOf(const RowKey& key) const {
  const auto it = rows_.find(key);
  return it == rows_.end() || it->second.is_removed ? 0 : it->second.version;
}

HttpResponse RowStoreStandin::Conflict(const Json::Value& expected) const {
  Json::Value rows(Json::arrayValue);
  for (const Json::Value& row : expected) {
    const auto it = rows_.find(KeyOf<RowKey>(row));
    if (it != rows_.end() && !it->second.is_removed)
      rows.append(PrintRow(it->first, it->second));
  }
  return Answer(kConflict, Print(std::move(rows)));
}

// All rows of a transaction get the same version.
HttpResponse RowStoreStandin::Write(const IncomingRequest& request) {
  const auto body = transport::ParseJsonValue(request.body);
  if (!body)
    return Answer(400, "");
  for (const Json::Value& row : (*body)["expectedRev"]) {
    if (VersionOf(KeyOf<RowKey>(row)) != row["ver"].asUInt64())
      return Conflict((*body)["expectedRev"]);
  }
  ++version_;
  for (const Json::Value& row : (*body)["writes"])
    rows_[KeyOf<RowKey>(row)] = {Decode(row["value"].asString()), version_,
                                 false};
  for (const Json::Value& row : (*body)["remove"])
    rows_[KeyOf<RowKey>(row)] = {"", version_, true};
  AnswerHeldPolls();
  Json::Value answer;
  answer["ver"] = static_cast<Json::UInt64>(version_);
  return Answer(200, transport::PrintCompact(answer));
}

}  // namespace bilberry::standins
