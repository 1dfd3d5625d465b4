#include "LibTransport/http_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "LibBase/release_memory.h"
#include "LibTransport/memory_reservation.h"

namespace bilberry::transport {

namespace {

// Longest idle time of a pooled connection that is still reused.
constexpr std::chrono::seconds kIdleLimit{5};
// Longest time for which sent data may stay unacknowledged (RFC 5482).
constexpr std::chrono::milliseconds kUserTimeout{1500};
// SYN retransmissions would come after 1 s and 3 s; a reachable host accepts
// within a few milliseconds.
constexpr std::chrono::milliseconds kConnectTimeout{400};
// Idle time before the first TCP keepalive probe, and the interval of further
// probes; kUserTimeout bounds how long they may stay unanswered.
constexpr int kKeepAliveSeconds = 1;
// The budget of a client that shares none.
constexpr size_t kOwnBudgetBytes = size_t{64} * 1024 * 1024;
constexpr long kMaxPooledConnections = 2048;

void AppendHeader(curl_slist*& list,
                  const std::string& name,
                  const std::string& value) {
  // curl takes "Name:" as a request to omit its own header of that name, and
  // "Name;" as a header without a value.
  const std::string line = value.empty() ? name + ";" : name + ": " + value;
  list = curl_slist_append(list, line.c_str());
}

const std::string& BodyOf(const HttpRequest& request) {
  return request.shared_body ? *request.shared_body : request.body;
}

AnswerBody AnswerBodyOf(const HttpRequest& request) {
  return request.forwarded_method == "HEAD" ? AnswerBody::kNever
                                            : AnswerBody::kAllowed;
}

std::string ExchangeIdText(HttpTransferId id) {
  return std::to_string(static_cast<uint64_t>(id));
}

}  // namespace

struct HttpClient::Transfer {
  HttpClient* client = nullptr;
  HttpTransferId id{};
  HttpRequest request;
  Handlers handlers;
  bool was_sent = false;
  CURL* easy = nullptr;
  curl_slist* headers = nullptr;
  std::optional<AnswerReader> reader;
  std::unique_ptr<MemoryReservation> memory;  // Once the body has begun.
  size_t received_bytes = 0;                  // Of the body.
  size_t progress_bytes = 0;  // How many of these its stall deadline is behind.
  // Whether the body was dropped because the budget had no room for it.
  bool was_body_dropped = false;
  // Whether libcurl keeps what it has read until the transfer is continued.
  bool is_paused = false;
  bool is_held = false;
  HttpResponse response;
};

HttpClient::HttpClient(Reactor& reactor, MemoryBudget* budget)
    : reactor_(reactor),
      own_budget_(budget != nullptr
                      ? nullptr
                      : std::make_unique<MemoryBudget>(kOwnBudgetBytes)),
      budget_(own_budget_ ? *own_budget_ : *budget),
      multi_(curl_multi_init()) {}

base::Result<std::unique_ptr<HttpClient>> HttpClient::Create(
    Reactor& reactor,
    MemoryBudget* budget) {
  std::unique_ptr<HttpClient> client(new HttpClient(reactor, budget));
  if (client->multi_ == nullptr)
    return base::Error{base::ErrorCode::kSystem, base::Step::kListen, "",
                       "failed to initialize libcurl"};
  TRY(events, SocketEvents::Create(reactor));
  client->events_ = std::move(events);
  curl_multi_setopt(client->multi_, CURLMOPT_SOCKETFUNCTION, OnSocket);
  curl_multi_setopt(client->multi_, CURLMOPT_SOCKETDATA, client.get());
  curl_multi_setopt(client->multi_, CURLMOPT_TIMERFUNCTION, OnTimer);
  curl_multi_setopt(client->multi_, CURLMOPT_TIMERDATA, client.get());
  curl_multi_setopt(client->multi_, CURLMOPT_MAXCONNECTS,
                    kMaxPooledConnections);
  reactor.Add(*client);
  return client;
}

HttpClient::~HttpClient() {
  reactor_.Remove(*this);
  for (auto& [id, transfer] : transfers_)
    Release(*transfer);
  curl_multi_cleanup(multi_);
}

HttpTransferId HttpClient::Send(HttpRequest request, Handlers handlers) {
  auto transfer = std::make_unique<Transfer>();
  transfer->client = this;
  transfer->id = HttpTransferId{++last_id_};
  transfer->request = std::move(request);
  transfer->reader.emplace(AnswerBodyOf(transfer->request));
  transfer->handlers = std::move(handlers);
  // Each transfer has a handle of its own: libcurl 7.88 keeps a reference to
  // the last header of an answer beyond a reset, and joins a folded line at the
  // beginning of the next answer to it, in memory that has been freed.
  transfer->easy = curl_easy_init();
  SetUp(*transfer);
  curl_multi_add_handle(multi_, transfer->easy);
  const HttpTransferId id = transfer->id;
  transfers_.emplace(id, std::move(transfer));
  return id;
}

void HttpClient::SetUp(Transfer& transfer) {
  CURL* easy = transfer.easy;
  const HttpRequest& request = transfer.request;
  const std::string url =
      "http://" + base::ToText(request.address) + request.path;
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
                   static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
                   static_cast<long>(kIdleLimit.count()));
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(kConnectTimeout.count()));
  // libcurl's timeout is for the whole transfer, and what it offers against
  // stalls counts the time before the first byte, in whole seconds.
  if (request.stall_timeout.count() > 0)
    stall_deadlines_[transfer.id] = reactor_.Now() + request.timeout;
  else
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(request.timeout.count()));
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, OnSocketOpened);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, OnSending);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
  // Chunked bodies are passed on as they come.
  curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, OnBytes);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnBytes);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
  const bool is_fresh = request.connection == node::ConnectionUse::kFresh;
  curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, is_fresh ? 1L : 0L);
  curl_easy_setopt(
      easy, CURLOPT_FRESH_CONNECT,
      is_fresh || RequiresFreshConnection(request.address) ? 1L : 0L);
  if (request.forwarded_method)
    SetForwardedMethod(transfer);
  else
    SetMethod(transfer);
  SetHeaders(transfer);
}

