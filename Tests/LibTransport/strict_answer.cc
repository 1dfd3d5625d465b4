#include "strict_answer.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <limits>
#include <vector>

namespace bilberry::transport {

namespace {

// Reads from the front of a text; each function returns whether it could.
class Scanner {
 public:
  explicit Scanner(std::string_view text) : rest_(text) {}

  std::string_view rest() const { return rest_; }
  bool is_empty() const { return rest_.empty(); }

  // The bytes before the next line end, which must be CRLF.
  std::optional<std::string_view> Line() {
    const size_t end = rest_.find('\n');
    if (end == std::string_view::npos || end == 0 || rest_[end - 1] != '\r')
      return std::nullopt;
    const std::string_view line = rest_.substr(0, end - 1);
    rest_.remove_prefix(end + 1);
    return line;
  }
  std::optional<std::string_view> Bytes(uint64_t n) {
    if (rest_.size() < n)
      return std::nullopt;
    const std::string_view bytes = rest_.substr(0, n);
    rest_.remove_prefix(n);
    return bytes;
  }
  bool Skip(std::string_view text) {
    if (!rest_.starts_with(text))
      return false;
    rest_.remove_prefix(text.size());
    return true;
  }
  void SkipBlanks() {
    rest_.remove_prefix(std::min(rest_.find_first_not_of(" \t"), rest_.size()));
  }
  bool SkipToken() {
    size_t n = 0;
    while (n < rest_.size() && base::IsToken(rest_.substr(n, 1)))
      ++n;
    rest_.remove_prefix(n);
    return n > 0;
  }
  bool SkipQuoted() {
    if (!Skip("\""))
      return false;
    while (!rest_.empty()) {
      if (Skip("\""))
        return true;
      if (rest_[0] == '\\')
        rest_.remove_prefix(1);
      if (rest_.empty() || !base::IsHeaderValue(rest_.substr(0, 1)))
        return false;
      rest_.remove_prefix(1);
    }
    return false;
  }

