#include "LibDeclare/object_reader.h"

namespace bilberry::declare {

namespace {

constexpr size_t kMaxNameLength = 64;

}  // namespace

ObjectReader::ObjectReader(const JsonDocument& document,
                           const Json::Value& value,
                           std::string path,
                           Faults& faults)
    : document_(document),
      value_(value),
      path_(std::move(path)),
      faults_(faults) {
  if (!value_.isObject())
    faults_.push_back(
        {document_.LineOf(value_), path_, "must be an object", "write { … }"});
}

std::string ObjectReader::PathOf(const char* key) const {
  return path_.empty() ? key : path_ + "." + key;
}

bool ObjectReader::Has(const char* key) const {
  return value_.isObject() && value_.isMember(key);
}

const Json::Value* ObjectReader::Find(const char* key, Presence presence) {
  known_keys_.insert(key);
  if (Has(key))
    return &value_[key];
  if (presence == Presence::kRequired && value_.isObject())
    AddFault(key, "is missing", "add it");
  return nullptr;
}

void ObjectReader::AddFault(const char* key,
                            std::string reason,
                            std::string hint) {
  const Json::Value& place = Has(key) ? value_[key] : value_;
  faults_.push_back({document_.LineOf(place), PathOf(key), std::move(reason),
                     std::move(hint)});
}

void ObjectReader::Read(const char* key, std::string& out, Presence presence) {
  const Json::Value* value = Find(key, presence);
  if (value == nullptr)
    return;
  if (!value->isString() || value->asString().empty()) {
    AddFault(key, "must be a string with at least one character",
             "write it in double quotes");
    return;
  }
  out = value->asString();
}

void ObjectReader::ReadName(const char* key,
                            std::string& out,
                            Presence presence) {
  Read(key, out, presence);
  constexpr std::string_view kAllowed =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_";
  if (out.size() > kMaxNameLength ||
      out.find_first_not_of(kAllowed) != std::string::npos)
    AddFault(key,
             "may only hold letters, digits, dots, dashes and underscores,"
             " 64 at most",
             "choose another name");
}

void ObjectReader::Read(const char* key, bool& out, Presence presence) {
  const Json::Value* value = Find(key, presence);
  if (value == nullptr)
    return;
  if (!value->isBool()) {
    AddFault(key, "must be true or false", "write it without quotes");
    return;
  }
  out = value->asBool();
}

void ObjectReader::Read(const char* key,
                        uint32_t& out,
                        std::pair<uint32_t, uint32_t> range,
                        Presence presence) {
  const Json::Value* value = Find(key, presence);
  if (value == nullptr)
    return;
  if (!value->isUInt() || value->asUInt() < range.first ||
      value->asUInt() > range.second) {
    AddFault(key,
             "must be a whole number from " + std::to_string(range.first) +
                 " to " + std::to_string(range.second),
             "choose a number in that range");
    return;
  }
  out = value->asUInt();
}

void ObjectReader::Read(const char* key,
                        double& out,
                        std::pair<double, double> range,
                        Presence presence) {
  const Json::Value* value = Find(key, presence);
  if (value == nullptr)
    return;
  if (!value->isNumeric() || value->asDouble() < range.first ||
      value->asDouble() > range.second) {
    AddFault(key,
             "must be a number from " + std::to_string(range.first) + " to " +
                 std::to_string(range.second),
             "choose a number in that range");
    return;
  }
  out = value->asDouble();
}

void ObjectReader::Read(const char* key,
                        std::chrono::milliseconds& out,
                        std::chrono::milliseconds longest,
                        Presence presence) {
  auto count = static_cast<uint32_t>(out.count());
  Read(key, count, {1U, static_cast<uint32_t>(longest.count())}, presence);
  out = std::chrono::milliseconds(count);
}

void ObjectReader::ReadObjects(const char* key,
                               Presence presence,
                               const std::function<void(ObjectReader&)>& read) {
  const Json::Value* value = Find(key, presence);
  if (value == nullptr)
    return;
  if (!value->isArray()) {
    AddFault(key, "must be an array", "write [ … ]");
    return;
  }
  for (Json::ArrayIndex i = 0; i < value->size(); ++i) {
    ObjectReader reader(document_, (*value)[i],
                        PathOf(key) + "[" + std::to_string(i) + "]", faults_);
    read(reader);
    reader.Finish();
  }
}

void ObjectReader::ReadObject(const char* key,
                              Presence presence,
                              const std::function<void(ObjectReader&)>& read) {
  const Json::Value* value = Find(key, presence);
  if (value == nullptr)
    return;
  ObjectReader reader(document_, *value, PathOf(key), faults_);
  read(reader);
  reader.Finish();
}

void ObjectReader::ReadStrings(const char* key,
                               std::vector<std::string>& out,
                               Presence presence) {
  const Json::Value* value = Find(key, presence);
  if (value == nullptr)
    return;
  if (!value->isArray()) {
    AddFault(key, "must be an array of strings", "write [\"…\", \"…\"]");
    return;
  }
  for (const Json::Value& element : *value) {
    if (!element.isString() || element.asString().empty()) {
      AddFault(key, "must be an array of strings", "write [\"…\", \"…\"]");
      return;
    }
    out.push_back(element.asString());
  }
}

void ObjectReader::Finish() {
  if (!value_.isObject())
    return;
  for (const std::string& key : value_.getMemberNames()) {
    if (!known_keys_.contains(key))
      AddFault(key.c_str(), "unknown field",
               "remove it or correct its spelling");
  }
}

}  // namespace bilberry::declare
