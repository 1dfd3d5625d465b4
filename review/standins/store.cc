#include "store.h"

#include <cstdlib>
#include <vector>

namespace bilberry::review {

namespace {

constexpr std::chrono::seconds kIdle{60};

std::string ToBase64(const std::string& text) {
  static constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t bits = 0;
    for (size_t k = 0; k < 3; ++k)
      bits = bits << 8U |
             (i + k < text.size() ? static_cast<uint8_t>(text[i + k]) : 0U);
    for (size_t k = 0; k < 4; ++k)
      encoded +=
          i + k > text.size() ? '=' : kDigits[bits >> (18U - 6U * k) & 63U];
  }
  return encoded;
}

std::string QueryOf(const std::string& target, const std::string& name) {
  const std::string key = name + "=";
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t end = target.find('&', at + 1);
    const std::string pair = target.substr(at + 1, end - at - 1);
    if (pair.starts_with(key))
      return pair.substr(key.size());
    at = end;
  }
  return {};
}

// The objects of the member, which is an array of objects without nesting.
std::vector<std::string> ObjectsOf(const std::string& json,
                                   const std::string& member) {
  std::vector<std::string> objects;
  size_t at = json.find("\"" + member + "\":[");
  if (at == std::string::npos)
    return objects;
  const size_t end = json.find(']', at);
  for (at = json.find('{', at); at < end; at = json.find('{', at)) {
    const size_t close = json.find('}', at);
    objects.push_back(json.substr(at, close - at + 1));
    at = close;
  }
  return objects;
}

}  // namespace

std::string MemberOf(const std::string& json,
                     const std::string& name,
                     size_t from) {
  const std::string key = "\"" + name + "\":";
  const size_t at = json.find(key, from);
  if (at == std::string::npos)
    return {};
  const size_t begin = at + key.size();
  if (json[begin] == '"')
    return json.substr(begin + 1, json.find('"', begin + 1) - begin - 1);
  return json.substr(begin, json.find_first_of(",]}", begin) - begin);
}

Store::Store()
    : acceptor_([this](Channel channel) { Serve(std::move(channel)); }) {}

void Store::Put(const std::string& table,
                const std::string& key,
                const std::string& text) {
  const std::lock_guard lock(mutex_);
  Change(table, key, {ToBase64(text), 0, false});
}

void Store::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard lock(mutex_);
  Change(table, key, {"", 0, true});
}

void Store::Change(const std::string& table, const std::string& key, Row row) {
  row.version = ++version_;
  rows_[{table, key}] = std::move(row);
  changed_.notify_all();
}

void Store::Serve(Channel channel) {
  while (const auto request = channel.Read(kIdle)) {
    if (!channel.Write(Answer("200 OK", {{"Content-Type", "application/json"}},
                              AnswerTo(*request))))
      return;
  }
}

std::string Store::AnswerTo(const Message& request) {
  const std::string target = request.target();
  const std::string table = QueryOf(target, "table");
  if (target.starts_with("/v1/rows-get"))
    return List(table);
  if (target.starts_with("/v1/rows-feed"))
    return Follow(table,
                  std::strtoull(QueryOf(target, "after").c_str(), nullptr, 10),
                  std::chrono::milliseconds(std::strtoll(
                      QueryOf(target, "waitMs").c_str(), nullptr, 10)));
  return Write(request.body);
}

std::string Store::RowsAfter(const std::string& table,
                             uint64_t after,
                             bool has_removed) const {
  std::map<uint64_t, std::string> in_order;
  for (const auto& [name, row] : rows_) {
    if (name.first != table || row.version <= after ||
        (row.is_removed && !has_removed))
      continue;
    in_order[row.version] =
        R"({"table":")" + table + R"(","part":"","key":")" + name.second +
        R"(","ver":)" + std::to_string(row.version) +
        (row.is_removed ? std::string(R"(,"removed":true})")
                        : R"(,"value":")" + row.value + "\"}");
  }
  std::string rows;
  for (const auto& [version, row] : in_order)
    rows += (rows.empty() ? "" : ",") + row;
  return rows;
}

std::string Store::List(const std::string& table) {
  const std::lock_guard lock(mutex_);
  return R"({"rows":[)" + RowsAfter(table, 0, false) +
         R"(],"truncated":false,"ver":)" + std::to_string(version_) +
         R"(,"nowMs":1})";
}

std::string Store::Follow(const std::string& table,
                          uint64_t after,
                          std::chrono::milliseconds wait) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, wait,
                    [&] { return !RowsAfter(table, after, true).empty(); });
  return R"({"rows":[)" + RowsAfter(table, after, true) + R"(],"ver":)" +
         std::to_string(version_) + R"(,"nowMs":1})";
}

std::string Store::Write(const std::string& body) {
  const std::lock_guard lock(mutex_);
  for (const std::string& it : ObjectsOf(body, "writes"))
    Change(MemberOf(it, "table"), MemberOf(it, "key"),
           {MemberOf(it, "value"), 0, false});
  for (const std::string& it : ObjectsOf(body, "remove"))
    Change(MemberOf(it, "table"), MemberOf(it, "key"), {"", 0, true});
  return R"({"ver":)" + std::to_string(version_) + R"(,"nowMs":1})";
}

}  // namespace bilberry::review