void HttpClient::SetMethod(Transfer& transfer) {
  if (transfer.request.method != HttpMethod::kGet)
    SetBody(transfer);
  if (transfer.request.method == HttpMethod::kPut)
    curl_easy_setopt(transfer.easy, CURLOPT_CUSTOMREQUEST, "PUT");
}

void HttpClient::SetForwardedMethod(Transfer& transfer) {
  const std::string& method = *transfer.request.forwarded_method;
  if (method == "HEAD") {
    curl_easy_setopt(transfer.easy, CURLOPT_NOBODY, 1L);
    return;
  }
  // A request whose method usually has a body is sent with Content-Length even
  // if its body is empty.
  const bool has_body = !BodyOf(transfer.request).empty() || method == "POST" ||
                        method == "PUT" || method == "PATCH";
  if (has_body)
    SetBody(transfer);
  curl_easy_setopt(transfer.easy, CURLOPT_CUSTOMREQUEST, method.c_str());
}

void HttpClient::SetBody(Transfer& transfer) {
  curl_easy_setopt(transfer.easy, CURLOPT_POST, 1L);
  const std::string& body = BodyOf(transfer.request);
  curl_easy_setopt(transfer.easy, CURLOPT_POSTFIELDS, body.data());
  curl_easy_setopt(transfer.easy, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(body.size()));
}

void HttpClient::SetHeaders(Transfer& transfer) {
  const HttpRequest& request = transfer.request;
  // Without this empty header, curl waits a second for "100 Continue" before it
  // sends a larger body.
  transfer.headers = curl_slist_append(transfer.headers, "Expect:");
  if (request.forwarded_method) {
    // Omits the headers that curl would otherwise add.
    for (const char* name : {"Accept", "Content-Type"}) {
      if (FindHeader(request.headers, name) == nullptr)
        transfer.headers = curl_slist_append(transfer.headers,
                                             (std::string(name) + ":").c_str());
    }
  }
  for (const HttpHeader& header : request.headers)
    AppendHeader(transfer.headers, header.name, header.value);
  if (request.expects_exchange_id)
    AppendHeader(transfer.headers, kExchangeIdHeader,
                 ExchangeIdText(transfer.id));
  curl_easy_setopt(transfer.easy, CURLOPT_HTTPHEADER, transfer.headers);
}

