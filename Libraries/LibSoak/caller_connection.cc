#include "LibSoak/caller_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <utility>

namespace bilberry::soak {

namespace http = boost::beast::http;

namespace {

constexpr size_t kBlock = 65536;
constexpr timeval kLongestOpening{0, 200'000};
constexpr uint64_t kMaxBody = 16ULL * 1024 * 1024;

}  // namespace

class CallerConnection::Parser
    : public http::response_parser<http::string_body> {};

CallerConnection::CallerConnection(transport::Reactor& reactor,
                                   AnswerHandler answer_handler,
                                   StrayHandler stray_handler)
    : reactor_(reactor),
      answer_handler_(std::move(answer_handler)),
      stray_handler_(std::move(stray_handler)) {}

CallerConnection::~CallerConnection() {
  Close();
}

bool CallerConnection::Open(const base::SocketAddress& address) {
  Close();
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr);
  descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  // On loopback connect() completes or fails at once, unless the listener's
  // backlog is full.
  setsockopt(descriptor_, SOL_SOCKET, SO_SNDTIMEO, &kLongestOpening,
             sizeof(kLongestOpening));
  if (connect(descriptor_, reinterpret_cast<const sockaddr*>(&native),
              sizeof(native)) != 0) {
    close(descriptor_);
    descriptor_ = -1;
    return false;
  }
  reactor_.Watch(descriptor_, *this, ACE_Event_Handler::READ_MASK);
  return true;
}

void CallerConnection::Close() {
  parser_.reset();
  unread_.clear();
  if (descriptor_ < 0)
    return;
  reactor_.Unwatch(descriptor_);
  close(descriptor_);
  descriptor_ = -1;
}

bool CallerConnection::Send(const std::string& request) {
  const ssize_t n = send(descriptor_, request.data(), request.size(),
                         MSG_NOSIGNAL | MSG_DONTWAIT);
  if (n != static_cast<ssize_t>(request.size())) {
    Close();
    return false;
  }
  parser_ = std::make_unique<Parser>();
  parser_->eager(true);
  parser_->body_limit(kMaxBody);
  return true;
}

int CallerConnection::handle_input(ACE_HANDLE /*descriptor*/) {
  std::array<char, kBlock> buf{};
  const ssize_t n = recv(descriptor_, buf.data(), buf.size(), MSG_DONTWAIT);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return 0;
  if (n <= 0) {
    NoteEnd();
    return 0;
  }
  if (!parser_) {
    stray_handler_(static_cast<size_t>(n));
    return 0;
  }
  unread_.append(buf.data(), static_cast<size_t>(n));
  Parse();
  return 0;
}

void CallerConnection::Parse() {
  while (!parser_->is_done() && !unread_.empty()) {
    boost::system::error_code ec;
    const size_t n = parser_->put(boost::asio::buffer(unread_), ec);
    unread_.erase(0, n);
    if (ec && ec != http::error::need_more) {
      Finish(AnswerEnd::kMalformed);
      return;
    }
    if (n == 0)
      return;
  }
  if (!parser_->is_done())
    return;
  if (!unread_.empty())
    stray_handler_(unread_.size());
  unread_.clear();
  Finish(AnswerEnd::kWhole);
}

void CallerConnection::NoteEnd() {
  if (!parser_) {
    Close();
    return;
  }
  if (!parser_->got_some()) {
    Finish(AnswerEnd::kNone);
    return;
  }
  boost::system::error_code ec;
  parser_->put_eof(ec);
  Finish(ec ? AnswerEnd::kCut : AnswerEnd::kWhole);
}

void CallerConnection::Finish(AnswerEnd end) {
  ConnectionAnswer answer;
  answer.end = end;
  if (parser_->is_header_done()) {
    auto& message = parser_->get();
    answer.status = static_cast<int>(message.result_int());
    for (const auto& field : message)
      answer.headers.push_back(
          {field.name_string().to_string(), field.value().to_string()});
    answer.body = std::move(message.body());
  }
  const bool stays_open = end == AnswerEnd::kWhole && parser_->keep_alive();
  parser_.reset();
  if (!stays_open)
    Close();
  answer_handler_(std::move(answer));
}

}  // namespace bilberry::soak
