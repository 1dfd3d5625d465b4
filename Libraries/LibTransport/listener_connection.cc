#include "LibTransport/listener_connection.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <utility>

#include "LibBase/release_memory.h"

namespace bilberry::transport {

namespace {

constexpr const char* kConnection = "Connection";
// Once this many bytes and half of the output have been sent, their memory is
// released.
constexpr size_t kCompactBytes = size_t{64} * 1024;
// While a request is being answered, no more than this is read of those behind
// it.
constexpr size_t kMaxPipelinedBytes = size_t{8} * 1024;
// Bounds how long, and how much, a client may go on sending a request that has
// been refused.
constexpr std::chrono::seconds kMaxDrainTime{2};
constexpr size_t kMaxDrainedBytes = size_t{8} * 1024 * 1024;

bool IsTransient(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

// A short string needs no memory of its own.
size_t MemoryOf(const std::string& text) {
  static const size_t own_bytes = std::string().capacity();
  return text.capacity() > own_bytes ? text.capacity() : 0;
}

}  // namespace

ListenerConnection::ListenerConnection(
    int descriptor,
    base::TimePoint now,
    std::unique_ptr<MemoryReservation> memory)
    : descriptor_(descriptor),
      memory_(std::move(memory)),
      last_activity_(now) {}

ListenerConnection::~ListenerConnection() {
  // Without a length or chunks, only a reset shows that a response is cut.
  if (is_cut_ && framing_ == BodyFraming::kClose) {
    const linger discard{1, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
  }
  close(descriptor_);
}

std::optional<size_t> ListenerConnection::Receive(std::span<char> buf,
                                                  base::TimePoint now) {
  const ssize_t n = recv(descriptor_, buf.data(), buf.size(), 0);
  if (n < 0)
    return IsTransient(errno) ? std::optional<size_t>(0) : std::nullopt;
  if (n == 0) {
    has_peer_closed_ = true;
    return 0;
  }
  const auto size = static_cast<size_t>(n);
  if (phase_ != Phase::kDraining) {
    last_activity_ = now;
    input_.append(buf.data(), size);
    return size;
  }
  discarded_bytes_ += size;
  return discarded_bytes_ > kMaxDrainedBytes ? std::nullopt
                                             : std::optional(size);
}

ReadingState ListenerConnection::ReadRequest(const RequestLimits& limits) {
  if (!reader_)
    reader_.emplace(limits);
  const size_t used = reader_->Read(input_);
  if (used == input_.size())
    base::ReleaseMemory(input_);
  else
    input_.erase(0, used);
  return reader_->state();
}

void ListenerConnection::BeginExchange(ExchangeId exchange,
                                       std::optional<std::string> id_to_echo) {
  exchange_ = exchange;
  id_to_echo_ = std::move(id_to_echo);
  // The handler takes the request over before it is answered.
  is_head_request_ = reader_->request().method == "HEAD";
}

void ListenerConnection::BeginBody(base::TimePoint now) {
  reader_->ReserveBody();
  body_begun_ = now;
  UpdateMemory();
}

bool ListenerConnection::is_receiving_body() const {
  return phase_ == Phase::kReading && reader_ &&
         reader_->state() == ReadingState::kBody;
}

void ListenerConnection::UpdateMemory() {
  MemoryUse use;
  use.bytes = MemoryOf(input_) + MemoryOf(output_);
  if (reader_)
    use.bytes += reader_->memory_bytes();
  use.last_progress = last_activity_;
  if (is_receiving_body())
    use.body = BodyProgress{body_begun_, reader_->body_bytes()};
  memory_->Update(use);
}

void ListenerConnection::DropBuffers() {
  base::ReleaseMemory(input_);
  base::ReleaseMemory(output_);
  sent_ = 0;
  if (reader_)
    reader_->DropBody();
  UpdateMemory();
}

void ListenerConnection::SendContinue() {
  output_ += "HTTP/1.1 100 Continue\r\n\r\n";
}

BodyFraming ListenerConnection::FramingOf(int status, bool is_stream) const {
  if (IsBodyless(status) || is_head_request_)
    return BodyFraming::kNone;
  if (!is_stream)
    return BodyFraming::kLength;
  return reader_->is_http_1_0() ? BodyFraming::kClose : BodyFraming::kChunks;
}

void ListenerConnection::AddHead(int status,
                                 HttpHeaders headers,
                                 BodyFraming framing,
                                 size_t body_bytes) {
  framing_ = framing;
  if (id_to_echo_)
    headers.push_back({kExchangeIdHeader, *id_to_echo_});
  const std::string* connection = FindHeader(headers, kConnection);
  closes_after_response_ =
      reader_->state() != ReadingState::kWhole || reader_->is_http_1_0() ||
      !reader_->keeps_connection() || framing == BodyFraming::kClose ||
      (connection != nullptr && base::IsSameHeader(*connection, "close"));
  output_ +=
      PrintHead({status, headers, framing, body_bytes, closes_after_response_},
                std::chrono::system_clock::now());
}

void ListenerConnection::Respond(const HttpResponse& response) {
  const BodyFraming framing = FramingOf(response.status, false);
  AddHead(response.status, response.headers, framing, response.body.size());
  if (framing != BodyFraming::kNone)
    output_ += response.body;
  phase_ = Phase::kAnswered;
}

void ListenerConnection::RespondWithBytes(std::string_view bytes) {
  output_ += bytes;
  closes_after_response_ = true;
  phase_ = Phase::kAnswered;
}

void ListenerConnection::BeginStream(int status, const HttpHeaders& headers) {
  AddHead(status, headers, FramingOf(status, true), 0);
  phase_ = Phase::kStreaming;
}

void ListenerConnection::WriteStream(std::string_view bytes) {
  if (bytes.empty() || framing_ == BodyFraming::kNone)
    return;
  if (framing_ == BodyFraming::kClose) {
    output_ += bytes;
    return;
  }
  std::array<char, 24> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  output_.append(size.data()).append(bytes).append("\r\n");
}

void ListenerConnection::EndStream(StreamEnd end) {
  phase_ = Phase::kAnswered;
  is_cut_ = end == StreamEnd::kCut;
  closes_after_response_ = closes_after_response_ || is_cut_;
  if (!is_cut_ && framing_ == BodyFraming::kChunks)
    output_ += "0\r\n\r\n";
}

void ListenerConnection::Abort() {
  phase_ = Phase::kAnswered;
  Cut();
}

void ListenerConnection::Cut() {
  is_aborted_ = true;
  is_cut_ = true;
}

bool ListenerConnection::Send(base::TimePoint now) {
  while (unsent_bytes() > 0) {
    const ssize_t n =
        send(descriptor_, output_.data() + sent_, unsent_bytes(), MSG_NOSIGNAL);
    if (n < 0)
      return IsTransient(errno);
    last_activity_ = now;
    sent_ += static_cast<size_t>(n);
    if (sent_ >= kCompactBytes && sent_ >= output_.size() / 2)
      output_.erase(0, std::exchange(sent_, 0));
  }
  base::ReleaseMemory(output_);
  sent_ = 0;
  return true;
}

bool ListenerConnection::FinishExchange(base::TimePoint now) {
  const bool is_request_whole =
      reader_->state() == ReadingState::kWhole && !has_input();
  reader_.reset();
  id_to_echo_.reset();
  is_head_request_ = false;
  phase_ = Phase::kReading;
  if (!closes_after_response_)
    return !has_peer_closed_ || has_input();
  if (is_request_whole || has_peer_closed_ || is_cut_)
    return false;
  // Closing with unread bytes would reset the connection, and the client might
  // never see the response.
  shutdown(descriptor_, SHUT_WR);
  phase_ = Phase::kDraining;
  base::ReleaseMemory(input_);
  last_activity_ = now;
  idle_timeout_ = kMaxDrainTime;
  return true;
}

uint32_t ListenerConnection::Interest() const {
  uint32_t events = 0;
  if (unsent_bytes() > 0)
    events |= EPOLLOUT;
  if (has_peer_closed_)
    return events;
  if (phase_ == Phase::kReading || phase_ == Phase::kDraining ||
      input_.size() < kMaxPipelinedBytes)
    events |= EPOLLIN;
  return events | EPOLLRDHUP;
}

std::optional<uint32_t> ListenerConnection::TakeNewInterest() {
  const uint32_t interest = Interest();
  if (watched_ == interest)
    return std::nullopt;
  watched_ = interest;
  return interest;
}

bool ListenerConnection::HasTimedOut(base::TimePoint now) const {
  // While the handler works, only an unread response is waited for.
  const bool waits_for_client = !is_waiting_for_handler() || unsent_bytes() > 0;
  return waits_for_client && now - last_activity_ > idle_timeout_;
}

}  // namespace bilberry::transport
