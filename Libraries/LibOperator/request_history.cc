#include "LibOperator/request_history.h"

#include <algorithm>
#include <charconv>
#include <iomanip>
#include <optional>
#include <sstream>

#include "LibTransport/json_text.h"

namespace bilberry::operators {

namespace {

// Warnings from this long before a request are shown as possible causes.
constexpr int64_t kLookbackMs = 2000;
// Limit of printed records that name no request.
constexpr size_t kMaxRecords = 30;
constexpr int64_t kMsPerSecond = 1000;
// Names of log events, listed in EVENTS.
constexpr const char* kLeavingEvent = "endpoint-leaving";
constexpr const char* kQuietEvent = "endpoint-quiet";
constexpr const char* kLimitEvent = "endpoint-limit";
constexpr const char* kColdEvent = "endpoint-cold";
constexpr const char* kCrashedEvent = "endpoint-crashed";
constexpr const char* kQuarantinedEvent = "request-quarantined";
// Fields of such events and of a request's records.
constexpr const char* kDigestField = "digest";
constexpr const char* kDigestsField = "digests";

// Empty if the value isn't a string.
std::string TextOf(const Json::Value& value) {
  return value.isString() ? value.asString() : "";
}

bool IsStandardField(const std::string& name) {
  return name == "unix_ms" || name == "at_us" || name == "event" ||
         name == "name" || name == "severity" || name == "request" ||
         name == "requests";
}

// Whether the space-separated list contains the text.
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

// The last word before the JSON object, where log collectors put the host;
// otherwise the file.
std::string OriginOf(const std::string& prefix, const std::string& file) {
  const std::string text = Trimmed(prefix);
  if (text.empty())
    return file;
  return text.substr(text.find_last_of(" \t") + 1);
}

LogRecord RecordOf(const Json::Value& object, std::string origin) {
  LogRecord record;
  record.unix_ms = object["unix_ms"].asInt64();
  record.origin = std::move(origin);
  record.event = object["name"].asString();
  record.is_routine = object["severity"].asString() == "info";
  for (const std::string& name : object.getMemberNames()) {
    std::string text = TextOf(object[name]);
    if (!IsStandardField(name) && !text.empty())
      record.fields.emplace_back(name, std::move(text));
  }
  return record;
}

bool IsLogRecord(const Json::Value& object) {
  return object.isObject() && object["unix_ms"].isInt64() &&
         object["name"].isString() && object["severity"].isString();
}

void PrintRecord(const LogRecord& record, int64_t begin, std::ostream& out) {
  const double seconds =
      static_cast<double>(record.unix_ms - begin) / kMsPerSecond;
  out << std::showpos << std::fixed << std::setprecision(3) << std::setw(8)
      << seconds << std::noshowpos << " s  " << record.origin << "  "
      << record.event;
  for (const auto& [name, value] : record.fields)
    out << "  " << name << "=" << value;
  out << "\n";
}

void SortByTime(std::vector<LogRecord>& records) {
  std::ranges::stable_sort(records, {}, &LogRecord::unix_ms);
}

// Empty if the record has no such field.
std::string TextFieldOf(const LogRecord& record, const std::string& name) {
  const auto it = std::ranges::find(
      record.fields, name, &std::pair<std::string, std::string>::first);
  return it == record.fields.end() ? "" : it->second;
}

// 0 if the record has no such field, or if its value isn't a number.
int64_t FieldOf(const LogRecord& record, const std::string& name) {
  const std::string text = TextFieldOf(record, name);
  int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// The digest of the request's content; empty if no record tells it.
std::string DigestOf(const std::vector<LogRecord>& records) {
  for (const LogRecord& record : records) {
    std::string digest = TextFieldOf(record, kDigestField);
    if (!digest.empty())
      return digest;
  }
  return "";
}

void PrintFirst(const char* title,
                std::vector<LogRecord> records,
                int64_t begin,
                std::ostream& out) {
  if (records.empty())
    return;
  SortByTime(records);
  out << title << "\n";
  for (size_t i = 0; i < std::min(records.size(), kMaxRecords); ++i)
    PrintRecord(records[i], begin, out);
  if (records.size() > kMaxRecords)
    out << "and " << records.size() - kMaxRecords << " more\n";
}

// Prints the latest records because earlier notices are more likely to have
// expired.
void PrintLast(const char* title,
               std::vector<LogRecord> records,
               int64_t begin,
               std::ostream& out) {
  SortByTime(records);
  if (records.size() > kMaxRecords)
    records.erase(records.begin(), records.end() - kMaxRecords);
  PrintFirst(title, std::move(records), begin, out);
}

}  // namespace

void RequestHistory::Read(std::istream& log, const std::string& file) {
  for (std::string text; std::getline(log, text);) {
    const size_t begin = text.find('{');
    if (begin == std::string::npos)
      continue;
    const std::string_view line_text = text;
    const auto object = transport::ParseJsonValue(line_text.substr(begin));
    if (!object || !IsLogRecord(*object))
      continue;
    const bool is_about_request =
        TextOf((*object)["request"]) == request_id_ ||
        Lists(TextOf((*object)["requests"]), request_id_);
    LogRecord record = RecordOf(*object, OriginOf(text.substr(0, begin), file));
    if (is_about_request)
      records_.push_back(std::move(record));
    else if (record.event == kLeavingEvent || record.event == kQuietEvent ||
             record.event == kLimitEvent || record.event == kColdEvent)
      notices_.push_back(std::move(record));
    else if (record.event == kCrashedEvent || record.event == kQuarantinedEvent)
      crashes_.push_back(std::move(record));
    else if (!record.is_routine && !object->isMember("request"))
      warnings_.push_back(std::move(record));
  }
}

// A departure is final and a limit holds until another one is named;
// Retry-After and cold periods expire.
bool RequestHistory::IsInForce(const LogRecord& notice, const Span& span) {
  if (!span.origins.contains(notice.origin) || notice.unix_ms > span.end_ms)
    return false;
  const bool has_end =
      notice.event == kQuietEvent || notice.event == kColdEvent;
  return !has_end ||
         notice.unix_ms + FieldOf(notice, "for_ms") >= span.begin_ms;
}

bool RequestHistory::IsOfDigest(const LogRecord& record,
                                const std::string& digest) {
  return !digest.empty() && (TextFieldOf(record, kDigestField) == digest ||
                             Lists(TextFieldOf(record, kDigestsField), digest));
}

bool RequestHistory::IsNear(const LogRecord& warning, const Span& span) {
  return span.origins.contains(warning.origin) &&
         warning.unix_ms >= span.begin_ms - kLookbackMs &&
         warning.unix_ms <= span.end_ms;
}

std::string RequestHistory::Print() const {
  std::vector<LogRecord> records = records_;
  SortByTime(records);
  std::ostringstream out;
  out << "request " << request_id_ << "\n";
  if (records.empty())
    return out.str();
  Span span{records.front().unix_ms, records.back().unix_ms, {}};
  for (const LogRecord& record : records) {
    PrintRecord(record, span.begin_ms, out);
    span.origins.insert(record.origin);
  }
  std::vector<LogRecord> in_force;
  std::ranges::copy_if(
      notices_, std::back_inserter(in_force),
      [&span](const LogRecord& it) { return IsInForce(it, span); });
  PrintLast("what endpoints had said of themselves to these hosts:",
            std::move(in_force), span.begin_ms, out);
  std::vector<LogRecord> crashes;
  std::ranges::copy_if(crashes_, std::back_inserter(crashes),
                       [digest = DigestOf(records)](const LogRecord& it) {
                         return IsOfDigest(it, digest);
                       });
  PrintFirst("endpoints that crashed under the same request, at all hosts:",
             std::move(crashes), span.begin_ms, out);
  std::vector<LogRecord> around;
  std::ranges::copy_if(
      warnings_, std::back_inserter(around),
      [&span](const LogRecord& it) { return IsNear(it, span); });
  PrintFirst("what these hosts warned of meanwhile:", std::move(around),
             span.begin_ms, out);
  return out.str();
}

}  // namespace bilberry::operators
