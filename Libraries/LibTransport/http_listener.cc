#include "LibTransport/http_listener.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <utility>

namespace bilberry::transport {

namespace {

// libmicrohttpd doesn't watch suspended connections, so the listener polls them
// at this interval for a disconnect.
constexpr std::chrono::milliseconds kDisconnectPollInterval{100};
constexpr unsigned int kIdleConnectionSeconds = 60;
constexpr int kPayloadTooLarge = 413;
// Once this many bytes of a stream's buffer have been sent, their memory is
// released.
constexpr size_t kCompactBytes = size_t{64} * 1024;
constexpr size_t kStreamBlock = 16384;

MHD_Result CollectPair(void* out,
                       MHD_ValueKind /*kind*/,
                       const char* key,
                       const char* value) {
  static_cast<HttpHeaders*>(out)->push_back(
      {key, value == nullptr ? "" : value});
  return MHD_YES;
}

void AddHeaders(MHD_Response* response, const HttpHeaders& headers) {
  for (const HttpHeader& header : headers)
    MHD_add_response_header(response, header.name.c_str(),
                            header.value.c_str());
}

pollfd DisconnectPoll(MHD_Connection* connection) {
  const auto* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return {info == nullptr ? -1 : info->connect_fd, POLLRDHUP, 0};
}

}  // namespace

struct HttpListener::Exchange {
  HttpListener* listener = nullptr;
  ExchangeId id{};
  MHD_Connection* connection = nullptr;
  IncomingRequest request;
  std::optional<std::string> id_to_echo;
  bool is_too_large = false;
  bool was_handed_over = false;
  bool is_suspended = false;
  bool is_answered = false;
  bool has_disconnected = false;
  MHD_Response* queued = nullptr;  // Until passed to libmicrohttpd.
  int status = 0;
  std::string stream;
  size_t stream_sent = 0;
  bool has_stream_ended = false;
  StreamEnd stream_end = StreamEnd::kWhole;
};

HttpListener::HttpListener(Reactor& reactor,
                           ListenerOptions options,
                           RequestHandler request_handler,
                           DisconnectHandler disconnect_handler)
    : reactor_(reactor),
      options_(std::move(options)),
      request_handler_(std::move(request_handler)),
      disconnect_handler_(std::move(disconnect_handler)) {}

base::Result<std::unique_ptr<HttpListener>> HttpListener::Create(
    Reactor& reactor,
    const ListenerOptions& options,
    RequestHandler request_handler,
    DisconnectHandler disconnect_handler) {
  const auto failure = [&options](std::string reason) {
    return base::Error{base::ErrorCode::kSystem, base::Step::kListen,
                       base::ToText(options.address), std::move(reason)};
  };
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(options.address.port);
  if (inet_pton(AF_INET, options.address.ip.c_str(), &address.sin_addr) != 1)
    return failure("not an IPv4 address");
  std::unique_ptr<HttpListener> listener(
      new HttpListener(reactor, options, std::move(request_handler),
                       std::move(disconnect_handler)));
  listener->daemon_ = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, options.address.port, nullptr,
      nullptr, OnAccess, listener.get(), MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_NOTIFY_COMPLETED, OnCompleted, listener.get(),
      MHD_OPTION_CONNECTION_TIMEOUT, kIdleConnectionSeconds,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, options.connection_memory_bytes,
      MHD_OPTION_URI_LOG_CALLBACK, OnTarget, listener.get(),
      MHD_OPTION_NOTIFY_CONNECTION, OnConnection, listener.get(),
      MHD_OPTION_END);
  if (listener->daemon_ == nullptr)
    return failure(std::string("failed to listen: ") + std::strerror(errno));
  listener->options_.address.port =
      MHD_get_daemon_info(listener->daemon_, MHD_DAEMON_INFO_BIND_PORT)->port;
  listener->descriptor_ =
      MHD_get_daemon_info(listener->daemon_, MHD_DAEMON_INFO_EPOLL_FD)
          ->epoll_fd;
  reactor.Watch(listener->descriptor_, *listener, ACE_Event_Handler::READ_MASK);
  reactor.Add(*listener);
  return listener;
}

HttpListener::~HttpListener() {
  if (daemon_ == nullptr)
    return;
  reactor_.Remove(*this);
  reactor_.Unwatch(descriptor_);
  disconnect_handler_ = nullptr;
  // libmicrohttpd must not be stopped while connections are suspended.
  for (auto& [id, exchange] : exchanges_) {
    if (exchange->is_suspended)
      MHD_resume_connection(exchange->connection);
    exchange->is_suspended = false;
    exchange->has_stream_ended = true;
    exchange->stream_end = StreamEnd::kCut;
  }
  MHD_stop_daemon(daemon_);
}

int HttpListener::handle_input(ACE_HANDLE /*descriptor*/) {
  needs_turn_ = true;
  return 0;
}

void HttpListener::RunTurn(base::TimePoint now) {
  const bool is_poll_due = now >= next_poll_;
  if (!needs_turn_ && !is_poll_due)
    return;
  MHD_run(daemon_);
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
  needs_turn_ =
      MHD_get_timeout(daemon_, &timeout_ms) == MHD_YES && timeout_ms == 0;
  if (!is_poll_due)
    return;
  next_poll_ = now + kDisconnectPollInterval;
  DetectDisconnects();
}

