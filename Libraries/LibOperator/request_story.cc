#include "LibOperator/request_story.h"

#include <algorithm>
#include <iomanip>
#include <optional>
#include <set>
#include <sstream>

#include "LibTransport/json_text.h"

namespace bilberry::operators {

namespace {

// What happened this long before a request may still be its cause.
constexpr int64_t kBeforeMs = 2000;
constexpr size_t kMostWarnings = 30;
constexpr int64_t kMsPerSecond = 1000;

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

StoryLine LineOf(const Json::Value& object, std::string origin) {
  StoryLine line;
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

void PrintLine(const StoryLine& line, int64_t begin, std::ostream& out) {
  const double seconds =
      static_cast<double>(line.unix_ms - begin) / kMsPerSecond;
  out << std::showpos << std::fixed << std::setprecision(3) << std::setw(8)
      << seconds << std::noshowpos << " s  " << line.origin << "  "
      << line.event;
  for (const auto& [name, value] : line.facts)
    out << "  " << name << "=" << value;
  out << "\n";
}

void SortByTime(std::vector<StoryLine>& lines) {
  std::ranges::stable_sort(lines, {}, &StoryLine::unix_ms);
}

}  // namespace

void RequestStory::Read(std::istream& log, const std::string& file) {
  for (std::string text; std::getline(log, text);) {
    const size_t begin = text.find('{');
    if (begin == std::string::npos)
      continue;
    const std::string_view line_text = text;
    const auto object = transport::ParseCompact(line_text.substr(begin));
    if (!object || !IsLine(*object))
      continue;
    const bool tells_of_it = TextOf((*object)["request"]) == request_id_ ||
                             Lists(TextOf((*object)["requests"]), request_id_);
    StoryLine line = LineOf(*object, OriginOf(text.substr(0, begin), file));
    if (tells_of_it)
      told_.push_back(std::move(line));
    else if (!line.is_routine && !object->isMember("request"))
      warnings_.push_back(std::move(line));
  }
}

std::string RequestStory::Print() const {
  std::vector<StoryLine> told = told_;
  SortByTime(told);
  std::ostringstream out;
  out << "request " << request_id_ << "\n";
  if (told.empty())
    return out.str();
  const int64_t begin = told.front().unix_ms;
  std::set<std::string> origins;
  for (const StoryLine& line : told) {
    PrintLine(line, begin, out);
    origins.insert(line.origin);
  }
  std::vector<StoryLine> around;
  std::ranges::copy_if(
      warnings_, std::back_inserter(around), [&](const StoryLine& it) {
        return origins.contains(it.origin) && it.unix_ms >= begin - kBeforeMs &&
               it.unix_ms <= told.back().unix_ms;
      });
  if (around.empty())
    return out.str();
  SortByTime(around);
  out << "what these hosts warned of meanwhile:\n";
  for (size_t i = 0; i < std::min(around.size(), kMostWarnings); ++i)
    PrintLine(around[i], begin, out);
  if (around.size() > kMostWarnings)
    out << "and " << around.size() - kMostWarnings << " more\n";
  return out.str();
}

}  // namespace bilberry::operators
