#include "LibTransport/http_listener.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <limits>
#include <utility>

namespace bilberry::transport {

namespace {

constexpr const char* kConnection = "Connection";
constexpr int kBadRequest = 400;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kUnavailable = 503;
// Bounds the rounds of answers and next requests in one turn.
constexpr size_t kMaxSendRounds = 256;
constexpr int kMaxAccepts = 64;
// How often timeouts of connections are looked for.
constexpr std::chrono::milliseconds kSweepInterval{500};
// A connection in the middle of a request gives way to a new one at the limit
// of connections only after it has been silent for this time.
constexpr std::chrono::seconds kStallTime{1};
// In the data of events, stands for the listening socket; connections count
// from 1.
constexpr uint64_t kListeningSocket = 0;

HttpResponse BodyTooLarge() {
  return {kPayloadTooLarge,
          {{kContentTypeHeader, kJsonType}, {kExecutedHeader, "no"}},
          R"({"code":"body_too_large","step":"admission",)"
          R"("executed":"no","message":"the body is too large"})"};
}

HttpResponse NoMemory() {
  return {kUnavailable,
          {{kContentTypeHeader, kJsonType},
           {kExecutedHeader, "no"},
           {kRetryAfterHeader, "1"}},
          R"({"code":"no_memory","step":"admission","executed":"no",)"
          R"("message":"the host has no memory left for the body"})"};
}

HttpResponse RefusalOf(ReadingState state) {
  if (state == ReadingState::kBodyTooLarge)
    return BodyTooLarge();
  const int status =
      state == ReadingState::kHeadTooLarge ? kHeadTooLarge : kBadRequest;
  return {status, {{kConnection, "close"}}, ""};
}

}  // namespace

HttpListener::HttpListener(Reactor& reactor,
                           ListenerOptions options,
                           RequestHandler request_handler,
                           DisconnectHandler disconnect_handler)
    : reactor_(reactor),
      options_(std::move(options)),
      request_handler_(std::move(request_handler)),
      disconnect_handler_(std::move(disconnect_handler)),
      own_budget_(options_.budget != nullptr
                      ? nullptr
                      : std::make_unique<MemoryBudget>(
                            std::numeric_limits<size_t>::max())),
      budget_(own_budget_ ? *own_budget_ : *options_.budget),
      receive_buffer_(kBlockBytes) {}

base::Result<std::unique_ptr<HttpListener>> HttpListener::Create(
    Reactor& reactor,
    const ListenerOptions& options,
    RequestHandler request_handler,
    DisconnectHandler disconnect_handler) {
  std::unique_ptr<HttpListener> listener(
      new HttpListener(reactor, options, std::move(request_handler),
                       std::move(disconnect_handler)));
  TRY(listener->Listen());
  reactor.Add(*listener);
  return listener;
}

base::Result<void> HttpListener::Listen() {
  const auto failure = [this](std::string reason) {
    return base::Error{base::ErrorCode::kSystem, base::Step::kListen,
                       base::ToText(options_.address), std::move(reason)};
  };
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(options_.address.port);
  if (inet_pton(AF_INET, options_.address.ip.c_str(), &address.sin_addr) != 1)
    return failure("not an IPv4 address");
  listening_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  TRY(events, SocketEvents::Create(reactor_));
  events_ = std::move(events);
  const int on = 1;
  setsockopt(listening_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  // Accepted sockets take on the buffer's size.
  if (options_.receive_buffer_bytes > 0)
    setsockopt(listening_, SOL_SOCKET, SO_RCVBUF,
               &options_.receive_buffer_bytes,
               sizeof(options_.receive_buffer_bytes));
  auto* native = reinterpret_cast<sockaddr*>(&address);
  socklen_t size = sizeof(address);
  if (listening_ < 0 || bind(listening_, native, size) != 0 ||
      listen(listening_, SOMAXCONN) != 0 ||
      getsockname(listening_, native, &size) != 0)
    return failure(std::string("failed to listen: ") + std::strerror(errno));
  options_.address.port = ntohs(address.sin_port);
  if (!events_->Watch(listening_, EPOLLIN, kListeningSocket))
    return failure(std::string("failed to listen: ") + std::strerror(errno));
  return base::Success();
}

HttpListener::~HttpListener() {
  reactor_.Remove(*this);
  if (listening_ >= 0)
    close(listening_);
}

void HttpListener::RunTurn(base::TimePoint now) {
  HandleEvents(now);
  DropEvicted();
  SendPending(now);
  if (now < next_sweep_)
    return;
  next_sweep_ = now + kSweepInterval;
  DropTimedOut(now);
}

std::optional<base::TimePoint> HttpListener::NextTurn() const {
  if (!pending_.empty() || !evicted_.empty())
    return base::TimePoint();
  if (connections_.empty() && is_accepting_)
    return std::nullopt;
  return next_sweep_;
}

void HttpListener::HandleEvents(base::TimePoint now) {
  const uint64_t begin = received_bytes_;
  const auto handle = [this, now](uint64_t id, uint32_t events) {
    if (id == kListeningSocket)
      AcceptConnections(now);
    else
      HandleConnectionEvents(ConnectionId{id}, events, now);
  };
  events_->Handle(
      handle, [this, begin] { return received_bytes_ - begin >= kTurnBytes; });
}

void HttpListener::AcceptConnections(base::TimePoint now) {
  for (int i = 0; i < kMaxAccepts; ++i) {
    const bool is_full = options_.max_connections > 0 &&
                         connections_.size() >= options_.max_connections;
    // The event tells of one connection only: further ones get another event.
    if (is_full && i > 0)
      return;
    if (is_full && !CloseForAnother(now)) {
      WatchListening(false);
      return;
    }
    const int descriptor =
        accept4(listening_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
      // Without descriptors or memory, the next sweep tries again.
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
          errno == ENOMEM)
        WatchListening(false);
      return;
    }
    AddConnection(descriptor, now);
  }
}

void HttpListener::AddConnection(int descriptor, base::TimePoint now) {
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const ConnectionId id{++last_connection_};
  auto memory = std::make_unique<MemoryReservation>(
      budget_, options_.part, [this, id](LimitReason) { Evict(id); });
  auto& connection = *connections_
                          .emplace(id, std::make_unique<ListenerConnection>(
                                           descriptor, now, std::move(memory)))
                          .first->second;
  Watch(id, connection);
}

bool HttpListener::CloseForAnother(base::TimePoint now) {
  std::optional<ConnectionId> longest;
  std::pair<bool, base::Duration> greatest{false, 0};
  for (const auto& [id, it] : connections_) {
    const bool is_idle =
        it->is_idle() || it->phase() == ListenerConnection::Phase::kDraining;
    const base::Duration silence = now - it->last_activity();
    const bool is_stalled =
        it->phase() == ListenerConnection::Phase::kReading &&
        silence >= kStallTime;
    const std::pair<bool, base::Duration> rank{is_idle, silence};
    if ((is_idle || is_stalled) && (!longest || rank > greatest)) {
      greatest = rank;
      longest = id;
    }
  }
  if (!longest)
    return false;
  budget_.Count(LimitReason::kConnections);
  Drop(*longest);
  return true;
}

void HttpListener::Evict(ConnectionId id) {
  ListenerConnection& connection = *Find(id);
  const bool can_answer = connection.is_receiving_body();
  connection.DropBuffers();
  if (can_answer) {
    RespondEarly(id, connection, NoMemory());
    return;
  }
  connection.Cut();
  evicted_.push_back(id);
}

void HttpListener::DropEvicted() {
  for (const ConnectionId id : std::exchange(evicted_, {}))
    Drop(id);
}

void HttpListener::WatchListening(bool is_accepting) {
  if (std::exchange(is_accepting_, is_accepting) != is_accepting)
    events_->Watch(listening_, is_accepting ? uint32_t{EPOLLIN} : 0,
                   kListeningSocket);
}

void HttpListener::Watch(ConnectionId id, ListenerConnection& connection) {
  if (const auto interest = connection.TakeNewInterest())
    events_->Watch(connection.descriptor(), *interest,
                   static_cast<uint64_t>(id));
}

void HttpListener::HandleConnectionEvents(ConnectionId id,
                                          uint32_t events,
                                          base::TimePoint now) {
  ListenerConnection* connection = Find(id);
  if (connection == nullptr)
    return;
  const bool is_readable = (events & EPOLLIN) != 0;
  const bool is_broken = (events & (EPOLLERR | EPOLLHUP)) != 0;
  const auto received = is_readable ? connection->Receive(receive_buffer_, now)
                                    : std::optional<size_t>(0);
  if ((is_broken && !is_readable) || !received) {
    Drop(id);
    return;
  }
  received_bytes_ += *received;
  if (!is_readable && (events & EPOLLRDHUP) != 0)
    connection->NotePeerClosed();
  ReadRequests(id, *connection, now);
  connection->UpdateMemory();
  budget_.Enforce(now);
  if (connection->has_peer_closed())
    HandlePeerClosed(id);
  else
    pending_.push_back(id);
}

void HttpListener::HandlePeerClosed(ConnectionId id) {
  const ListenerConnection& connection = *Find(id);
  const bool is_answered =
      connection.phase() == ListenerConnection::Phase::kAnswered;
  const bool is_awaited =
      connection.is_waiting_for_handler() && !disconnect_handler_;
  // What is ready is still sent: the client may have closed one direction only.
  if (is_answered || is_awaited)
    pending_.push_back(id);
  else
    Drop(id);
}

void HttpListener::ReadRequests(ConnectionId id,
                                ListenerConnection& connection,
                                base::TimePoint now) {
  while (connection.phase() == ListenerConnection::Phase::kReading &&
         connection.has_input()) {
    const bool had_head = connection.has_head();
    const ReadingState state = connection.ReadRequest(Limits());
    if (!had_head &&
        (state == ReadingState::kBody || state == ReadingState::kWhole))
      BeginExchange(id, connection, now);
    else if (state != ReadingState::kWhole && state != ReadingState::kBody &&
             state != ReadingState::kHead) {
      if (state == ReadingState::kBodyTooLarge)
        budget_.Count(LimitReason::kTooLarge);
      RespondEarly(id, connection, RefusalOf(state));
    } else if (state != ReadingState::kWhole)
      return;
    if (connection.phase() == ListenerConnection::Phase::kReading &&
        state == ReadingState::kWhole)
      HandOver(connection, now);
  }
}

void HttpListener::BeginExchange(ConnectionId id,
                                 ListenerConnection& connection,
                                 base::TimePoint now) {
  const ExchangeId exchange{++last_exchange_};
  IncomingRequest& request = connection.reader().request();
  request.exchange = exchange;
  std::optional<std::string> id_to_echo;
  const std::string* named = FindHeader(request.headers, kExchangeIdHeader);
  if (options_.echoes_exchange_ids && named != nullptr)
    id_to_echo = *named;
  connection.BeginExchange(exchange, std::move(id_to_echo));
  exchanges_.emplace(exchange, id);
  if (idle_timeout_)
    connection.SetIdleTimeout(*idle_timeout_);
  if (options_.head_check) {
    if (const auto answer = options_.head_check(request)) {
      RespondEarly(id, connection, *answer);
      return;
    }
  }
  if (connection.reader().state() == ReadingState::kBody)
    BeginBody(id, connection, now);
}

void HttpListener::BeginBody(ConnectionId id,
                             ListenerConnection& connection,
                             base::TimePoint now) {
  const bool has_room = budget_.MakeRoom(
      options_.part, connection.reader().announced_body_bytes(), now);
  // The connection itself may have been evicted, and is answered already then.
  if (connection.phase() != ListenerConnection::Phase::kReading)
    return;
  if (!has_room) {
    budget_.Count(LimitReason::kBudget);
    connection.DropBuffers();
    RespondEarly(id, connection, NoMemory());
    return;
  }
  connection.BeginBody(now);
  if (connection.reader().expects_continue() && !connection.has_input()) {
    connection.SendContinue();
    pending_.push_back(id);
  }
}

void HttpListener::HandOver(ListenerConnection& connection,
                            base::TimePoint now) {
  connection.HandOver();
  if (connection.reader().is_body_too_large()) {
    budget_.Count(LimitReason::kTooLarge);
    Respond(connection.exchange(), BodyTooLarge());
    return;
  }
  const size_t kept_bytes =
      connection.reader().request().body.size() * options_.body_copies;
  if (!budget_.CanKeep(options_.part, kept_bytes)) {
    budget_.Count(LimitReason::kBudget);
    connection.DropBuffers();
    Respond(connection.exchange(), NoMemory());
    return;
  }
  IncomingRequest request = std::move(connection.reader().request());
  connection.reader().DropBody();
  if (options_.budget != nullptr && !request.body.empty()) {
    // The body of a chunked request may have grown to twice its size.
    request.body.shrink_to_fit();
    request.body_memory =
        std::make_shared<MemoryReservation>(budget_, options_.part);
    request.body_memory->Update({request.body.capacity(), now, std::nullopt});
  }
  connection.UpdateMemory();
  request_handler_(std::move(request));
}

void HttpListener::RespondEarly(ConnectionId id,
                                ListenerConnection& connection,
                                const HttpResponse& response) {
  connection.Respond(response);
  pending_.push_back(id);
}

void HttpListener::SendPending(base::TimePoint now) {
  // A response may let the next request of its connection be read, whose
  // handler may respond at once.
  for (size_t n = 0; !pending_.empty() && n < kMaxSendRounds; ++n) {
    for (const ConnectionId id : std::exchange(pending_, {}))
      Send(id, now);
  }
}

void HttpListener::Send(ConnectionId id, base::TimePoint now) {
  ListenerConnection* connection = Find(id);
  if (connection == nullptr)
    return;
  if (connection->is_aborted() || !connection->Send(now)) {
    Drop(id);
    return;
  }
  if (connection->phase() == ListenerConnection::Phase::kAnswered &&
      connection->unsent_bytes() == 0) {
    exchanges_.erase(connection->exchange());
    if (!connection->FinishExchange(now)) {
      Drop(id);
      return;
    }
    ReadRequests(id, *connection, now);
  }
  connection->UpdateMemory();
  Watch(id, *connection);
  budget_.Enforce(now);
}

void HttpListener::DropTimedOut(base::TimePoint now) {
  WatchListening(true);
  std::vector<ConnectionId> timed_out;
  for (const auto& [id, connection] : connections_) {
    if (connection->HasTimedOut(now))
      timed_out.push_back(id);
  }
  for (const ConnectionId id : timed_out) {
    if (Find(id)->is_receiving_body())
      budget_.Count(LimitReason::kSlowBody);
    Drop(id);
  }
}

void HttpListener::Drop(ConnectionId id) {
  const auto node = connections_.extract(id);
  if (node.empty())
    return;
  const bool is_open = node.mapped()->is_waiting_for_handler();
  const ExchangeId exchange = node.mapped()->exchange();
  exchanges_.erase(exchange);
  node.mapped().reset();
  // A paused listener has room again.
  WatchListening(true);
  if (is_open && disconnect_handler_)
    disconnect_handler_(exchange);
}

ListenerConnection* HttpListener::Find(ConnectionId id) const {
  const auto it = connections_.find(id);
  return it == connections_.end() ? nullptr : it->second.get();
}

ListenerConnection* HttpListener::FindOpen(ExchangeId id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end())
    return nullptr;
  ListenerConnection* connection = Find(it->second);
  if (!connection->is_waiting_for_handler())
    return nullptr;
  pending_.push_back(it->second);
  return connection;
}

