#include "LibTransport/json_array_splitter.h"

namespace bilberry::transport {

namespace {

// Scans a JSON text by its brackets, commas and strings, without parsing
// values.
class Scanner {
 public:
  Scanner(std::string_view text, size_t at) : text_(text), at_(at) {}

  size_t at() const { return at_; }
  int depth() const { return depth_; }
  bool is_at_end() const { return at_ >= text_.size(); }
  char current() const { return text_[at_]; }

  // Skips the current character, or the whole string that begins here.
  void Step() {
    if (current() == '"')
      SkipString();
    else if (current() == '[' || current() == '{')
      ++depth_;
    else if (current() == ']' || current() == '}')
      --depth_;
    ++at_;
  }

 private:
  // Moves to the closing quote of the current string.
  void SkipString() {
    for (++at_; !is_at_end() && current() != '"'; ++at_) {
      if (current() == '\\')
        ++at_;
    }
  }

  std::string_view text_;
  size_t at_;
  int depth_ = 0;
};

constexpr std::string_view kWhitespace = " \t\r\n";

bool IsWhitespace(std::string_view text) {
  return text.find_first_not_of(kWhitespace) == std::string_view::npos;
}

// Returns the position after the opening bracket of the member's array.
std::optional<size_t> FindArray(std::string_view object,
                                const std::string& name) {
  Scanner scanner(object, 0);
  while (!scanner.is_at_end()) {
    const bool is_name =
        scanner.depth() == 1 && object.substr(scanner.at()).starts_with(name);
    scanner.Step();
    if (!is_name)
      continue;
    size_t at = object.find_first_not_of(kWhitespace, scanner.at());
    if (at == std::string_view::npos || object[at] != ':')
      continue;
    at = object.find_first_not_of(kWhitespace, at + 1);
    if (at != std::string_view::npos && object[at] == '[')
      return at + 1;
  }
  return std::nullopt;
}

}  // namespace

std::optional<SplitArray> SplitArrayMember(std::string_view object,
                                           std::string_view member) {
  const auto begin = FindArray(object, '"' + std::string(member) + '"');
  if (!begin)
    return std::nullopt;
  SplitArray split;
  size_t element = *begin;
  for (Scanner scanner(object, element); !scanner.is_at_end(); scanner.Step()) {
    const bool is_last = scanner.current() == ']' && scanner.depth() == 0;
    const bool is_between = scanner.current() == ',' && scanner.depth() == 0;
    if (!is_last && !is_between)
      continue;
    const std::string_view text =
        object.substr(element, scanner.at() - element);
    if (!is_last || !split.elements.empty() || !IsWhitespace(text))
      split.elements.push_back(text);
    element = scanner.at() + 1;
    if (!is_last)
      continue;
    split.rest = std::string(object.substr(0, *begin)) +
                 std::string(object.substr(scanner.at()));
    return split;
  }
  return std::nullopt;
}

}  // namespace bilberry::transport
