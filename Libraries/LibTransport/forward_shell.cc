#include "LibTransport/forward_shell.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "LibTransport/machine_limits.h"
#include "LibTransport/memory_metrics.h"
#include "LibTransport/metric_writer.h"
#include "LibTransport/permit_codec.h"
#include "LibTransport/placement_codec.h"
#include "LibTransport/stage_job_codec.h"
#include "LibTransport/store_sync_codec.h"

namespace bilberry::transport {

namespace {

constexpr const char* kConnectionHeader = "Connection";
constexpr const char* kJobsPath = "/v1/jobs";
constexpr const char* kAlivePath = "/v1/alive";
// Of a host that lives but can't reach any endpoint.
constexpr int kCutOffStatus = 503;
constexpr const char* kStoreSyncPath = "/v1/news";
constexpr const char* kPermitsPath = "/v1/permits";
constexpr const char* kLimitsPath = "/v1/limits";
constexpr const char* kNoticesPath = "/v1/notices";
constexpr const char* kPlacementsPath = "/v1/placements";
constexpr const char* kPlacementReportsPath = "/v1/placement-reports";
constexpr const char* kResultsReadPath = "/v1/results-read";
constexpr const char* kMetricsPath = "/metrics";
// A request that another host passes on: its method and target are in headers.
constexpr const char* kCarryPath = "/v1/carry";
constexpr const char* kCarriedMethodHeader = "Carried-Method";
constexpr const char* kCarriedTargetHeader = "Carried-Target";
// On the answer of a host that doesn't serve it. Nothing was run.
constexpr const char* kDeclinedHeader = "Carry-Declined";
// Added to a job's remaining deadline to get the timeout of the call to its
// dispatcher. Jobs end by their own deadline before, so a peer that has not
// answered by then is considered lost.
constexpr std::chrono::milliseconds kPeerJobMargin{500};
constexpr std::chrono::milliseconds kNotificationTimeout{1000};
constexpr std::chrono::milliseconds kFreeTimeout{1000};
constexpr std::chrono::milliseconds kHealthCheckTimeout{500};
constexpr forward::AnswerTimeouts kStoreTimeouts{
    std::chrono::milliseconds(1500), forward::kStallTimeout};
// Subtracted from the grace period of a shutdown, to leave time for writing the
// last answers.
constexpr std::chrono::milliseconds kStopMargin{1000};
constexpr std::chrono::milliseconds kFlushTime{500};
// The adapter refuses heads over the configured limit, which is lower.
constexpr size_t kMaxCallerHead = size_t{32} * 1024;
constexpr size_t kMaxPeerBody = size_t{1024} * 1024;
// With the headers of a request that is passed on.
constexpr size_t kMaxPeerHead = kMaxCallerHead + size_t{8} * 1024;
// Largest body of an error response in place of a stream; a longer one fails
// the attempt.
constexpr size_t kMaxErrorBody = size_t{64} * 1024;
// While a caller has more unsent bytes than this, its endpoint's stream isn't
// read; once it has half of them, it is again. A caller that takes nothing for
// the idle timeout is disconnected.
constexpr size_t kMaxUnsentBytes = size_t{64} * 1024;

// Marks the ids of callers whose requests a peer passes on. The two listeners
// count their exchanges by themselves.
constexpr uint64_t kCarriedCaller = uint64_t{1} << 63;

ExchangeId ExchangeOf(base::CallerId caller) {
  return ExchangeId{static_cast<uint64_t>(caller) & ~kCarriedCaller};
}

base::CallerId CallerOf(ExchangeId exchange) {
  return base::CallerId{static_cast<uint64_t>(exchange)};
}

base::CallerId CarriedCallerOf(ExchangeId exchange) {
  return base::CallerId{static_cast<uint64_t>(exchange) | kCarriedCaller};
}

bool IsCarried(base::CallerId caller) {
  return (static_cast<uint64_t>(caller) & kCarriedCaller) != 0;
}

// Removes the first header of this name. Empty if there is none.
std::optional<std::string> TakeHeader(HttpHeaders& headers, const char* name) {
  const auto it =
      std::ranges::find_if(headers, [name](const HttpHeader& header) {
        return base::IsSameHeader(header.name, name);
      });
  if (it == headers.end())
    return std::nullopt;
  std::string value = std::move(it->value);
  headers.erase(it);
  return value;
}

// The headers of an endpoint's answer that is passed on. An endpoint can't
// decline for this host.
template <typename Answer>
HttpHeaders HeadersFor(const Answer& answer) {
  HttpHeaders headers = answer.head.headers;
  if (IsCarried(answer.caller))
    std::erase_if(headers, [](const HttpHeader& it) {
      return base::IsSameHeader(it.name, kDeclinedHeader);
    });
  return headers;
}

// Whether another host may serve a request that this one refuses so: the host
// that passed it on has checked it by its own configuration.
bool IsDeclined(forward::LocalAnswerCode code) {
  return code == forward::LocalAnswerCode::kCutOff ||
         code == forward::LocalAnswerCode::kNotReady ||
         code == forward::LocalAnswerCode::kStopping ||
         code == forward::LocalAnswerCode::kUnknownPipeline ||
         code == forward::LocalAnswerCode::kUnknownKey;
}

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

// Builds a request to another entry host, which echoes the request's exchange
// ID in its answer; the ID makes reuse of connections safe.
HttpRequest GetFrom(const base::SocketAddress& address, const char* path) {
  HttpRequest request;
  request.address = address;
  request.path = path;
  request.connection = node::ConnectionUse::kPooled;
  request.expects_exchange_id = true;
  return request;
}

HttpRequest PostTo(const base::SocketAddress& address,
                   const char* path,
                   std::string body) {
  HttpRequest request = GetFrom(address, path);
  request.method = HttpMethod::kPost;
  request.headers = {{kContentTypeHeader, kJsonType}};
  request.body = std::move(body);
  return request;
}

node::ConnectionUse ConnectionUseOf(declare::Repeatability repeatability) {
  return repeatability == declare::Repeatability::kRepeatable
             ? node::ConnectionUse::kPooled
             : node::ConnectionUse::kFresh;
}

void SetTimeouts(HttpRequest& request,
                 const forward::AnswerTimeouts& timeouts) {
  request.timeout = timeouts.first_byte;
  request.stall_timeout = timeouts.stall;
}

std::chrono::milliseconds RoundUp(base::Duration duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

forward::ForwardOptions NodeOptionsOf(const ForwardShellOptions& options) {
  const declare::ForwardSettings& settings = options.settings;
  forward::ForwardOptions node;
  node.own = {settings.host, settings.peers, settings.zone, settings.cores,
              settings.link_mbps};
  node.incarnation = options.incarnation;
  node.seed = options.seed;
  node.stop_timeout =
      std::max(settings.stop_grace - kStopMargin, settings.stop_grace / 2);
  node.retry_allowance = settings.retry_allowance;
  node.cold_bound = {settings.cold_factor.value_or(1),
                     settings.cold_allowance.value_or(0)};
  node.shares_calls = options.shares_calls;
  return node;
}

}  // namespace

ForwardShell::ForwardShell(Reactor& reactor,
                           ForwardAdapter& adapter,
                           const ForwardShellOptions& options)
    : reactor_(reactor),
      adapter_(adapter),
      settings_(options.settings),
      budget_(BudgetBytes(settings_.memory_mb)),
      node_(NodeOptionsOf(options)),
      log_(options.log_descriptor) {}

base::Result<std::unique_ptr<ForwardShell>> ForwardShell::Create(
    Reactor& reactor,
    ForwardAdapter& adapter,
    const ForwardShellOptions& options) {
  std::unique_ptr<ForwardShell> shell(
      new ForwardShell(reactor, adapter, options));
  TRY(shell->Listen());
  reactor.Add(*shell);
  return shell;
}

base::Result<void> ForwardShell::Listen() {
  TRY(http, HttpClient::Create(reactor_, &budget_));
  http_ = std::move(http);
  http_->SetMalformedHandler(
      [this](const base::SocketAddress& peer, const std::string& fault) {
        log_.Add({base::LogEventId::kMalformedAnswer,
                  "",
                  {{"peer", base::ToText(peer)}, {"reason", fault}}},
                 reactor_.Now());
      });
  ListenerOptions options;
  options.address = settings_.callers;
  options.max_head_bytes = kMaxCallerHead;
  options.budget = &budget_;
  options.max_connections = MaxCallerConnections(settings_.max_fds);
  options.receive_buffer_bytes = kCallerReceiveBuffer;
  options.max_body_bytes = forward::CallerLimits().max_body_bytes;
  options.head_check = [this](const IncomingRequest& head) {
    return adapter_.CheckHead(head);
  };
  TRY(callers, HttpListener::Create(
                   reactor_, options,
                   [this](IncomingRequest it) { HandleCaller(std::move(it)); },
                   [this](ExchangeId it) { HandleCallerDisconnect(it); }));
  callers_ = std::move(callers);
  ListenerOptions peer_options;
  peer_options.address = settings_.peers;
  peer_options.max_body_bytes = kMaxPeerBody;
  peer_options.max_head_bytes = kMaxPeerHead;
  peer_options.budget = &budget_;
  peer_options.part = BudgetPart::kPeers;
  peer_options.echoes_exchange_ids = true;
  TRY(peers,
      HttpListener::Create(
          reactor_, peer_options,
          [this](IncomingRequest it) { HandlePeer(std::move(it)); },
          [this](ExchangeId it) {
            HandleEvent(forward::PeerJobCancelled{
                forward::PeerExchangeId{static_cast<uint64_t>(it)}});
            HandleEvent(forward::CallerDisconnected{CarriedCallerOf(it)});
            streams_.erase(CarriedCallerOf(it));
            peers_->Abort(it);
          }));
  peers_ = std::move(peers);
  ListenerOptions readiness_options;
  readiness_options.address = settings_.readiness;
  readiness_options.budget = &budget_;
  readiness_options.part = BudgetPart::kPeers;
  TRY(readiness, HttpListener::Create(reactor_, readiness_options,
                                      [this](const IncomingRequest& it) {
                                        HandleReadiness(it);
                                      }));
  readiness_ = std::move(readiness);
  return base::Success();
}

ForwardShell::~ForwardShell() {
  reactor_.Remove(*this);
}

void ForwardShell::RequestStop() {
  HandleEvent(forward::StopRequested{});
}

void ForwardShell::ApplySettings(const declare::ForwardSettings& settings) {
  const bool has_new_store = settings.store != settings_.store;
  if (has_new_store)
    adapter_.SetStore(settings.store);
  settings_.store = settings.store;
  const std::string outcome = settings != settings_ ? "needs a restart"
                              : has_new_store       ? "another store"
                                                    : "unchanged";
  log_.Add({base::LogEventId::kSettingsRead, "", {{"outcome", outcome}}},
           reactor_.Now());
}

void ForwardShell::ReportInvalidSettings(std::string reason) {
  log_.Add({base::LogEventId::kSettingsRead,
            "",
            {{"outcome", "refused"}, {"reason", std::move(reason)}}},
           reactor_.Now());
}

bool ForwardShell::has_finished() const {
  return has_exited_ && (callers_->exchange_count() == 0 ||
                         reactor_.Now() > exited_at_ + kFlushTime);
}

void ForwardShell::RunTurn(base::TimePoint now) {
  FailEvicted();
  ResumeStreams();
  const auto due = node_.NextWakeup();
  if (due && *due <= now)
    HandleEvent(forward::TimerDue{});
  log_.Flush();
}

std::optional<base::TimePoint> ForwardShell::NextTurn() const {
  return node_.NextWakeup();
}

void ForwardShell::HandleEvent(forward::Event event) {
  for (forward::Action& action : node_.Handle(std::move(event), reactor_.Now()))
    std::visit([this](const auto& it) { Execute(it); }, action);
}

void ForwardShell::HandleCaller(IncomingRequest request) {
  HandleEvent(adapter_.DecodeRequest(std::move(request)));
}

void ForwardShell::HandleCallerDisconnect(ExchangeId exchange) {
  HandleEvent(forward::CallerDisconnected{CallerOf(exchange)});
  DisconnectCaller(exchange);
}

void ForwardShell::DisconnectCaller(ExchangeId exchange) {
  if (streams_.erase(CallerOf(exchange)) > 0)
    callers_->EndStream(exchange, StreamEnd::kCut);
  else
    callers_->Abort(exchange);
}

void ForwardShell::HandleReadiness(const IncomingRequest& request) {
  if (request.path != adapter_.ReadinessPath()) {
    readiness_->Respond(request.exchange, {404, {}, ""});
    return;
  }
  readiness_->Respond(request.exchange, {node_.is_ready() ? 200 : 503, {}, ""});
}

void ForwardShell::HandleCarried(IncomingRequest request) {
  // The caller may have sent headers of these names, too, which come behind.
  auto method = TakeHeader(request.headers, kCarriedMethodHeader);
  auto target = TakeHeader(request.headers, kCarriedTargetHeader);
  if (!method || !target) {
    peers_->Respond(request.exchange, {400, {}, ""});
    return;
  }
  request.method = std::move(*method);
  request.target = std::move(*target);
  const base::CallerId caller = CarriedCallerOf(request.exchange);
  forward::ForwardedRequest decoded =
      adapter_.DecodeRequest(std::move(request));
  decoded.caller = caller;
  decoded.is_carried = true;
  HandleEvent(std::move(decoded));
}

HttpListener& ForwardShell::ListenerOf(base::CallerId caller) {
  return IsCarried(caller) ? *peers_ : *callers_;
}

void ForwardShell::HandlePeer(IncomingRequest request) {
  if (request.path == kCarryPath) {
    HandleCarried(std::move(request));
    return;
  }
  const forward::PeerExchangeId exchange{
      static_cast<uint64_t>(request.exchange)};
  if (request.path == kJobsPath) {
    if (auto job = DecodeStageJob(request.body)) {
      HandleEvent(forward::PeerJobRequested{exchange, std::move(*job)});
      return;
    }
  } else if (request.path == kAlivePath) {
    peers_->Respond(request.exchange,
                    {node_.is_cut_off() ? kCutOffStatus : 204, {}, ""});
    return;
  } else if (request.path == kPermitsPath) {
    if (auto decoded = DecodePermitRequest(request.body)) {
      HandleEvent(forward::PeerPermitRequested{exchange, std::move(*decoded)});
      return;
    }
  } else if (request.path == kPlacementsPath) {
    if (auto decoded = DecodePlacementRequest(request.body)) {
      HandleEvent(
          forward::PeerPlacementRequested{exchange, std::move(*decoded)});
      return;
    }
  } else if (request.path == kPlacementReportsPath) {
    if (auto report = DecodePlacementReport(request.body)) {
      HandleEvent(forward::PeerPlacementReported{std::move(*report)});
      peers_->Respond(request.exchange, {204, {}, ""});
      return;
    }
  } else if (request.path == kLimitsPath) {
    const auto array = ParseJsonValue(request.body);
    if (auto limits = array ? DecodeLimitReports(*array) : std::nullopt) {
      HandleEvent(forward::PeerLimitsReceived{std::move(*limits)});
      peers_->Respond(request.exchange, {204, {}, ""});
      return;
    }
  } else if (request.path == kNoticesPath) {
    if (auto notices = DecodeNoticeBatch(request.body)) {
      HandleEvent(forward::PeerNoticesReceived{std::move(*notices)});
      peers_->Respond(request.exchange, {204, {}, ""});
      return;
    }
  } else if (request.path == kStoreSyncPath) {
    if (auto decoded = DecodeStoreSyncRequest(request.body)) {
      HandleEvent(
          forward::PeerStoreSyncRequested{exchange, std::move(*decoded)});
      return;
    }
  } else if (request.path == kMetricsPath) {
    AnswerMetrics(request.exchange);
    return;
  } else if (request.path == kResultsReadPath) {
    if (auto read = DecodeResultsReleased(request.body)) {
      HandleEvent(std::move(*read));
      peers_->Respond(request.exchange, {204, {}, ""});
      return;
    }
  }
  peers_->Respond(request.exchange, {400, {}, ""});
}

void ForwardShell::AnswerMetrics(ExchangeId exchange) {
  metrics_.SetReady(node_.is_ready());
  metrics_.SetDroppedLines(log_.dropped_by_event());
  metrics_.SetPlacements(node_.PlacementStatus(reactor_.Now()));
  peers_->Respond(exchange, {200,
                             {{kContentTypeHeader, kMetricsType}},
                             metrics_.Print() + PrintMemoryMetrics(budget_)});
}

void ForwardShell::AddConnectionHeader(HttpHeaders& headers) const {
  // Makes the load balancer drop its connections to a host that shuts down.
  if (node_.is_stopping())
    headers.push_back({kConnectionHeader, "close"});
}

void ForwardShell::Execute(const forward::SendAttempt& action) {
  HttpRequest request = adapter_.EncodeAttempt(action);
  request.connection = ConnectionUseOf(action.repeatability);
  Attempt& attempt = attempts_[action.attempt.number];
  attempt.endpoint = action.endpoint;
  attempt.incarnation = action.incarnation;
  Send(action.attempt, action.delivery, std::move(request));
}

// The peer decodes the request as it does those of its own callers.
void ForwardShell::Execute(const forward::CarryRequest& action) {
  HttpRequest request = adapter_.EncodeCarried(action);
  request.headers.insert(
      request.headers.begin(),
      {{kCarriedMethodHeader, std::move(*request.forwarded_method)},
       {kCarriedTargetHeader, std::move(request.path)}});
  request.forwarded_method = "POST";
  request.path = kCarryPath;
  request.address = action.address;
  request.connection = ConnectionUseOf(action.repeatability);
  attempts_[action.attempt.number].is_carried = true;
  Send(action.attempt, action.delivery, std::move(request));
}

void ForwardShell::Send(const base::AttemptId& id,
                        declare::Delivery delivery,
                        HttpRequest request) {
  HttpClient::ChunkHandler on_chunk;
  if (delivery == declare::Delivery::kStreamed)
    on_chunk = [this, id](const HttpResponse& head, std::string bytes) {
      HandleAttemptChunk(id, head, std::move(bytes));
    };
  Attempt& attempt = attempts_.at(id.number);
  attempt.sent = reactor_.Now();
  attempt.transfer = http_->Send(
      std::move(request),
      [this, id](HttpOutcome outcome) {
        HandleAttemptDone(id, std::move(outcome));
      },
      std::move(on_chunk));
}

void ForwardShell::HandleNotice(const base::EndpointName& endpoint,
                                base::Incarnation incarnation,
                                base::TimePoint sent_at,
                                const HttpResponse& response) {
  HandleNotice(endpoint, incarnation, sent_at, adapter_.DecodeNotice(response));
}

void ForwardShell::HandleNotice(const base::EndpointName& endpoint,
                                base::Incarnation incarnation,
                                base::TimePoint sent_at,
                                const forward::EndpointNotice& notice) {
  const bool ends_limit = notice.limit && node_.KnowsLimitOf(endpoint);
  if (!notice.is_empty() || ends_limit)
    HandleEvent(forward::EndpointNoticeReceived{endpoint, incarnation, notice,
                                                sent_at});
}

void ForwardShell::HandleAttemptChunk(const base::AttemptId& attempt,
                                      const HttpResponse& head,
                                      std::string bytes) {
  const auto it = attempts_.find(attempt.number);
  if (it == attempts_.end())
    return;
  // The body of an error response is not part of the stream.
  if (!IsSuccess(head.status)) {
    it->second.error_body += bytes;
    if (it->second.error_body.size() > kMaxErrorBody)
      FailAttempt(attempt, "the body of an error response is too large");
    else
      BoundStream(attempt);
    return;
  }
  forward::AttemptChunk chunk;
  chunk.attempt = attempt;
  if (!std::exchange(it->second.has_head, true)) {
    if (!it->second.is_carried)
      HandleNotice(it->second.endpoint, it->second.incarnation, it->second.sent,
                   head);
    chunk.head = adapter_.DecodeHead(head);
  }
  chunk.bytes = std::move(bytes);
  HandleEvent(std::move(chunk));
  BoundStream(attempt);
}

void ForwardShell::BoundStream(const base::AttemptId& attempt) {
  const auto it = attempts_.find(attempt.number);
  const auto caller = node_.CallerOf(attempt);
  if (it == attempts_.end() || !caller)
    return;
  Attempt& stream = it->second;
  const base::TimePoint now = reactor_.Now();
  // An evicted attempt holds nothing from the end of this turn on.
  if (!stream.memory)
    stream.memory = std::make_unique<MemoryReservation>(
        budget_, BudgetPart::kEndpoints, [this, attempt](LimitReason) {
          evicted_.push_back(attempt);
          attempts_.at(attempt.number).memory->Update({});
        });
  stream.memory->Update(
      {stream.error_body.size() + node_.KeptStreamBytes(attempt), now,
       std::nullopt});
  if (!stream.is_held &&
      ListenerOf(*caller).UnsentBytes(ExchangeOf(*caller)) > kMaxUnsentBytes) {
    stream.is_held = true;
    http_->Hold(stream.transfer);
    held_.push_back(attempt);
  }
  budget_.Enforce(now);
}

void ForwardShell::ResumeStreams() {
  std::erase_if(held_, [this](const base::AttemptId& attempt) {
    const auto it = attempts_.find(attempt.number);
    const auto caller = node_.CallerOf(attempt);
    if (it == attempts_.end() || !caller)
      return true;
    if (ListenerOf(*caller).UnsentBytes(ExchangeOf(*caller)) >
        kMaxUnsentBytes / 2)
      return false;
    it->second.is_held = false;
    http_->Resume(it->second.transfer);
    return true;
  });
}

void ForwardShell::FailEvicted() {
  for (const base::AttemptId& attempt : std::exchange(evicted_, {})) {
    if (attempts_.contains(attempt.number))
      FailAttempt(attempt, "no memory is left for its stream");
  }
}

void ForwardShell::FailAttempt(const base::AttemptId& attempt,
                               std::string detail) {
  const auto node = attempts_.extract(attempt.number);
  http_->Cancel(node.mapped().transfer);
  HandleEvent(forward::AttemptFailure{
      attempt, forward::AttemptFailureKind::kBroken, std::move(detail)});
}

void ForwardShell::HandleAttemptDone(const base::AttemptId& attempt,
                                     HttpOutcome outcome) {
  const auto node = attempts_.extract(attempt.number);
  if (node.empty())
    return;
  if (const auto* failure = std::get_if<HttpFailure>(&outcome)) {
    const auto kind = failure->kind == node::EndpointFailureKind::kUnreachable
                          ? forward::AttemptFailureKind::kUnreachable
                          : forward::AttemptFailureKind::kBroken;
    HandleEvent(forward::AttemptFailure{attempt, kind, failure->detail});
    return;
  }
  auto& response = std::get<HttpResponse>(outcome);
  if (node.mapped().is_carried) {
    HandleCarriedDone(attempt, node.mapped(), std::move(response));
    return;
  }
  // A stream's trailers may hold a notice too, so that notices are decoded
  // again at its end. A limit from the head was applied when the head arrived
  // and is dropped here.
  forward::EndpointNotice notice = adapter_.DecodeNotice(response);
  if (node.mapped().has_head)
    notice.limit.reset();
  HandleNotice(node.mapped().endpoint, node.mapped().incarnation,
               node.mapped().sent, notice);
  if (!node.mapped().error_body.empty())
    response.body = node.mapped().error_body;
  forward::AnswerHead head = adapter_.DecodeHead(response);
  HandleEvent(forward::AttemptAnswer{attempt, std::move(head),
                                     std::move(response.body)});
}

// What the answer says of endpoints, the peer has heard.
void ForwardShell::HandleCarriedDone(const base::AttemptId& id,
                                     const Attempt& attempt,
                                     HttpResponse response) {
  if (FindHeader(response.headers, kDeclinedHeader) != nullptr) {
    HandleEvent(forward::AttemptFailure{
        id, forward::AttemptFailureKind::kUnreachable, "declined"});
    return;
  }
  if (!attempt.error_body.empty())
    response.body = attempt.error_body;
  forward::AnswerHead head = adapter_.DecodeHead(response);
  HandleEvent(
      forward::AttemptAnswer{id, std::move(head), std::move(response.body)});
}

void ForwardShell::Execute(const forward::ProbeEndpoint& action) {
  HttpRequest request =
      adapter_.EncodeHealthCheck({action.endpoint, action.path});
  request.timeout = kHealthCheckTimeout;
  http_->Send(std::move(request),
              [this, name = action.endpoint.name,
               began = reactor_.Now()](const HttpOutcome& outcome) {
                const auto* failure = std::get_if<HttpFailure>(&outcome);
                const bool is_connected =
                    failure == nullptr ||
                    failure->kind != node::EndpointFailureKind::kUnreachable;
                HandleEvent(forward::EndpointProbed{name, began, is_connected});
              });
}

void ForwardShell::Execute(const forward::CancelAttempt& action) {
  const auto node = attempts_.extract(action.attempt.number);
  if (!node.empty())
    http_->Cancel(node.mapped().transfer);
}

void ForwardShell::Execute(const forward::RetireConnections& action) {
  http_->RetireConnections(action.address);
}

void ForwardShell::Execute(const forward::CheckEndpointHealth& action) {
  HttpRequest request = adapter_.EncodeHealthCheck(action);
  request.timeout = kHealthCheckTimeout;
  http_->Send(std::move(request),
              [this, endpoint = action.endpoint](const HttpOutcome& outcome) {
                HandleEvent(forward::EndpointHealthChecked{
                    endpoint.name, endpoint.incarnation,
                    adapter_.DecodeHealthCheck(endpoint.name, outcome)});
              });
}

void ForwardShell::Execute(const forward::AnswerCaller& action) {
  HttpResponse response = adapter_.EncodeLocalAnswer(action);
  if (IsCarried(action.caller) && IsDeclined(action.code))
    response.headers.push_back({kDeclinedHeader, "1"});
  AddConnectionHeader(response.headers);
  ListenerOf(action.caller).Respond(ExchangeOf(action.caller), response);
}

void ForwardShell::Execute(const forward::ForwardAnswer& action) {
  HttpResponse response{action.head.status, HeadersFor(action), action.body};
  AddConnectionHeader(response.headers);
  ListenerOf(action.caller).Respond(ExchangeOf(action.caller), response);
}

void ForwardShell::Execute(const forward::BeginStream& action) {
  HttpHeaders headers = HeadersFor(action);
  AddConnectionHeader(headers);
  streams_.emplace(action.caller, true);
  ListenerOf(action.caller)
      .BeginStream(ExchangeOf(action.caller), action.head.status, headers);
}

void ForwardShell::Execute(const forward::StreamToCaller& action) {
  ListenerOf(action.caller)
      .WriteStream(ExchangeOf(action.caller), action.bytes);
}

void ForwardShell::Execute(const forward::EndStream& action) {
  streams_.erase(action.caller);
  ListenerOf(action.caller)
      .EndStream(ExchangeOf(action.caller),
                 action.outcome == forward::StreamOutcome::kWhole
                     ? StreamEnd::kWhole
                     : StreamEnd::kCut);
}

void ForwardShell::Execute(const forward::CallStage& action) {
  HttpRequest request = adapter_.EncodeStageCall(action.call);
  request.timeout = RoundUp(action.call.timeout);
  // The names of the results identify the answer to this call, so that a late
  // copy of another answer on a pooled connection is detected.
  request.connection = node::ConnectionUse::kPooled;
  http_->Send(std::move(request), [this, id = action.call.id,
                                   endpoint = action.call.endpoint,
                                   incarnation = action.call.incarnation,
                                   sent = reactor_.Now()](
                                      const HttpOutcome& outcome) {
    if (const auto* response = std::get_if<HttpResponse>(&outcome))
      HandleNotice(endpoint, incarnation, sent, *response);
    HandleEvent(forward::StageCallEnded{id, adapter_.DecodeStageCall(outcome)});
  });
}

void ForwardShell::Execute(const forward::FreeResults& action) {
  HttpRequest request = adapter_.EncodeFreeCall(action.free_request);
  request.timeout = kFreeTimeout;
  // A pooled connection is safe here: a late copy of another success says
  // nothing different, since results that are not freed expire by themselves,
  // and the answer to this call is malformed as the answer to a stage call.
  request.connection = node::ConnectionUse::kPooled;
  http_->Send(std::move(request),
              [this, free_request = action.free_request,
               sent = reactor_.Now()](const HttpOutcome& outcome) {
                const auto* response = std::get_if<HttpResponse>(&outcome);
                if (response == nullptr)
                  return;
                HandleNotice(free_request.endpoint, free_request.incarnation,
                             sent, *response);
                if (IsSuccess(response->status))
                  HandleEvent(forward::ResultsFreed{free_request});
              });
}

void ForwardShell::Execute(const forward::SendPeerJob& action) {
  HttpRequest request =
      PostTo(action.address, kJobsPath, EncodeStageJob(action.job));
  request.timeout =
      RoundUp(std::max(action.job.until_deadline, base::Duration(0))) +
      kPeerJobMargin;
  peer_jobs_[action.id] = http_->Send(
      std::move(request), [this, id = action.id](const HttpOutcome& outcome) {
        peer_jobs_.erase(id);
        if (const auto* failure = std::get_if<HttpFailure>(&outcome)) {
          HandleEvent(forward::PeerJobLost{id, failure->detail});
          return;
        }
        const auto& response = std::get<HttpResponse>(outcome);
        auto decoded = DecodeJobAnswer(id, response.body);
        if (response.status == 200 && decoded)
          HandleEvent(std::move(*decoded));
        else
          HandleEvent(forward::PeerJobLost{
              id, "answered " + std::to_string(response.status)});
      });
}

void ForwardShell::Execute(const forward::CancelPeerJob& action) {
  const auto node = peer_jobs_.extract(action.id);
  if (!node.empty())
    http_->Cancel(node.mapped());
}

void ForwardShell::Execute(const forward::AnswerPeerJob& action) {
  peers_->Respond(
      ExchangeId{static_cast<uint64_t>(action.exchange)},
      {200, {{kContentTypeHeader, kJsonType}}, EncodeJobAnswer(action)});
}

void ForwardShell::Execute(const forward::ReleasePeerResults& action) {
  HttpRequest request =
      PostTo(action.address, kResultsReadPath,
             EncodeResultsReleased(action.at, action.results));
  request.timeout = kNotificationTimeout;
  // A lost message has a bounded effect: the peer counts the results' memory as
  // used until the results expire.
  http_->Send(std::move(request), [](const HttpOutcome&) {});
}

void ForwardShell::Execute(const forward::ProbePeer& action) {
  HttpRequest request = GetFrom(action.address, kAlivePath);
  request.timeout = action.timeout;
  http_->Send(std::move(request), [this, host = action.host](
                                      const HttpOutcome& outcome) {
    if (const auto* failure = std::get_if<HttpFailure>(&outcome))
      HandleEvent(forward::PeerProbeFailed{host, failure->detail});
    else if (std::get<HttpResponse>(outcome).status == kCutOffStatus)
      HandleEvent(forward::PeerProbeFailed{host, "cut off from all endpoints"});
    else
      HandleEvent(forward::PeerProbeAnswered{host});
  });
}

void ForwardShell::Execute(const forward::RequestPermit& action) {
  HttpRequest request =
      PostTo(action.address, kPermitsPath, EncodePermitRequest(action.request));
  request.timeout = forward::kPermitTimeout;
  http_->Send(
      std::move(request), [this, id = action.id](const HttpOutcome& outcome) {
        if (const auto* failure = std::get_if<HttpFailure>(&outcome)) {
          HandleEvent(forward::PermitRequestFailed{id, failure->detail});
          return;
        }
        const auto answer =
            DecodePermitAnswer(std::get<HttpResponse>(outcome).body);
        if (answer)
          HandleEvent(forward::PermitAnswered{id, *answer});
        else
          HandleEvent(forward::PermitRequestFailed{id, "malformed answer"});
      });
}

void ForwardShell::Execute(const forward::AnswerPermit& action) {
  peers_->Respond(ExchangeId{static_cast<uint64_t>(action.exchange)},
                  {200,
                   {{kContentTypeHeader, kJsonType}},
                   EncodePermitAnswer(action.answer)});
}

void ForwardShell::Execute(const forward::RequestPlacement& action) {
  HttpRequest request = PostTo(action.address, kPlacementsPath,
                               EncodePlacementRequest(action.request));
  request.timeout = forward::kPlacementTimeout;
  http_->Send(
      std::move(request), [this, id = action.id](const HttpOutcome& outcome) {
        if (const auto* failure = std::get_if<HttpFailure>(&outcome)) {
          HandleEvent(forward::PlacementRequestFailed{id, failure->detail});
          return;
        }
        const auto& response = std::get<HttpResponse>(outcome);
        auto answer = DecodePlacementAnswer(response.body);
        if (response.status == 200 && answer)
          HandleEvent(forward::PlacementAnswered{id, std::move(*answer)});
        else
          HandleEvent(forward::PlacementRequestFailed{
              id, "answered " + std::to_string(response.status)});
      });
}

void ForwardShell::Execute(const forward::AnswerPlacement& action) {
  peers_->Respond(ExchangeId{static_cast<uint64_t>(action.exchange)},
                  {200,
                   {{kContentTypeHeader, kJsonType}},
                   EncodePlacementAnswer(action.answer)});
}

void ForwardShell::Execute(const forward::SendPlacementReport& action) {
  forward::PlacementReport part{action.report.domain, {}};
  for (const forward::RunReport& it : action.report.runs) {
    part.runs.push_back(it);
    const bool is_last = &it == &action.report.runs.back();
    if (part.runs.size() < kMaxReportedRuns && !is_last)
      continue;
    SendNotification(PostTo(action.address, kPlacementReportsPath,
                            EncodePlacementReport(part)));
    part.runs.clear();
  }
}

// Sends without retries: a peer that misses the message learns the same from
// the endpoint's own answers, or when a placed run's entry expires.
void ForwardShell::SendNotification(HttpRequest request) {
  request.timeout = kNotificationTimeout;
  http_->Send(std::move(request), [](const HttpOutcome&) {});
}

void ForwardShell::Execute(const forward::SendLimitsToPeer& action) {
  SendNotification(
      PostTo(action.address, kLimitsPath, PrintCompact(JsonOf(action.limits))));
}

void ForwardShell::Execute(const forward::SendNoticesToPeer& action) {
  SendNotification(
      PostTo(action.address, kNoticesPath, EncodeNoticeBatch(action.notices)));
}

void ForwardShell::Execute(const forward::RequestStoreSync& action) {
  HttpRequest request = PostTo(action.address, kStoreSyncPath,
                               EncodeStoreSyncRequest(action.request));
  SetTimeouts(request, action.timeouts);
  http_->Send(std::move(request), [this, kind = action.kind](
                                      const HttpOutcome& outcome) {
    RecordTableBytes("peer", outcome);
    if (const auto* failure = std::get_if<HttpFailure>(&outcome)) {
      HandleEvent(forward::StoreSyncFailed{failure->detail, kind});
      return;
    }
    if (auto response = DecodeStoreSyncResponse(
            std::get<HttpResponse>(outcome).body,
            [this](std::string_view document) {
              return adapter_.DecodeConfiguration(document);
            }))
      HandleEvent(forward::StoreSyncReceived{std::move(*response), kind});
    else
      HandleEvent(forward::StoreSyncFailed{"malformed answer", kind});
  });
}

void ForwardShell::Execute(const forward::AnswerStoreSync& action) {
  peers_->Respond(ExchangeId{static_cast<uint64_t>(action.exchange)},
                  {200,
                   {{kContentTypeHeader, kJsonType}},
                   EncodeStoreSyncResponse(action.response)});
}

void ForwardShell::CallStore(forward::FeedKind feed,
                             HttpRequest request,
                             HttpClient::DoneHandler done) {
  const auto earlier = feed_calls_.find(feed);
  if (earlier != feed_calls_.end())
    http_->Cancel(earlier->second);
  HttpClient::Handlers handlers;
  handlers.done = [this, feed, done = std::move(done)](HttpOutcome outcome) {
    feed_calls_.erase(feed);
    done(std::move(outcome));
  };
  handlers.begun = [this, feed] {
    HandleEvent(forward::TableAnswerBegun{feed});
  };
  feed_calls_[feed] = http_->Send(std::move(request), std::move(handlers));
}

void ForwardShell::Execute(const forward::ListTable& action) {
  HttpRequest request = adapter_.EncodeList(action);
  SetTimeouts(request, action.timeouts);
  CallStore(action.feed, std::move(request),
            [this, feed = action.feed](const HttpOutcome& outcome) {
              RecordStoreCall("list", outcome);
              RecordTableBytes("list", outcome);
              HandleEvent(adapter_.DecodeListResponse(feed, outcome));
            });
}

void ForwardShell::Execute(const forward::FollowTable& action) {
  HttpRequest request = adapter_.EncodeFollow(action);
  SetTimeouts(request, action.timeouts);
  CallStore(action.feed, std::move(request),
            [this, feed = action.feed](const HttpOutcome& outcome) {
              RecordStoreCall("follow", outcome);
              RecordTableBytes("follow", outcome);
              HandleEvent(adapter_.DecodeFollowResponse(feed, outcome));
            });
}

void ForwardShell::CallStoreOnce(
    std::string_view call,
    HttpRequest request,
    std::function<forward::Event(const HttpOutcome&)> decode) {
  SetTimeouts(request, kStoreTimeouts);
  http_->Send(std::move(request), [this, call, decode = std::move(decode)](
                                      const HttpOutcome& outcome) {
    RecordStoreCall(call, outcome);
    HandleEvent(decode(outcome));
  });
}

void ForwardShell::Execute(const forward::WriteOwnRow& action) {
  CallStoreOnce(action.fence.is_listed ? "write_row" : "remove_row",
                adapter_.EncodeOwnRowWrite(action),
                [this](const HttpOutcome& outcome) {
                  return adapter_.DecodeOwnRowWrite(outcome);
                });
}

void ForwardShell::Execute(const forward::ReadStreamRows& action) {
  CallStoreOnce("read_streams", adapter_.EncodeStreamRead(action),
                [this, id = action.id](const HttpOutcome& outcome) {
                  return adapter_.DecodeStreamRead(id, outcome);
                });
}

void ForwardShell::Execute(const forward::WriteStreamRows& action) {
  CallStoreOnce("write_streams", adapter_.EncodeStreamWrite(action),
                [this, id = action.id](const HttpOutcome& outcome) {
                  return adapter_.DecodeStreamWrite(id, outcome);
                });
}

void ForwardShell::RecordStoreCall(std::string_view call,
                                   const HttpOutcome& outcome) {
  const auto* response = std::get_if<HttpResponse>(&outcome);
  metrics_.RecordStoreCall(
      call, response == nullptr ? "none" : std::to_string(response->status));
}

void ForwardShell::RecordTableBytes(std::string_view call,
                                    const HttpOutcome& outcome) {
  const auto* response = std::get_if<HttpResponse>(&outcome);
  metrics_.RecordTableBytes(
      call, response != nullptr
                ? response->body.size()
                : std::get<HttpFailure>(outcome).received_bytes);
}

void ForwardShell::Execute(const forward::WriteLog& action) {
  metrics_.RecordLine(action);
  log_.Add(action, reactor_.Now());
}

void ForwardShell::Execute(const forward::ApplyCallerLimits& action) {
  adapter_.SetLimits(action.limits);
  callers_->SetMaxBodyBytes(action.limits.max_body_bytes);
  // Peers pass on what their callers may send.
  peers_->SetMaxBodyBytes(std::max(kMaxPeerBody, action.limits.max_body_bytes));
  // Callers reuse connections that have been idle for almost this long, so that
  // the timeout is rounded up.
  callers_->SetIdleTimeout(
      std::chrono::ceil<std::chrono::seconds>(action.limits.idle_timeout));
}

void ForwardShell::Execute(const forward::Exit& /*action*/) {
  has_exited_ = true;
  exited_at_ = reactor_.Now();
}

}  // namespace bilberry::transport