void HttpClient::Cancel(HttpTransferId id) {
  const auto it = transfers_.find(id);
  if (it == transfers_.end())
    return;
  Release(*it->second);
  cancelled_.push_back(std::move(it->second));
  transfers_.erase(it);
}

void HttpClient::Release(Transfer& transfer) {
  transfer.memory.reset();
  stall_deadlines_.erase(transfer.id);
  curl_multi_remove_handle(multi_, transfer.easy);
  curl_easy_cleanup(transfer.easy);
  curl_slist_free_all(transfer.headers);
}

void HttpClient::RetireConnections(const base::SocketAddress& address) {
  // libcurl can't close the idle connections of one peer. A connection that is
  // idle now exceeds its idle limit once this time has passed.
  fresh_connections_until_[address] = reactor_.Now() + kIdleLimit;
}

bool HttpClient::RequiresFreshConnection(
    const base::SocketAddress& address) const {
  const auto it = fresh_connections_until_.find(address);
  return it != fresh_connections_until_.end() && reactor_.Now() < it->second;
}

void HttpClient::HandleEvents() {
  const auto handle = [this](uint64_t socket, uint32_t events) {
    int mask = (events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0;
    mask |= (events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
    // libcurl finds out itself what is wrong with a broken connection.
    if (mask == 0)
      mask = CURL_CSELECT_IN | CURL_CSELECT_OUT;
    HandleSocketEvents(static_cast<curl_socket_t>(socket), mask);
  };
  events_->Handle(handle, [this] { return turn_bytes_ >= kTurnBytes; });
}

void HttpClient::ContinueWaiting() {
  for (size_t left = waiting_.size(); left > 0; --left) {
    const auto it = transfers_.find(waiting_.front());
    waiting_.pop_front();
    if (it != transfers_.end() && it->second->is_paused && !it->second->is_held)
      Continue(*it->second);
    if (turn_bytes_ >= kTurnBytes)
      return;
  }
}

// libcurl passes on what it has kept, and reads more later. It doesn't report a
// failure of the former in another way.
void HttpClient::Continue(Transfer& transfer) {
  transfer.is_paused = false;
  const CURLcode code = curl_easy_pause(transfer.easy, CURLPAUSE_CONT);
  if (code != CURLE_OK)
    failed_.push_back({transfer.id, code});
}

void HttpClient::Hold(HttpTransferId id) {
  const auto it = transfers_.find(id);
  if (it != transfers_.end())
    it->second->is_held = true;
}

void HttpClient::Resume(HttpTransferId id) {
  const auto it = transfers_.find(id);
  if (it == transfers_.end())
    return;
  it->second->is_held = false;
  if (it->second->is_paused)
    waiting_.push_back(id);
}

bool HttpClient::MustWait(Transfer& transfer) {
  // A head has a bound of its own.
  if (!transfer.reader->has_head())
    return false;
  if (!transfer.is_held) {
    if (turn_bytes_ < kTurnBytes)
      return false;
    waiting_.push_back(transfer.id);
  }
  transfer.is_paused = true;
  return true;
}

void HttpClient::HandleSocketEvents(curl_socket_t socket, int events) {
  int running = 0;
  curl_multi_socket_action(multi_, socket, events, &running);
}

int HttpClient::OnSocket(CURL* /*easy*/,
                         curl_socket_t socket,
                         int what,
                         void* self,
                         void* /*socket_data*/) {
  auto& client = *static_cast<HttpClient*>(self);
  uint32_t events = 0;
  if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
    events |= EPOLLIN;
  if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
    events |= EPOLLOUT;
  if (events == 0)
    client.events_->Remove(socket);
  else
    client.events_->Watch(socket, events, static_cast<uint64_t>(socket));
  return 0;
}

int HttpClient::OnTimer(CURLM* /*multi*/, long timeout_ms, void* self) {
  auto& client = *static_cast<HttpClient*>(self);
  if (timeout_ms < 0)
    client.curl_due_.reset();
  else
    client.curl_due_ =
        client.reactor_.Now() + std::chrono::milliseconds(timeout_ms);
  return 0;
}

int HttpClient::OnSocketOpened(void* /*self*/,
                               curl_socket_t socket,
                               curlsocktype /*purpose*/) {
  const auto timeout = static_cast<unsigned int>(kUserTimeout.count());
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  // Keepalive probes detect a crashed peer while a connection waits for its
  // answer.
  setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveSeconds,
             sizeof(kKeepAliveSeconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveSeconds,
             sizeof(kKeepAliveSeconds));
  return CURL_SOCKOPT_OK;
}

int HttpClient::OnSending(void* transfer,
                          char* /*peer_ip*/,
                          char* /*own_ip*/,
                          int /*peer_port*/,
                          int /*own_port*/) {
  auto& it = *static_cast<Transfer*>(transfer);
  it.was_sent = true;
  if (!it.handlers.sending)
    return CURL_PREREQFUNC_OK;
  long new_connections = 0;
  curl_easy_getinfo(it.easy, CURLINFO_NUM_CONNECTS, &new_connections);
  it.client->sendings_.push_back({it.id, new_connections > 0
                                             ? node::ConnectionAge::kFresh
                                             : node::ConnectionAge::kReused});
  return CURL_PREREQFUNC_OK;
}

size_t HttpClient::OnBytes(char* data,
                           size_t /*unit*/,
                           size_t size,
                           void* transfer) {
  auto& it = *static_cast<Transfer*>(transfer);
  if (it.client->MustWait(it))
    return CURL_WRITEFUNC_PAUSE;
  it.client->turn_bytes_ += size;
  // Returning fewer bytes than curl passed makes curl fail the transfer and
  // close its connection.
  return it.client->Read(it, {data, size}) ? size : 0;
}

bool HttpClient::Read(Transfer& transfer, std::string_view bytes) {
  AnswerReader& reader = *transfer.reader;
  const bool had_head = reader.has_head();
  if (!reader.Read(bytes))
    return false;
  if (!had_head && reader.has_head()) {
    transfer.response.status = reader.status();
    transfer.response.headers = reader.headers();
  }
  std::string body = reader.TakeBody();
  if (!body.empty() && !AddBody(transfer, std::move(body)))
    return false;
  if (reader.is_whole())
    DecideReuse(transfer);
  return true;
}

bool HttpClient::AddBody(Transfer& transfer, std::string bytes) {
  if (transfer.received_bytes == 0 && transfer.handlers.begun)
    begun_.push_back(transfer.id);
  transfer.received_bytes += bytes.size();
  NoteProgress(transfer);
  // Chunks are delivered after curl has returned, since a handler may call into
  // curl.
  if (transfer.handlers.chunk) {
    chunks_.push_back({transfer.id, std::move(bytes)});
    return true;
  }
  std::string& body = transfer.response.body;
  if (transfer.was_body_dropped ||
      body.size() + bytes.size() > transfer.request.max_body_bytes)
    return false;
  body += bytes;
  return UpdateMemory(transfer);
}

void HttpClient::NoteProgress(Transfer& transfer) {
  const auto it = stall_deadlines_.find(transfer.id);
  if (it == stall_deadlines_.end() ||
      (transfer.progress_bytes > 0 &&
       transfer.received_bytes < transfer.progress_bytes))
    return;
  transfer.progress_bytes = transfer.received_bytes + kProgressBytes;
  it->second = reactor_.Now() + transfer.request.stall_timeout;
}

void HttpClient::FailStalled(base::TimePoint now) {
  for (auto& [id, deadline] : stall_deadlines_) {
    if (now < deadline)
      continue;
    const Transfer& transfer = *transfers_.at(id);
    // A paused transfer waits for this client.
    if (transfer.is_paused)
      deadline = now + transfer.request.stall_timeout;
    else
      failed_.push_back({id, CURLE_OPERATION_TIMEDOUT});
  }
}

bool HttpClient::UpdateMemory(Transfer& transfer) {
  if (!transfer.memory)
    transfer.memory = std::make_unique<MemoryReservation>(
        budget_, BudgetPart::kEndpoints,
        [&transfer](LimitReason) { DropBody(transfer); });
  const base::TimePoint now = reactor_.Now();
  transfer.memory->Update(
      {transfer.response.body.capacity(), now, std::nullopt});
  budget_.Enforce(now);
  return !transfer.was_body_dropped;
}

// libcurl can't be told to end another transfer from within a callback, so the
// transfer fails with its next bytes or at its end.
void HttpClient::DropBody(Transfer& transfer) {
  base::ReleaseMemory(transfer.response.body);
  transfer.memory->Update({});
  transfer.was_body_dropped = true;
}

// libcurl reads CURLOPT_FORBID_REUSE when the answer is complete, so the option
// can still be set here.
void HttpClient::DecideReuse(const Transfer& transfer) {
  const bool may_reuse =
      transfer.request.connection == node::ConnectionUse::kPooled &&
      transfer.reader->keeps_connection() && HasReuseMarker(transfer);
  curl_easy_setopt(transfer.easy, CURLOPT_FORBID_REUSE, may_reuse ? 0L : 1L);
}

bool HttpClient::HasReuseMarker(const Transfer& transfer) {
  const auto& marker = transfer.request.reuse_marker;
  if (!marker)
    return true;
  const HttpResponse& response = transfer.response;
  searched_bytes_ += response.body.size();
  return response.status >= 200 && response.status < 300 &&
         response.body.find(*marker) != std::string::npos;
}

void HttpClient::RunTurn(base::TimePoint now) {
  turn_bytes_ = 0;
  ContinueWaiting();
  HandleEvents();
  if (curl_due_ && *curl_due_ <= now) {
    curl_due_.reset();
    HandleSocketEvents(CURL_SOCKET_TIMEOUT, 0);
  }
  DeliverSendings();
  DeliverChunks();
  FailStalled(now);
  DeliverDone();
  DeliverBegun();
  cancelled_.clear();
  std::erase_if(fresh_connections_until_,
                [now](const auto& it) { return it.second <= now; });
}

std::optional<base::TimePoint> HttpClient::NextTurn() const {
  if (!waiting_.empty())
    return base::TimePoint();
  std::optional<base::TimePoint> next = curl_due_;
  for (const auto& [id, deadline] : stall_deadlines_) {
    if (!next || deadline < *next)
      next = deadline;
  }
  return next;
}

void HttpClient::DeliverSendings() {
  for (const Sending& sending : std::exchange(sendings_, {})) {
    const auto it = transfers_.find(sending.id);
    if (it == transfers_.end())
      continue;
    it->second->handlers.sending(sending.connection);
  }
}

void HttpClient::DeliverChunks() {
  for (Chunk& chunk : std::exchange(chunks_, {})) {
    const auto it = transfers_.find(chunk.id);
    if (it == transfers_.end())
      continue;
    Transfer& transfer = *it->second;
    transfer.handlers.chunk(transfer.response, std::move(chunk.bytes));
  }
}

void HttpClient::DeliverDone() {
  for (const Failure& failure : std::exchange(failed_, {})) {
    const auto it = transfers_.find(failure.id);
    if (it != transfers_.end())
      Finish(*it->second, failure.code);
  }
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
    if (message->msg != CURLMSG_DONE)
      continue;
    char* data = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &data);
    Finish(*reinterpret_cast<Transfer*>(data), message->data.result);
  }
}

