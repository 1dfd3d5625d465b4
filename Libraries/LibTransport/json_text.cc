#include "LibTransport/json_text.h"

#include <json/writer.h>
#include <algorithm>

#include "LibDeclare/json_document.h"

namespace bilberry::transport {

std::string PrintCompact(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["commentStyle"] = "None";
  return Json::writeString(builder, value);
}

bool HasStringMembers(const Json::Value& object,
                      std::initializer_list<const char*> keys) {
  return std::ranges::all_of(
      keys, [&](const char* key) { return object[key].isString(); });
}

std::optional<base::Duration> ParseMicroseconds(const Json::Value& value) {
  constexpr base::Duration kLongest = std::chrono::hours(24);
  if (!value.isInt64())
    return std::nullopt;
  return std::clamp(base::Duration(value.asInt64()), -kLongest, kLongest);
}

std::optional<Json::Value> ParseJsonValue(std::string_view text) {
  declare::Faults faults;
  auto document = declare::ParseJson(text, faults);
  if (!document)
    return std::nullopt;
  return std::move(document->root);
}

}  // namespace bilberry::transport
