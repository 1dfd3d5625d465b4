#include "LibDeclare/json_document.h"

#include <json/reader.h>

#include <algorithm>
#include <memory>

namespace bilberry::declare {

namespace {

int LineAt(std::string_view text, ptrdiff_t offset) {
  const auto end =
      text.begin() + std::clamp<ptrdiff_t>(offset, 0, std::ssize(text));
  return 1 + static_cast<int>(std::count(text.begin(), end, '\n'));
}

Json::CharReaderBuilder StrictBuilder() {
  Json::CharReaderBuilder builder;
  builder["collectComments"] = false;
  builder["allowComments"] = true;
  builder["allowTrailingCommas"] = false;
  builder["rejectDupKeys"] = true;
  builder["failIfExtra"] = true;
  builder["strictRoot"] = true;
  builder["stackLimit"] = 64;
  return builder;
}

}  // namespace

int JsonDocument::LineOf(const Json::Value& value) const {
  return LineAt(text, value.getOffsetStart());
}

std::optional<JsonDocument> ParseJson(std::string_view text, Faults& faults) {
  if (text.size() > kMaxDocumentBytes) {
    faults.push_back(
        {0, "", "the document is longer than 4 MiB", "split the deployment"});
    return std::nullopt;
  }
  JsonDocument document;
  document.text = std::string(text);
  const std::unique_ptr<Json::CharReader> reader(
      StrictBuilder().newCharReader());
  std::string errors;
  // jsoncpp throws when the nesting exceeds its stack limit.
  try {
    const char* begin = document.text.data();
    if (reader->parse(begin, begin + document.text.size(), &document.root,
                      &errors))
      return document;
  } catch (const Json::Exception& exception) {
    errors = exception.what();
  }
  // The format of jsoncpp's message is "* Line 3, Column 5\n  reason\n".
  int line = 0;
  constexpr std::string_view kLinePrefix = "* Line ";
  if (errors.starts_with(kLinePrefix))
    line = std::atoi(errors.c_str() + kLinePrefix.size());
  std::ranges::replace(errors, '\n', ' ');
  faults.push_back({line, "", "not valid JSON: " + errors,
                    "the mistake may be on an earlier line"});
  return std::nullopt;
}

}  // namespace bilberry::declare
