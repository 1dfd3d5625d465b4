#include "LibMembership/configuration_head.h"

#include <json/value.h>
#include <json/writer.h>

#include "LibDeclare/json_document.h"

namespace bilberry::membership {

std::string SerializeHead(const ConfigurationHead& head) {
  Json::Value value;
  value["revision"] = static_cast<Json::UInt64>(head.revision);
  value["object"] = head.object;
  value["change"] = head.change;
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

base::Result<ConfigurationHead> ParseHead(std::string_view text) {
  declare::Faults faults;
  const auto document = declare::ParseJson(text, faults);
  const auto malformed = [](std::string reason) {
    return base::Error{base::ErrorCode::kMalformed, base::Step::kConfiguration,
                       "", std::move(reason)};
  };
  if (!document)
    return malformed(faults.front().reason);
  const Json::Value& root = document->root;
  if (!root.isObject() || !root["revision"].isUInt64() ||
      !root["object"].isString() || !root["change"].isString())
    return malformed("the configuration head lacks a field");
  return ConfigurationHead{base::Revision{root["revision"].asUInt64()},
                           root["object"].asString(),
                           root["change"].asString()};
}

}  // namespace bilberry::membership
