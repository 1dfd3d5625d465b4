#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "channel.h"

namespace bilberry::review {

// The platform's store: rows of any table with an empty part, in one process.
// Its answers are linearizable and none is lost.
class Store {
 public:
  Store();

  std::string address() const { return acceptor_.address(); }

  void Put(const std::string& table,
           const std::string& key,
           const std::string& text);
  void Remove(const std::string& table, const std::string& key);

 private:
  struct Row {
    std::string value;  // In base64.
    uint64_t version = 0;
    bool is_removed = false;
  };
  using Rows = std::map<std::pair<std::string, std::string>, Row>;

  void Serve(Channel channel);
  std::string AnswerTo(const Message& request);
  std::string List(const std::string& table);
  std::string Follow(const std::string& table,
                     uint64_t after,
                     std::chrono::milliseconds wait);
  std::string Write(const std::string& body);
  // The rows of the table that changed after this version.
  std::string RowsAfter(const std::string& table,
                        uint64_t after,
                        bool has_removed) const;
  void Change(const std::string& table, const std::string& key, Row row);

  std::mutex mutex_;
  std::condition_variable changed_;
  Rows rows_;
  uint64_t version_ = 1;
  Acceptor acceptor_;
};

// The value of the member in JSON text without spaces, from `from` on; without
// the quotes, if it is a string. Empty if there is none.
std::string MemberOf(const std::string& json,
                     const std::string& name,
                     size_t from = 0);

}  // namespace bilberry::review