void HttpClient::DeliverBegun() {
  for (const HttpTransferId id : std::exchange(begun_, {})) {
    const auto it = transfers_.find(id);
    if (it != transfers_.end())
      it->second->handlers.begun();
  }
}

void HttpClient::Finish(Transfer& transfer, CURLcode code) {
  HttpOutcome outcome = OutcomeOf(transfer, code);
  const auto node = transfers_.extract(transfer.id);
  Release(*node.mapped());
  const auto* failure = std::get_if<HttpFailure>(&outcome);
  if (failure != nullptr && failure->is_malformed && on_malformed_)
    on_malformed_(node.mapped()->request.address, failure->detail);
  node.mapped()->handlers.done(std::move(outcome));
}

HttpOutcome HttpClient::OutcomeOf(Transfer& transfer, CURLcode code) {
  if (transfer.was_body_dropped)
    return FailureOf(transfer, "the answers being received are too large");
  const bool is_whole = code == CURLE_OK && transfer.reader->End();
  if (auto fault = FaultOf(transfer, code)) {
    HttpFailure failure = FailureOf(transfer, std::move(*fault));
    failure.is_malformed = true;
    // libcurl may have read the answer to an end, and kept its connection.
    if (code == CURLE_OK)
      RetireConnections(transfer.request.address);
    return failure;
  }
  if (code != CURLE_OK) {
    std::string detail = curl_easy_strerror(code);
    if (transfer.received_bytes > 0)
      detail += " after " + std::to_string(transfer.received_bytes) + " bytes";
    HttpFailure failure = FailureOf(transfer, std::move(detail));
    failure.was_refused = WasRefused(transfer, code);
    return failure;
  }
  // If the connection closes inside a head that has named neither a length nor
  // chunks so far, libcurl takes the answer for a complete one.
  if (!is_whole)
    return FailureOf(transfer, "the head of the answer broke off");
  transfer.response.headers = transfer.reader->headers();
  if (!HasMatchingExchangeId(transfer)) {
    // The next answer on this connection would be the one to this request, so
    // that connections to the peer must not be reused.
    RetireConnections(transfer.request.address);
    return FailureOf(transfer, "the answer to another request");
  }
  return std::move(transfer.response);
}

