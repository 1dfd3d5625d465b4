#include "LibTransport/response_head.h"

#include <array>
#include <boost/beast/http/status.hpp>
#include <ctime>

namespace bilberry::transport {

namespace {

constexpr const char* kConnection = "Connection";
constexpr const char* kDate = "Date";
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

void Append(std::string& text, std::string_view name, std::string_view value) {
  text.append(name).append(": ").append(value).append("\r\n");
}

std::string DateText(std::chrono::system_clock::time_point now) {
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 40> buf{};
  std::strftime(buf.data(), buf.size(), "%a, %d %b %Y %H:%M:%S GMT", &utc);
  return buf.data();
}

}  // namespace

bool IsBodyless(int status) {
  return status < kFirstFinalStatus || status == kNoContent ||
         status == kNotModified;
}

std::string PrintHead(const ResponseHead& head,
                      std::chrono::system_clock::time_point now) {
  const auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(head.status)));
  std::string text = "HTTP/1.1 " + std::to_string(head.status) + ' ';
  text.append(reason.data(), reason.size()).append("\r\n");
  for (const HttpHeader& it : head.headers) {
    if (base::IsToken(it.name) && base::IsHeaderValue(it.value))
      Append(text, it.name, it.value);
  }
  if (FindHeader(head.headers, kDate) == nullptr)
    Append(text, kDate, DateText(now));
  if (head.closes_connection &&
      FindHeader(head.headers, kConnection) == nullptr)
    Append(text, kConnection, "close");
  if (head.framing == BodyFraming::kLength)
    Append(text, "Content-Length", std::to_string(head.body_bytes));
  if (head.framing == BodyFraming::kChunks)
    Append(text, "Transfer-Encoding", "chunked");
  return text + "\r\n";
}

}  // namespace bilberry::transport
