#include "LibTransport/node_shell.h"

#include <charconv>
#include <string>
#include <string_view>
#include <utility>

#include "LibTransport/caller_answer_codec.h"
#include "LibTransport/log_writer.h"
#include "LibTransport/machine_limits.h"
#include "LibTransport/memory_metrics.h"
#include "LibTransport/metrics_text.h"
#include "LibTransport/retry_after.h"

namespace bilberry::transport {

namespace {

constexpr const char* kConnectionHeader = "Connection";
// A run keeps its input, and a transfer has a copy of it.
constexpr size_t kRunCopies = 2;
constexpr std::string_view kPipelinesPath = "/v1/pipelines/";

std::optional<std::string> Copy(const std::string* text) {
  return text == nullptr ? std::nullopt : std::optional(*text);
}

std::string TextOrEmpty(const std::string* text) {
  return text == nullptr ? std::string() : *text;
}

bool IsTrue(const std::string* text) {
  return text != nullptr && *text == "true";
}

template <typename Number>
std::optional<Number> NumberOf(const std::string* text) {
  Number number = 0;
  if (text == nullptr)
    return std::nullopt;
  const char* end = text->data() + text->size();
  const auto [rest, ec] = std::from_chars(text->data(), end, number);
  if (ec != std::errc() || rest != end)
    return std::nullopt;
  return number;
}

node::Event EventOf(const base::AttemptId& attempt, HttpOutcome outcome) {
  if (auto* failure = std::get_if<HttpFailure>(&outcome))
    return node::EndpointFailure{attempt, failure->kind, failure->connection,
                                 std::move(failure->detail)};
  auto& response = std::get<HttpResponse>(outcome);
  node::EndpointAnswer answer;
  answer.attempt = attempt;
  answer.echoed_attempt =
      TextOrEmpty(FindHeader(response.headers, kAttemptIdHeader));
  answer.status = response.status;
  answer.reported_not_run = IsTrue(FindHeader(response.headers, kNotRunHeader));
  answer.reported_leaving =
      IsTrue(FindHeader(response.headers, kLeavingHeader));
  answer.retry_after = ParseRetryAfter(response);
  answer.reported_load =
      NumberOf<uint32_t>(FindHeader(response.headers, kLoadHeader));
  answer.resumed_from =
      NumberOf<uint64_t>(FindHeader(response.headers, kResumedFromHeader));
  answer.body = std::move(response.body);
  return answer;
}

HttpResponse PlainText(int status, std::string text) {
  return {status, {{kContentTypeHeader, kTextType}}, std::move(text)};
}

}  // namespace

NodeShell::NodeShell(Reactor& reactor, node::NodeOptions options)
    : reactor_(reactor),
      settings_(options.settings),
      budget_(BudgetBytes(std::nullopt)),
      node_(std::move(options)) {}

base::Result<std::unique_ptr<NodeShell>> NodeShell::Create(
    Reactor& reactor,
    node::NodeOptions options) {
  std::unique_ptr<NodeShell> shell(new NodeShell(reactor, std::move(options)));
  NodeShell* raw = shell.get();
  const declare::HostSettings& settings = shell->settings_;
  TRY(http, HttpClient::Create(reactor, &shell->budget_));
  shell->http_ = std::move(http);
  shell->http_->SetMalformedHandler(
      [](const base::SocketAddress& peer, const std::string& fault) {
        WriteLogLine({base::LogEventId::kMalformedAnswer,
                      base::ToText(peer) + ": " + fault});
      });
  shell->platform_ =
      std::make_unique<PlatformClient>(*shell->http_, settings.platform);
  shell->peers_ = std::make_unique<PeerClient>(*shell->http_);
  ListenerOptions caller_options;
  caller_options.address = settings.callers;
  caller_options.max_body_bytes = settings.max_body_bytes;
  caller_options.budget = &shell->budget_;
  caller_options.body_copies = kRunCopies;
  caller_options.max_connections = MaxCallerConnections(std::nullopt);
  caller_options.receive_buffer_bytes = kCallerReceiveBuffer;
  TRY(callers,
      HttpListener::Create(
          reactor, caller_options,
          [raw](IncomingRequest it) { raw->HandleRequest(std::move(it)); },
          [raw](ExchangeId it) {
            const base::CallerId caller{static_cast<uint64_t>(it)};
            raw->HandleEvent(node::CallerDisconnected{caller});
            raw->bodies_.erase(caller);
          }));
  shell->callers_ = std::move(callers);
  TRY(peer_server,
      PeerServer::Create(
          reactor, settings.peers, settings.operator_token, shell->budget_,
          {[raw] { raw->HandleEvent(node::PeerMessageRefused{}); },
           [raw](node::PeerMessage it) {
             return raw->HandlePeerMessage(std::move(it));
           },
           [raw] { return raw->node_.Status(); },
           [raw] { return raw->Report(); }}));
  shell->peer_server_ = std::move(peer_server);
  reactor.Add(*shell);
  return shell;
}

NodeShell::~NodeShell() {
  reactor_.Remove(*this);
}

void NodeShell::RequestStop() {
  HandleEvent(node::StopRequested{});
}

bool NodeShell::has_finished() const {
  return has_exited_ && callers_->exchange_count() == 0;
}

void NodeShell::RunTurn(base::TimePoint now) {
  const auto due = node_.NextWakeup();
  if (due && *due <= now)
    HandleEvent(node::TimerDue{});
}

std::optional<base::TimePoint> NodeShell::NextTurn() const {
  return node_.NextWakeup();
}

report::ServiceReport NodeShell::Report() const {
  return node_.Report(reactor_.Now());
}

void NodeShell::HandleRequest(IncomingRequest request) {
  if (request.path.starts_with(kPipelinesPath) && request.method == "POST") {
    HandlePipelineRequest(std::move(request));
    return;
  }
  if (request.path == "/healthz") {
    callers_->Respond(request.exchange, PlainText(200, "alive\n"));
    return;
  }
  if (request.path == "/readyz") {
    const node::Readiness readiness = node_.readiness();
    const int status = readiness == node::Readiness::kReady ? 200 : 503;
    callers_->Respond(
        request.exchange,
        PlainText(status, std::string(node::ToText(readiness)) + "\n"));
    return;
  }
  if (request.path == "/metrics") {
    callers_->Respond(
        request.exchange,
        {200,
         {{kContentTypeHeader, kMetricsType}},
         PrintMetrics(node_.Status(), Report()) + PrintMemoryMetrics(budget_)});
    return;
  }
  callers_->Respond(request.exchange, PlainText(404, "not found\n"));
}

void NodeShell::HandlePipelineRequest(IncomingRequest request) {
  node::CallerRequest event;
  event.caller = base::CallerId{static_cast<uint64_t>(request.exchange)};
  event.pipeline = request.path.substr(kPipelinesPath.size());
  event.team = Copy(FindHeader(request.headers, kTeamHeader));
  event.rank = Copy(FindHeader(request.headers, kRankHeader));
  event.deadline_ms = Copy(FindHeader(request.headers, kDeadlineHeader));
  event.idempotency_key =
      Copy(FindHeader(request.headers, kIdempotencyKeyHeader));
  event.body = std::move(request.body);
  KeepBody(event.caller, event.body, std::move(request.body_memory));
  HandleEvent(std::move(event));
}

void NodeShell::KeepBody(base::CallerId caller,
                         const std::string& body,
                         std::shared_ptr<MemoryReservation> memory) {
  if (!memory)
    return;
  memory->Update({body.capacity() * kRunCopies, reactor_.Now(), std::nullopt});
  bodies_[caller] = std::move(memory);
}

base::Result<node::PeerMessage> NodeShell::HandlePeerMessage(
    node::PeerMessage message) {
  peer_answer_.reset();
  HandleEvent(node::PeerRequest{base::OperationId{++last_exchange_},
                                std::move(message)});
  if (!peer_answer_)
    return base::Error{base::ErrorCode::kRefused, base::Step::kPeerCall, "",
                       "this message has no answer"};
  return std::move(*std::exchange(peer_answer_, std::nullopt));
}

void NodeShell::HandleEvent(node::Event event) {
  for (node::Action& action : node_.Handle(std::move(event), reactor_.Now()))
    Perform(std::move(action));
}

void NodeShell::Perform(node::Action action) {
  std::visit([this](auto&& it) { Execute(std::forward<decltype(it)>(it)); },
             std::move(action));
}

void NodeShell::Execute(node::SendToEndpoint action) {
  HttpRequest request;
  request.method = HttpMethod::kPost;
  request.address = action.address;
  request.path = std::move(action.path);
  request.headers = {{kContentTypeHeader, kJsonType},
                     {kAttemptIdHeader, base::ToText(action.attempt)}};
  if (action.idempotency_key)
    request.headers.push_back(
        {kIdempotencyKeyHeader, std::move(*action.idempotency_key)});
  if (action.resume_offset > 0)
    request.headers.push_back(
        {kResumeOffsetHeader, std::to_string(action.resume_offset)});
  request.body = std::move(action.body);
  request.connection = action.connection;
  const base::AttemptId attempt = action.attempt;
  HttpClient::ChunkHandler on_chunk;
  if (action.delivery == declare::Delivery::kStreamed) {
    on_chunk = [this, attempt](const HttpResponse& head, std::string bytes) {
      // The body of an error response is not part of the stream.
      if (head.status != 200)
        return;
      HandleEvent(node::EndpointChunk{
          attempt, TextOrEmpty(FindHeader(head.headers, kAttemptIdHeader)),
          std::move(bytes),
          NumberOf<uint64_t>(FindHeader(head.headers, kResumedFromHeader))});
    };
  }
  transfers_[attempt.number] = http_->Send(
      std::move(request),
      [this, attempt](HttpOutcome outcome) {
        transfers_.erase(attempt.number);
        HandleEvent(EventOf(attempt, std::move(outcome)));
      },
      std::move(on_chunk),
      [this, attempt](node::ConnectionAge connection) {
        HandleEvent(node::EndpointSending{attempt, connection});
      });
}

void NodeShell::Execute(const node::CancelAttempt& action) {
  const auto node = transfers_.extract(action.attempt.number);
  if (!node.empty())
    http_->Cancel(node.mapped());
}

void NodeShell::Execute(const node::RetireConnections& action) {
  http_->RetireConnections(action.address);
}

void NodeShell::Execute(const node::AnswerCaller& action) {
  bodies_.erase(action.caller);
  HttpResponse response = EncodeCallerAnswer(action.answer);
  // Makes the load balancer drop its connections to a host that shuts down.
  if (node_.readiness() == node::Readiness::kStopping)
    response.headers.push_back({kConnectionHeader, "close"});
  callers_->Respond(ExchangeId{static_cast<uint64_t>(action.caller)}, response);
}

void NodeShell::Execute(const node::StreamToCaller& action) {
  const ExchangeId exchange{static_cast<uint64_t>(action.caller)};
  if (streams_.try_emplace(action.caller, true).second)
    callers_->BeginStream(exchange, 200,
                          {{kContentTypeHeader, kEventStreamType},
                           {"Cache-Control", "no-store"},
                           {kRequestIdHeader, action.request_id}});
  callers_->WriteStream(exchange, action.bytes);
}

void NodeShell::Execute(const node::EndStream& action) {
  const ExchangeId exchange{static_cast<uint64_t>(action.caller)};
  streams_.erase(action.caller);
  bodies_.erase(action.caller);
  callers_->WriteStream(exchange, EncodeStreamEndEvent(action.answer));
  callers_->EndStream(exchange, StreamEnd::kWhole);
}

void NodeShell::Execute(node::SendToPlatform action) {
  platform_->Send(
      std::move(action.request), action.timeout,
      [this, operation = action.operation](PlatformClient::Outcome outcome) {
        if (auto* answer = std::get_if<base::PlatformAnswer>(&outcome))
          HandleEvent(node::PlatformAnswered{operation, std::move(*answer)});
        else
          HandleEvent(node::PlatformFailed{
              operation, std::get<base::PlatformFailure>(outcome)});
      });
}

void NodeShell::Execute(const node::SendToPeer& action) {
  peers_->Send(
      action.address, action.message, action.timeout,
      [this,
       operation = action.operation](base::Result<node::PeerMessage> answer) {
        if (answer)
          HandleEvent(node::PeerAnswered{operation, std::move(answer.value())});
        else
          HandleEvent(node::PeerFailed{operation});
      });
}

void NodeShell::Execute(node::AnswerPeer action) {
  peer_answer_ = std::move(action.message);
}

void NodeShell::Execute(const node::WriteLog& action) {
  WriteLogLine(action.event);
}

void NodeShell::Execute(const node::Exit& /*action*/) {
  has_exited_ = true;
}

}  // namespace bilberry::transport