// libcurl refuses some heads before this program sees the line, and chunks of
// what a paused transfer has kept.
std::optional<std::string> HttpClient::FaultOf(const Transfer& transfer,
                                               CURLcode code) {
  const AnswerReader& reader = *transfer.reader;
  if (!reader.fault().empty())
    return reader.fault();
  // A paused transfer doesn't receive, so that it is the chunks that failed.
  if (transfer.is_paused && code == CURLE_RECV_ERROR)
    return "a chunk of the body can't be read";
  if (code != CURLE_UNSUPPORTED_PROTOCOL && code != CURLE_WEIRD_SERVER_REPLY &&
      code != CURLE_BAD_FUNCTION_ARGUMENT)
    return std::nullopt;
  return "line " + std::to_string(reader.line_count() + 1) +
         " of the head can't be read: " + curl_easy_strerror(code);
}

bool HttpClient::WasRefused(const Transfer& transfer, CURLcode code) {
  long error = 0;
  curl_easy_getinfo(transfer.easy, CURLINFO_OS_ERRNO, &error);
  return code == CURLE_COULDNT_CONNECT && error == ECONNREFUSED;
}

bool HttpClient::HasMatchingExchangeId(const Transfer& transfer) {
  if (!transfer.request.expects_exchange_id)
    return true;
  const std::string* id =
      FindHeader(transfer.response.headers, kExchangeIdHeader);
  return id != nullptr && *id == ExchangeIdText(transfer.id);
}

HttpFailure HttpClient::FailureOf(const Transfer& transfer,
                                  std::string detail) {
  HttpFailure failure;
  failure.detail = std::move(detail);
  failure.received_bytes = transfer.received_bytes;
  long new_connections = 0;
  curl_easy_getinfo(transfer.easy, CURLINFO_NUM_CONNECTS, &new_connections);
  // When a reused connection closes before the first byte of the response, curl
  // retries on a new one. The request sent on the first connection may have
  // taken effect, so only a request that was never sent counts as unreachable.
  if (!transfer.was_sent)
    failure.kind = node::EndpointFailureKind::kUnreachable;
  failure.connection = new_connections > 0 ? node::ConnectionAge::kFresh
                                           : node::ConnectionAge::kReused;
  return failure;
}

}  // namespace bilberry::transport