 private:
  std::string_view rest_;
};

struct Head {
  int status = 0;
  bool is_http_1_0 = false;
  HttpHeaders headers;
};

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

bool ReadStatusLine(std::string_view line, Head& head) {
  Scanner scanner(line);
  if (!scanner.Skip("HTTP/1."))
    return false;
  head.is_http_1_0 = scanner.Skip("0");
  if (!head.is_http_1_0 && !scanner.Skip("1"))
    return false;
  if (!scanner.Skip(" "))
    return false;
  const auto code = scanner.Bytes(3);
  if (!code || !std::ranges::all_of(*code, IsDigit))
    return false;
  head.status = std::stoi(std::string(*code));
  const bool has_reason = scanner.Skip(" ");
  return (has_reason || scanner.is_empty()) &&
         base::IsHeaderValue(scanner.rest()) && head.status >= 100 &&
         head.status < 600 && head.status != 101;
}

bool ReadHeaders(Scanner& scanner, HttpHeaders& headers) {
  for (;;) {
    const auto line = scanner.Line();
    if (!line)
      return false;
    if (line->empty())
      return true;
    const size_t colon = line->find(':');
    const std::string_view name = line->substr(0, colon);
    if (colon == std::string_view::npos || !base::IsToken(name))
      return false;
    std::string_view value = line->substr(colon + 1);
    if (!base::IsHeaderValue(value))
      return false;
    value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
    value = value.substr(0, value.find_last_not_of(" \t") + 1);
    headers.push_back({std::string(name), std::string(value)});
  }
}

bool ReadExtensions(Scanner& scanner) {
  while (!scanner.is_empty()) {
    scanner.SkipBlanks();
    if (!scanner.Skip(";"))
      return false;
    scanner.SkipBlanks();
    if (!scanner.SkipToken())
      return false;
    Scanner value = scanner;
    value.SkipBlanks();
    if (!value.Skip("="))
      continue;
    value.SkipBlanks();
    if (!value.SkipQuoted() && !value.SkipToken())
      return false;
    scanner = value;
  }
  return true;
}

bool ReadChunks(Scanner& scanner, HttpResponse& answer) {
  for (;;) {
    const auto line = scanner.Line();
    if (!line)
      return false;
    uint64_t size = 0;
    const char* end = line->data() + line->size();
    const auto [rest, ec] = std::from_chars(line->data(), end, size, 16);
    Scanner extensions({rest, static_cast<size_t>(end - rest)});
    if (ec != std::errc() || !ReadExtensions(extensions))
      return false;
    if (size == 0)
      return ReadHeaders(scanner, answer.headers);
    const auto bytes = scanner.Bytes(size);
    if (!bytes || !scanner.Skip("\r\n"))
      return false;
    answer.body += *bytes;
  }
}

bool ReadBody(Scanner& scanner, bool is_http_1_0, HttpResponse& answer) {
  const std::string* length = FindHeader(answer.headers, "Content-Length");
  const std::string* encoding = FindHeader(answer.headers, "Transfer-Encoding");
  if (encoding != nullptr &&
      (is_http_1_0 || !base::IsSameHeader(*encoding, "chunked")))
    return false;
  uint64_t size = 0;
  if (length != nullptr) {
    const char* end = length->data() + length->size();
    const auto [rest, ec] = std::from_chars(length->data(), end, size);
    if (ec != std::errc() || rest != end ||
        size > static_cast<uint64_t>(std::numeric_limits<int64_t>::max()))
      return false;
  }
  if (answer.status == 204 || answer.status == 304)
    return true;
  if (encoding != nullptr)
    return ReadChunks(scanner, answer);
  const auto bytes = length != nullptr ? scanner.Bytes(size)
                                       : scanner.Bytes(scanner.rest().size());
  answer.body = std::string(bytes.value_or(""));
  return bytes.has_value();
}

size_t CountFraming(const HttpHeaders& headers) {
  return base::CountHeaders(headers, "Content-Length") +
         base::CountHeaders(headers, "Transfer-Encoding");
}

std::vector<std::string> LinesOf(const std::string& bytes) {
  std::vector<std::string> lines;
  for (size_t begin = 0; begin < bytes.size();) {
    const size_t end = std::min(bytes.find('\n', begin), bytes.size() - 1);
    lines.push_back(bytes.substr(begin, end + 1 - begin));
    begin = end + 1;
  }
  return lines;
}

std::string MoveLine(const std::string& bytes, base::Random& random) {
  std::vector<std::string> lines = LinesOf(bytes);
  const auto from = static_cast<ptrdiff_t>(random.Below(lines.size()));
  const std::string line = lines[static_cast<size_t>(from)];
  lines.erase(lines.begin() + from);
  lines.insert(
      lines.begin() + static_cast<ptrdiff_t>(random.Below(lines.size() + 1)),
      line);
  std::string moved;
  for (const std::string& it : lines)
    moved += it;
  return moved;
}

}  // namespace

std::optional<HttpResponse> ReadStrictly(std::string_view bytes) {
  Scanner scanner(bytes);
  for (;;) {
    Head head;
    const auto line = scanner.Line();
    if (!line || !ReadStatusLine(*line, head) ||
        !ReadHeaders(scanner, head.headers))
      return std::nullopt;
    const bool is_interim = head.status < 200;
    if (CountFraming(head.headers) > (is_interim ? 0 : 1))
      return std::nullopt;
    if (is_interim)
      continue;
    HttpResponse answer{head.status, std::move(head.headers), ""};
    if (!ReadBody(scanner, head.is_http_1_0, answer))
      return std::nullopt;
    return answer;
  }
}

std::string Mutate(std::string bytes, base::Random& random) {
  using namespace std::string_view_literals;
  constexpr std::string_view kBytes =
      "\0\x01\t\n\r !\"+-,./0123456789:;=AaFfHhTtXx\\\x7f\x80\xff"sv;
  if (bytes.empty())
    return bytes;
  const size_t place = random.Below(bytes.size());
  switch (random.Below(5)) {
    case 0:
      bytes[place] = kBytes[random.Below(kBytes.size())];
      return bytes;
    case 1:
      return bytes.erase(place, 1);
    case 2:
      return bytes.insert(place, 1, bytes[place]);
    case 3:
      return bytes.insert(place, 1, kBytes[random.Below(kBytes.size())]);
    default:
      return MoveLine(bytes, random);
  }
}

}  // namespace bilberry::transport
