#include "LibOperator/request_history.h"

#include <algorithm>
#include <charconv>
#include <iomanip>
#include <optional>
#include <sstream>

#include "LibTransport/json_text.h"

namespace bilberry::operators {

namespace {

// What happened this long before a request may still be its cause.
constexpr int64_t kBeforeMs = 2000;
constexpr size_t kMostLines = 30;  // Of what names no request.
constexpr int64_t kMsPerSecond = 1000;
// Names of EVENTS.
constexpr const char* kLeavingEvent = "endpoint-leaving";
constexpr const char* kQuietEvent = "endpoint-quiet";
constexpr const char* kLimitEvent = "endpoint-limit";
constexpr const char* kColdEvent = "endpoint-cold";

// Empty when it is no text.
std::string TextOf(const Json::Value& value) {
  return value.isString() ? value.asString() : "";
}

bool IsOwnField(const std::string& name) {
  return name == "unix_ms" || name == "at_us" || name == "event" ||
         name == "name" || name == "severity" || name == "request" ||
         name == "requests";
}

// Whether a list with spaces between holds the text.
bool Lists(const std::string& list, const std::string& text) {
  std::istringstream words(list);
  for (std::string word; words >> word;) {
    if (word == text)
      return true;
  }
  return false;
}

std::string Trimmed(const std::string& text) {
  const size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string::npos)
    return "";
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

// The last word before the object: collectors put the host there.
std::string OriginOf(const std::string& prefix, const std::string& file) {
  const std::string text = Trimmed(prefix);
  if (text.empty())
    return file;
  return text.substr(text.find_last_of(" \t") + 1);
}

LogRecord LineOf(const Json::Value& object, std::string origin) {
  LogRecord line;
  line.unix_ms = object["unix_ms"].asInt64();
  line.origin = std::move(origin);
  line.event = object["name"].asString();
  line.is_routine = object["severity"].asString() == "info";
  for (const std::string& name : object.getMemberNames()) {
    std::string text = TextOf(object[name]);
    if (!IsOwnField(name) && !text.empty())
      line.facts.emplace_back(name, std::move(text));
  }
  return line;
}

bool IsLine(const Json::Value& object) {
  return object.isObject() && object["unix_ms"].isInt64() &&
         object["name"].isString() && object["severity"].isString();
}

void PrintLine(const LogRecord& line, int64_t begin, std::ostream& out) {
  const double seconds =
      static_cast<double>(line.unix_ms - begin) / kMsPerSecond;
  out << std::showpos << std::fixed << std::setprecision(3) << std::setw(8)
      << seconds << std::noshowpos << " s  " << line.origin << "  "
      << line.event;
  for (const auto& [name, value] : line.facts)
    out << "  " << name << "=" << value;
  out << "\n";
}

void SortByTime(std::vector<LogRecord>& lines) {
  std::ranges::stable_sort(lines, {}, &LogRecord::unix_ms);
}

// 0 if the line has no such fact, or one that is no number.
int64_t FactOf(const LogRecord& line, const std::string& name) {
  const auto it = std::ranges::find(
      line.facts, name, &std::pair<std::string, std::string>::first);
  int64_t number = 0;
  if (it != line.facts.end())
    std::from_chars(it->second.data(), it->second.data() + it->second.size(),
                    number);
  return number;
}

void PrintFirst(const char* title,
                std::vector<LogRecord> lines,
                int64_t begin,
                std::ostream& out) {
  if (lines.empty())
    return;
  SortByTime(lines);
  out << title << "\n";
  for (size_t i = 0; i < std::min(lines.size(), kMostLines); ++i)
    PrintLine(lines[i], begin, out);
  if (lines.size() > kMostLines)
    out << "and " << lines.size() - kMostLines << " more\n";
}

// The latest ones: those long before are likelier to be over.
void PrintLast(const char* title,
               std::vector<LogRecord> lines,
               int64_t begin,
               std::ostream& out) {
  SortByTime(lines);
  if (lines.size() > kMostLines)
    lines.erase(lines.begin(), lines.end() - kMostLines);
  PrintFirst(title, std::move(lines), begin, out);
}

}  // namespace

void RequestHistory::Read(std::istream& log, const std::string& file) {
  for (std::string text; std::getline(log, text);) {
    const size_t begin = text.find('{');
    if (begin == std::string::npos)
      continue;
    const std::string_view line_text = text;
    const auto object = transport::ParseJsonValue(line_text.substr(begin));
    if (!object || !IsLine(*object))
      continue;
    const bool tells_of_it = TextOf((*object)["request"]) == request_id_ ||
                             Lists(TextOf((*object)["requests"]), request_id_);
    LogRecord line = LineOf(*object, OriginOf(text.substr(0, begin), file));
    if (tells_of_it)
      told_.push_back(std::move(line));
    else if (line.event == kLeavingEvent || line.event == kQuietEvent ||
             line.event == kLimitEvent || line.event == kColdEvent)
      notices_.push_back(std::move(line));
    else if (!line.is_routine && !object->isMember("request"))
      warnings_.push_back(std::move(line));
  }
}

// An endpoint that leaves stays away, and a limit holds until another is named;
// a quiet time and a cold one have an end.
bool RequestHistory::IsInForce(const LogRecord& notice, const Span& span) {
  if (!span.origins.contains(notice.origin) || notice.unix_ms > span.end_ms)
    return false;
  const bool has_end =
      notice.event == kQuietEvent || notice.event == kColdEvent;
  return !has_end || notice.unix_ms + FactOf(notice, "for_ms") >= span.begin_ms;
}

bool RequestHistory::IsAround(const LogRecord& warning, const Span& span) {
  return span.origins.contains(warning.origin) &&
         warning.unix_ms >= span.begin_ms - kBeforeMs &&
         warning.unix_ms <= span.end_ms;
}

std::string RequestHistory::Print() const {
  std::vector<LogRecord> told = told_;
  SortByTime(told);
  std::ostringstream out;
  out << "request " << request_id_ << "\n";
  if (told.empty())
    return out.str();
  Span span{told.front().unix_ms, told.back().unix_ms, {}};
  for (const LogRecord& line : told) {
    PrintLine(line, span.begin_ms, out);
    span.origins.insert(line.origin);
  }
  std::vector<LogRecord> in_force;
  std::ranges::copy_if(
      notices_, std::back_inserter(in_force),
      [&span](const LogRecord& it) { return IsInForce(it, span); });
  PrintLast("what endpoints had said of themselves to these hosts:",
            std::move(in_force), span.begin_ms, out);
  std::vector<LogRecord> around;
  std::ranges::copy_if(
      warnings_, std::back_inserter(around),
      [&span](const LogRecord& it) { return IsAround(it, span); });
  PrintFirst("what these hosts warned of meanwhile:", std::move(around),
             span.begin_ms, out);
  return out.str();
}

}  // namespace bilberry::operators
