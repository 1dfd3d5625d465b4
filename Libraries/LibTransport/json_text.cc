#include "LibTransport/json_text.h"

#include <json/writer.h>

#include "LibDeclare/json_document.h"

namespace bilberry::transport {

std::string PrintCompact(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["commentStyle"] = "None";
  return Json::writeString(builder, value);
}

std::optional<Json::Value> ParseCompact(std::string_view text) {
  declare::Faults faults;
  auto document = declare::ParseJson(text, faults);
  if (!document)
    return std::nullopt;
  return std::move(document->root);
}

}  // namespace bilberry::transport
