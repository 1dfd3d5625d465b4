#pragma once

#include <json/value.h>

#include <string>
#include <vector>

#include "LibTransport/json_text.h"

namespace bilberry::transport {

// Far deeper than any nesting limit of the JSON reader.
inline constexpr size_t kNestingLevels = 100'000;

inline std::string NestedObjects() {
  std::string text;
  for (size_t i = 0; i < kNestingLevels; ++i)
    text += R"({"":)";
  return text + "0" + std::string(kNestingLevels, '}');
}

// JSON values that may stand where a codec expects another: wrong types,
// numbers out of range, deep nesting and malformed addresses.
inline std::vector<std::string> UnexpectedJsonValues() {
  return {std::string(kNestingLevels, '[') + std::string(kNestingLevels, ']'),
          NestedObjects(),
          "1e999",
          "-1e999",
          "1e300",
          "1e30",
          "99999999999999999999",
          "18446744073709551615",
          "9223372036854775807",
          "-9223372036854775808",
          "4294967296",
          "65616",
          "-80",
          "0",
          "0.5",
          "null",
          "true",
          "[]",
          "{}",
          "[null]",
          "[[]]",
          "[1]",
          R"([{"":1}])",
          R"("")",
          R"("\u0000")",
          R"("\ud800")",
          R"("x\r\nName: value")",
          R"("10.0.0.1")",
          R"("10.0.0.1:")",
          R"("10.0.0.1:0")",
          R"("10.0.0.1:-80")",
          R"("10.0.0.1:65536")",
          R"("10.0.0.1:1000000000")",
          R"("10.0.0.1:80\u0000")",
          R"("endpoint.example:80")"};
}

inline void AppendUnexpectedVariants(Json::Value& root,
                                     Json::Value& node,
                                     std::vector<std::string>& variants) {
  constexpr const char* kPlaceholder = "placeholder of the replaced value";
  const Json::Value kept = node;
  node = kPlaceholder;
  const std::string text = PrintCompact(root);
  node = kept;
  const std::string quoted_placeholder =
      std::string("\"") + kPlaceholder + "\"";
  const size_t at = text.find(quoted_placeholder);
  for (const std::string& odd : UnexpectedJsonValues())
    variants.push_back(
        std::string(text).replace(at, quoted_placeholder.size(), odd));
  if (node.isObject()) {
    for (const std::string& name : node.getMemberNames()) {
      const Json::Value member = node[name];
      node.removeMember(name);
      variants.push_back(PrintCompact(root));
      node[name] = member;
      AppendUnexpectedVariants(root, node[name], variants);
    }
  } else if (node.isArray()) {
    for (Json::Value& it : node)
      AppendUnexpectedVariants(root, it, variants);
  }
}

// Returns variants of a JSON text in which one value is replaced by an
// unexpected one or left out.
inline std::vector<std::string> UnexpectedVariants(const std::string& text) {
  auto root = ParseJsonValue(text);
  std::vector<std::string> variants;
  AppendUnexpectedVariants(*root, *root, variants);
  return variants;
}

}  // namespace bilberry::transport