std::optional<base::TimePoint> HttpListener::NextTurn() const {
  if (needs_turn_)
    return base::TimePoint();
  if (exchanges_.empty())
    return std::nullopt;
  return next_poll_;
}

void HttpListener::DetectDisconnects() {
  std::vector<ExchangeId> waiting;
  std::vector<pollfd> descriptors;
  for (auto& [id, exchange] : exchanges_) {
    if (!exchange->is_suspended || exchange->has_disconnected)
      continue;
    waiting.push_back(id);
    descriptors.push_back(DisconnectPoll(exchange->connection));
  }
  if (descriptors.empty() ||
      poll(descriptors.data(), descriptors.size(), 0) <= 0)
    return;
  for (size_t i = 0; i < waiting.size(); ++i) {
    constexpr int kClosed = POLLRDHUP | POLLHUP | POLLERR;
    // A handler may have ended other exchanges.
    Exchange* exchange = Find(waiting[i]);
    if ((descriptors[i].revents & kClosed) == 0 || exchange == nullptr)
      continue;
    exchange->has_disconnected = true;
    if (disconnect_handler_)
      disconnect_handler_(waiting[i]);
  }
}

void* HttpListener::OnTarget(void* self,
                             const char* target,
                             MHD_Connection* connection) {
  static_cast<HttpListener*>(self)->targets_[connection] = target;
  return nullptr;
}

void HttpListener::OnConnection(void* self,
                                MHD_Connection* connection,
                                void** /*context*/,
                                MHD_ConnectionNotificationCode code) {
  if (code == MHD_CONNECTION_NOTIFY_CLOSED)
    static_cast<HttpListener*>(self)->targets_.erase(connection);
}

MHD_Result HttpListener::OnAccess(void* self,
                                  MHD_Connection* connection,
                                  const char* url,
                                  const char* method,
                                  const char* /*version*/,
                                  const char* data,
                                  size_t* size,
                                  void** exchange) {
  return static_cast<HttpListener*>(self)->HandleAccess(connection, url, method,
                                                        data, size, exchange);
}

MHD_Result HttpListener::BeginExchange(MHD_Connection* connection,
                                       const char* url,
                                       const char* method,
                                       void** exchange) {
  auto fresh = std::make_unique<Exchange>();
  fresh->listener = this;
  fresh->id = ExchangeId{++last_id_};
  fresh->connection = connection;
  *exchange = fresh.get();
  fresh->request.exchange = fresh->id;
  fresh->request.method = method;
  fresh->request.path = url;
  const auto target = targets_.extract(connection);
  if (!target.empty())
    fresh->request.target = target.mapped();
  MHD_get_connection_values(connection, MHD_HEADER_KIND, CollectPair,
                            &fresh->request.headers);
  const std::string* named =
      FindHeader(fresh->request.headers, kExchangeIdHeader);
  if (options_.echoes_exchange_ids && named != nullptr)
    fresh->id_to_echo = *named;
  MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, CollectPair,
                            &fresh->request.arguments);
  if (idle_timeout_)
    MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT,
                              static_cast<unsigned>(idle_timeout_->count()));
  Exchange& it = *exchanges_.emplace(fresh->id, std::move(fresh)).first->second;
  if (!options_.head_check)
    return MHD_YES;
  const auto answer = options_.head_check(it.request);
  if (!answer)
    return MHD_YES;
  // A response queued on the first call makes libmicrohttpd close the
  // connection after it without reading the body.
  it.is_answered = true;
  MHD_Response* response = MHD_create_response_from_buffer(
      answer->body.size(), const_cast<char*>(answer->body.data()),
      MHD_RESPMEM_MUST_COPY);
  AddHeaders(response, answer->headers);
  const MHD_Result result = MHD_queue_response(
      connection, static_cast<unsigned>(answer->status), response);
  MHD_destroy_response(response);
  return result;
}

MHD_Result HttpListener::HandleAccess(MHD_Connection* connection,
                                      const char* url,
                                      const char* method,
                                      const char* data,
                                      size_t* size,
                                      void** exchange) {
  if (*exchange == nullptr)
    return BeginExchange(connection, url, method, exchange);
  auto& it = *static_cast<Exchange*>(*exchange);
  if (*size > 0) {
    it.is_too_large = it.is_too_large ||
                      it.request.body.size() + *size > options_.max_body_bytes;
    if (!it.is_too_large)
      it.request.body.append(data, *size);
    *size = 0;
    return MHD_YES;
  }
  if (!it.was_handed_over) {
    it.was_handed_over = true;
    Suspend(it);
    if (it.is_too_large) {
      Respond(it.id,
              {kPayloadTooLarge,
               {{kContentTypeHeader, kJsonType}, {kExecutedHeader, "no"}},
               R"({"code":"body_too_large","step":"admission",)"
               R"("executed":"no","message":"the body is too large"})"});
    } else {
      request_handler_(std::move(it.request));
    }
    return MHD_YES;
  }
  // libmicrohttpd calls again after the connection is resumed: the response is
  // ready.
  if (it.queued == nullptr)
    return MHD_NO;
  const MHD_Result result = MHD_queue_response(
      connection, static_cast<unsigned>(it.status), it.queued);
  MHD_destroy_response(it.queued);
  it.queued = nullptr;
  return result;
}

