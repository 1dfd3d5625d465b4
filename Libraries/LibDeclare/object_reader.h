#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibDeclare/fault.h"
#include "LibDeclare/json_document.h"

namespace bilberry::declare {

// Whether a field may be omitted.
enum class Presence { kRequired, kOptional };

// Reads the fields of one JSON object and adds a fault with line and field for
// each error. A malformed field leaves its target unchanged. Finish() must be
// called last and rejects unknown fields.
class ObjectReader {
 public:
  // `path` names the object in faults, for example "pools[2]".
  ObjectReader(const JsonDocument& document,
               const Json::Value& value,
               std::string path,
               Faults& faults);

  void Read(const char* key, std::string& out, Presence presence);
  // Reads a name: up to 64 letters, digits, dots, dashes and underscores.
  void ReadName(const char* key, std::string& out, Presence presence);
  void Read(const char* key, bool& out, Presence presence);
  // Reads a number within `range`, both ends included.
  void Read(const char* key,
            uint32_t& out,
            std::pair<uint32_t, uint32_t> range,
            Presence presence);
  void Read(const char* key,
            double& out,
            std::pair<double, double> range,
            Presence presence);
  // Reads a time in milliseconds, from 1 to `longest`.
  void Read(const char* key,
            std::chrono::milliseconds& out,
            std::chrono::milliseconds longest,
            Presence presence);

  // Reads a string that names one of `choices`.
  template <typename E>
  void ReadChoice(const char* key,
                  E& out,
                  const std::vector<std::pair<std::string_view, E>>& choices,
                  Presence presence) {
    std::string text;
    const size_t fault_count = faults_.size();
    Read(key, text, presence);
    if (faults_.size() != fault_count || !Has(key))
      return;
    std::string expected;
    for (const auto& [name, choice] : choices) {
      if (text == name) {
        out = choice;
        return;
      }
      expected += expected.empty() ? "" : ", ";
      expected += name;
    }
    AddFault(key, "unknown value \"" + text + "\"", "one of " + expected);
  }

  // Calls `read` for each element of an array of objects.
  void ReadObjects(const char* key,
                   Presence presence,
                   const std::function<void(ObjectReader&)>& read);
  void ReadObject(const char* key,
                  Presence presence,
                  const std::function<void(ObjectReader&)>& read);
  void ReadStrings(const char* key,
                   std::vector<std::string>& out,
                   Presence presence);

  void AddFault(const char* key, std::string reason, std::string hint);
  bool Has(const char* key) const;
  void Finish();

 private:
  // Returns null if the field is missing, and adds a fault if it is required.
  const Json::Value* Find(const char* key, Presence presence);
  std::string PathOf(const char* key) const;

  const JsonDocument& document_;
  const Json::Value& value_;
  std::string path_;
  Faults& faults_;
  std::set<std::string> known_keys_;
};

}  // namespace bilberry::declare
