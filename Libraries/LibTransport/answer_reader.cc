#include "LibTransport/answer_reader.h"

#include <utility>

#include "LibBase/printable.h"
#include "LibTransport/message_parser.h"

namespace bilberry::transport {

namespace http = boost::beast::http;
using boost::beast::string_view;
using boost::system::error_code;

namespace {

// Bounds all heads of one answer together: interim ones ("100 Continue"), the
// final one, and the trailer or another line between the chunks of a body.
constexpr size_t kMaxHeadBytes = size_t{64} * 1024;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
// Statuses above it are invalid (RFC 9110 section 15).
constexpr int kLastStatus = 599;
// Bytes of a malformed line that are told.
constexpr size_t kToldBytes = 80;
constexpr std::string_view kLineEnd = "\r\n";
// "HTTP/1.1 200"
constexpr size_t kBytesBeforeReason = 12;

bool IsStatus(int status) {
  // Nobody here asks for another protocol.
  return status >= kFirstStatus && status <= kLastStatus &&
         status != kSwitchingProtocols;
}

}  // namespace

class AnswerReader::Parser final : public MessageParser<false> {
 public:
  explicit Parser(AnswerBody body) : MessageParser(kMaxHeadBytes) {
    skip(body == AnswerBody::kNever);
  }

  int status() const { return status_; }
  bool is_interim() const { return status_ < kFirstFinalStatus; }
  std::string& body() { return received_; }

 private:
  void on_request_impl(http::verb /*verb*/,
                       string_view /*method*/,
                       string_view /*target*/,
                       int /*version*/,
                       error_code& ec) override {
    ec = http::error::bad_method;
  }

  void on_response_impl(int code,
                        string_view /*reason*/,
                        int version,
                        error_code& ec) override {
    SetVersion(version);
    status_ = code;
    if (!IsStatus(code))
      ec = http::error::bad_status;
  }

  // An interim answer has no body (RFC 9112 section 6.3), but a reader that
  // believes its framing would use that for the final answer.
  void HandleHead(error_code& ec) override {
    if (is_interim() && HasFraming(headers()))
      ec = http::error::bad_field;
  }

  void HandleBody(std::string_view bytes, error_code& /*ec*/) override {
    received_.append(bytes);
  }

  int status_ = 0;
  std::string received_;
};

AnswerReader::AnswerReader(AnswerBody body)
    : body_(body), parser_(std::make_unique<Parser>(body)) {}

AnswerReader::~AnswerReader() = default;

bool AnswerReader::has_head() const {
  return has_head_;
}

bool AnswerReader::is_whole() const {
  return has_head_ && parser_->is_done();
}

bool AnswerReader::keeps_connection() const {
  return is_whole() && !has_surplus_ && parser_->keep_alive();
}

int AnswerReader::status() const {
  return parser_->status();
}

const HttpHeaders& AnswerReader::headers() const {
  return parser_->headers();
}

std::string AnswerReader::TakeBody() {
  return std::exchange(parser_->body(), {});
}

bool AnswerReader::Read(std::string_view bytes) {
  while (!bytes.empty() && !has_head_ && fault_.empty())
    bytes = ReadHead(bytes);
  if (!bytes.empty() && fault_.empty())
    ReadBody(bytes);
  return fault_.empty();
}

bool AnswerReader::End() {
  if (!has_head_ || !fault_.empty())
    return false;
  error_code ec;
  if (!parser_->is_done())
    parser_->put_eof(ec);
  if (ec)
    Fail(ec.message(), unread_);
  return !ec;
}

std::string_view AnswerReader::ReadHead(std::string_view bytes) {
  const size_t end = bytes.find('\n');
  const bool ends_line = end != std::string_view::npos;
  const std::string_view part = bytes.substr(0, ends_line ? end + 1 : end);
  unread_ += part;
  head_bytes_ += part.size();
  if (head_bytes_ > kMaxHeadBytes)
    Fail("heads too long", unread_);
  else if (ends_line)
    ReadLine(std::exchange(unread_, {}));
  return bytes.substr(part.size());
}

void AnswerReader::ReadLine(const std::string& line) {
  std::string input = line;
  // Many servers leave out the blank before a missing reason phrase.
  if (!parser_->got_some() && line.size() == kBytesBeforeReason + 2 &&
      line.ends_with(kLineEnd))
    input.insert(kBytesBeforeReason, 1, ' ');
  const size_t size = input.size();
  // The parser looks at the byte behind a line, which begins with a blank if
  // the line goes on. Each line is passed by itself: one that begins with a
  // blank has no name and is malformed.
  if (line != kLineEnd)
    input += '.';
  error_code ec;
  const size_t used = parser_->Put(input, ec);
  if (ec == http::error::need_more && used == size)
    ec = {};
  ++line_count_;
  if (ec || used != size)
    Fail(ec ? ec.message() : "malformed line", line);
  else if (parser_->is_header_done())
    EndHead();
}

void AnswerReader::EndHead() {
  if (parser_->is_interim())
    parser_ = std::make_unique<Parser>(body_);
  else
    has_head_ = true;
}

void AnswerReader::ReadBody(std::string_view bytes) {
  const bool goes_on = !unread_.empty();
  if (goes_on)
    bytes = unread_ += bytes;
  error_code ec;
  for (size_t used = 1; used > 0 && !bytes.empty() && !parser_->is_done();) {
    used = parser_->Put(bytes, ec);
    if (ec && ec != http::error::need_more) {
      Fail(ec.message(), bytes);
      return;
    }
    bytes.remove_prefix(used);
  }
  if (parser_->is_done()) {
    has_surplus_ = !bytes.empty();
    bytes = {};
  }
  if (head_bytes_ + bytes.size() > kMaxHeadBytes) {
    Fail("lines between chunks too long", bytes);
    return;
  }
  if (goes_on)
    unread_.erase(0, unread_.size() - bytes.size());
  else
    unread_ = bytes;
}

void AnswerReader::Fail(std::string_view reason, std::string_view bytes) {
  const std::string place =
      has_head_ ? "the body"
                : "line " + std::to_string(line_count_) + " of the head";
  fault_.append(reason).append(" in ").append(place);
  fault_.append(": ").append(base::Printable(bytes, kToldBytes));
}

}  // namespace bilberry::transport