void HttpListener::OnCompleted(void* self,
                               MHD_Connection* /*connection*/,
                               void** exchange,
                               MHD_RequestTerminationCode code) {
  auto& listener = *static_cast<HttpListener*>(self);
  auto* it = static_cast<Exchange*>(*exchange);
  *exchange = nullptr;
  if (it == nullptr)
    return;
  const auto node = listener.exchanges_.extract(it->id);
  if (it->queued != nullptr)
    MHD_destroy_response(it->queued);
  const bool was_cut_short = code != MHD_REQUEST_TERMINATED_COMPLETED_OK;
  const bool was_open = it->was_handed_over && !it->has_stream_ended &&
                        !it->is_answered && !it->has_disconnected;
  if (was_cut_short && was_open && listener.disconnect_handler_)
    listener.disconnect_handler_(it->id);
}

ssize_t HttpListener::OnRead(void* exchange,
                             uint64_t /*position*/,
                             char* buffer,
                             size_t room) {
  auto& it = *static_cast<Exchange*>(exchange);
  const size_t n = std::min(room, it.stream.size() - it.stream_sent);
  if (n > 0) {
    std::copy_n(it.stream.data() + it.stream_sent, n, buffer);
    it.stream_sent += n;
    if (it.stream_sent == it.stream.size() || it.stream_sent >= kCompactBytes) {
      it.stream.erase(0, it.stream_sent);
      it.stream_sent = 0;
    }
    return static_cast<ssize_t>(n);
  }
  if (it.has_stream_ended)
    return it.stream_end == StreamEnd::kWhole
               ? MHD_CONTENT_READER_END_OF_STREAM
               : MHD_CONTENT_READER_END_WITH_ERROR;
  it.listener->Suspend(it);
  return 0;
}

void HttpListener::AddExchangeId(MHD_Response* response,
                                 const Exchange& exchange) {
  if (exchange.id_to_echo)
    MHD_add_response_header(response, kExchangeIdHeader,
                            exchange.id_to_echo->c_str());
}

HttpListener::Exchange* HttpListener::Find(ExchangeId id) const {
  const auto it = exchanges_.find(id);
  return it == exchanges_.end() ? nullptr : it->second.get();
}

void HttpListener::Suspend(Exchange& exchange) {
  if (exchange.is_suspended)
    return;
  exchange.is_suspended = true;
  MHD_suspend_connection(exchange.connection);
}

void HttpListener::Resume(Exchange& exchange) {
  needs_turn_ = true;
  if (!exchange.is_suspended)
    return;
  exchange.is_suspended = false;
  MHD_resume_connection(exchange.connection);
}

void HttpListener::Respond(ExchangeId id, const HttpResponse& response) {
  Exchange* exchange = Find(id);
  if (exchange == nullptr || exchange->is_answered)
    return;
  exchange->is_answered = true;
  exchange->status = response.status;
  exchange->queued = MHD_create_response_from_buffer(
      response.body.size(), const_cast<char*>(response.body.data()),
      MHD_RESPMEM_MUST_COPY);
  AddHeaders(exchange->queued, response.headers);
  AddExchangeId(exchange->queued, *exchange);
  Resume(*exchange);
}

void HttpListener::BeginStream(ExchangeId id,
                               int status,
                               const HttpHeaders& headers) {
  Exchange* exchange = Find(id);
  if (exchange == nullptr || exchange->queued != nullptr)
    return;
  exchange->status = status;
  exchange->queued = MHD_create_response_from_callback(
      MHD_SIZE_UNKNOWN, kStreamBlock, OnRead, exchange, nullptr);
  AddHeaders(exchange->queued, headers);
  Resume(*exchange);
}

void HttpListener::WriteStream(ExchangeId id, std::string_view bytes) {
  Exchange* exchange = Find(id);
  if (exchange == nullptr)
    return;
  exchange->stream += bytes;
  Resume(*exchange);
}

size_t HttpListener::UnsentBytes(ExchangeId id) const {
  const Exchange* exchange = Find(id);
  return exchange == nullptr ? 0
                             : exchange->stream.size() - exchange->stream_sent;
}

void HttpListener::EndStream(ExchangeId id, StreamEnd end) {
  Exchange* exchange = Find(id);
  if (exchange == nullptr)
    return;
  exchange->has_stream_ended = true;
  exchange->stream_end = end;
  Resume(*exchange);
}

void HttpListener::Abort(ExchangeId id) {
  Exchange* exchange = Find(id);
  if (exchange == nullptr)
    return;
  exchange->is_answered = true;
  // Without a queued response, HandleAccess() makes libmicrohttpd close the
  // connection.
  Resume(*exchange);
}

}  // namespace bilberry::transport
