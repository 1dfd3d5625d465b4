#include "LibTransport/request_reader.h"

#include <algorithm>
#include <utility>

#include "LibBase/release_memory.h"
#include "LibTransport/message_parser.h"
#include "LibTransport/request_target.h"

namespace bilberry::transport {

namespace http = boost::beast::http;
using boost::beast::string_view;
using boost::system::error_code;

namespace {

constexpr const char* kHost = "Host";
constexpr const char* kExpect = "Expect";
// The part of a body over the limit that is read and discarded before it is
// refused: closing a connection with unread bytes resets it, and the client may
// never see the answer.
constexpr uint64_t kMaxDiscardedBytes = uint64_t{8} * 1024 * 1024;
// The parser copies a head to parts that it doesn't release before the request.
constexpr size_t kHeadCopies = 2;

// A target of other bytes could not be sent on unchanged.
bool IsTarget(std::string_view text) {
  return std::ranges::all_of(
      text, [](char c) { return c > ' ' && c < '\x7f' && c != '#'; });
}

}  // namespace

class RequestReader::Parser final : public MessageParser<true> {
 public:
  explicit Parser(const RequestLimits& limits)
      : MessageParser(limits.max_head_bytes),
        max_body_bytes_(limits.max_body_bytes) {}

  IncomingRequest& request() { return request_; }
  bool is_body_too_large() const { return body_bytes_ > max_body_bytes_; }
  uint64_t body_bytes() const { return body_bytes_; }
  size_t announced_body_bytes() const { return announced_body_bytes_; }
  void DropBody() {
    base::ReleaseMemory(request_.body);
    is_discarding_ = true;
  }

 private:
  void on_request_impl(http::verb /*verb*/,
                       string_view method,
                       string_view target,
                       int version,
                       error_code& ec) override {
    if (!IsTarget({target.data(), target.size()})) {
      ec = http::error::bad_target;
      return;
    }
    request_.method.assign(method.data(), method.size());
    request_.target.assign(target.data(), target.size());
    SetVersion(version);
  }

  void on_response_impl(int /*code*/,
                        string_view /*reason*/,
                        int /*version*/,
                        error_code& ec) override {
    ec = http::error::bad_method;
  }

  void HandleHead(error_code& ec) override {
    request_.headers = std::move(headers());
    if (base::CountHeaders(request_.headers, kHost) > 1) {
      ec = http::error::bad_field;
      return;
    }
    const auto length = content_length();
    if (length && *length > max_body_bytes_ + kMaxDiscardedBytes)
      ec = http::error::body_limit;
    if (!length)
      return;
    // A body that will be refused isn't kept.
    is_discarding_ = *length > max_body_bytes_;
    if (!is_discarding_)
      announced_body_bytes_ = static_cast<size_t>(*length);
  }

  void HandleBody(std::string_view bytes, error_code& ec) override {
    body_bytes_ += bytes.size();
    if (!is_body_too_large()) {
      if (!is_discarding_)
        request_.body.append(bytes);
      return;
    }
    base::ReleaseMemory(request_.body);
    if (body_bytes_ > max_body_bytes_ + kMaxDiscardedBytes)
      ec = http::error::body_limit;
  }

  IncomingRequest request_;
  size_t max_body_bytes_;
  uint64_t body_bytes_ = 0;
  size_t announced_body_bytes_ = 0;
  bool is_discarding_ = false;
};

RequestReader::RequestReader(const RequestLimits& limits)
    : parser_(std::make_unique<Parser>(limits)),
      max_head_bytes_(limits.max_head_bytes) {}

RequestReader::~RequestReader() = default;

bool RequestReader::has_begun() const {
  return parser_->got_some();
}

bool RequestReader::has_head() const {
  return parser_->is_header_done();
}

bool RequestReader::is_body_too_large() const {
  return parser_->is_body_too_large();
}

bool RequestReader::keeps_connection() const {
  return parser_->keep_alive();
}

bool RequestReader::is_http_1_0() const {
  return parser_->version() == HttpVersion::kHttp10;
}

bool RequestReader::expects_continue() const {
  const std::string* expected = FindHeader(parser_->request().headers, kExpect);
  return !is_http_1_0() && expected != nullptr &&
         base::IsSameHeader(*expected, "100-continue");
}

size_t RequestReader::announced_body_bytes() const {
  return parser_->announced_body_bytes();
}

void RequestReader::ReserveBody() {
  parser_->request().body.reserve(announced_body_bytes());
}

void RequestReader::DropBody() {
  parser_->DropBody();
}

size_t RequestReader::memory_bytes() const {
  return head_bytes_ * kHeadCopies + parser_->request().body.capacity();
}

uint64_t RequestReader::body_bytes() const {
  return parser_->body_bytes();
}

IncomingRequest& RequestReader::request() {
  return parser_->request();
}

const IncomingRequest& RequestReader::request() const {
  return parser_->request();
}

size_t RequestReader::Read(std::string_view bytes) {
  size_t used = 0;
  // Empty lines in front of a request are skipped (RFC 9112 section 2.2).
  while (!has_begun() && bytes.substr(used).starts_with("\r\n"))
    used += 2;
  if (!has_begun() && bytes.substr(used) == "\r")
    return used;
  const ReadingState before = state_;
  for (size_t n = 1; n > 0 && state_ == before && used < bytes.size();) {
    n = Put(bytes.substr(used));
    used += n;
  }
  return used;
}

size_t RequestReader::Put(std::string_view bytes) {
  error_code ec;
  const size_t n = parser_->Put(bytes, ec);
  if (state_ == ReadingState::kHead)
    head_bytes_ += n;
  if (ec == http::error::header_limit || head_bytes_ > max_head_bytes_)
    state_ = state_ == ReadingState::kHead ? ReadingState::kHeadTooLarge
                                           : ReadingState::kMalformed;
  else if (ec == http::error::body_limit)
    state_ = ReadingState::kBodyTooLarge;
  else if (ec && ec != http::error::need_more)
    state_ = ReadingState::kMalformed;
  else if (parser_->is_header_done())
    EndHead();
  // The parser doesn't bound the lines between the chunks of a body.
  if (state_ == ReadingState::kBody && bytes.size() - n > max_head_bytes_ &&
      ec == http::error::need_more)
    state_ = ReadingState::kMalformed;
  return n;
}

void RequestReader::EndHead() {
  if (state_ == ReadingState::kHead) {
    auto target = ParseTarget(parser_->request().target);
    parser_->request().path = std::move(target.path);
    parser_->request().arguments = std::move(target.arguments);
  }
  state_ = parser_->is_done() ? ReadingState::kWhole : ReadingState::kBody;
}

}  // namespace bilberry::transport