RequestLimits HttpListener::Limits() const {
  return {options_.max_head_bytes, options_.max_body_bytes};
}

void HttpListener::Respond(ExchangeId id, const HttpResponse& response) {
  ListenerConnection* connection = FindOpen(id);
  if (connection != nullptr &&
      connection->phase() == ListenerConnection::Phase::kWaiting)
    connection->Respond(response);
}

void HttpListener::RespondWithBytes(ExchangeId id, std::string_view bytes) {
  ListenerConnection* connection = FindOpen(id);
  if (connection != nullptr &&
      connection->phase() == ListenerConnection::Phase::kWaiting)
    connection->RespondWithBytes(bytes);
}

void HttpListener::BeginStream(ExchangeId id,
                               int status,
                               const HttpHeaders& headers) {
  ListenerConnection* connection = FindOpen(id);
  if (connection != nullptr &&
      connection->phase() == ListenerConnection::Phase::kWaiting)
    connection->BeginStream(status, headers);
}

void HttpListener::WriteStream(ExchangeId id, std::string_view bytes) {
  ListenerConnection* connection = FindOpen(id);
  if (connection != nullptr &&
      connection->phase() == ListenerConnection::Phase::kStreaming)
    connection->WriteStream(bytes);
}

size_t HttpListener::UnsentBytes(ExchangeId id) const {
  const auto it = exchanges_.find(id);
  return it == exchanges_.end() ? 0 : Find(it->second)->unsent_bytes();
}

void HttpListener::EndStream(ExchangeId id, StreamEnd end) {
  ListenerConnection* connection = FindOpen(id);
  if (connection == nullptr)
    return;
  if (connection->phase() == ListenerConnection::Phase::kStreaming)
    connection->EndStream(end);
  else
    connection->Abort();
}

void HttpListener::Abort(ExchangeId id) {
  ListenerConnection* connection = FindOpen(id);
  if (connection != nullptr)
    connection->Abort();
}

}  // namespace bilberry::transport
