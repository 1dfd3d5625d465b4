#include "Standins/piece_endpoint_standin.h"

#include <json/value.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "LibTransport/json_text.h"
#include "Standins/broken_answers.h"
#include "platform/wire_names.h"

namespace bilberry::standins {

namespace {

namespace wire = platform::wire;
using transport::HttpResponse;
using transport::IncomingRequest;

constexpr const char* kHealthPath = "/health";
constexpr const char* kOtherRequest = "0000000000000000";
// Index of the event in which a cut stream ends.
constexpr uint32_t kCutAt = 2;
constexpr std::chrono::milliseconds kRestartRetry{20};

std::string TextOf(const IncomingRequest& request, const char* name) {
  const std::string* value = base::FindHeader(request.headers, name);
  return value == nullptr ? "" : *value;
}

// Stage calls name no request.
HttpResponse NotRun(const IncomingRequest& request, int status) {
  HttpResponse response{status, {{wire::kNotRun, "1"}}, ""};
  const std::string id = TextOf(request, wire::kRequestId);
  if (!id.empty())
    response.headers.push_back({wire::kRequestId, id});
  return response;
}

std::string EventText(uint32_t number, const std::string& request) {
  return "id: " + std::to_string(number) + "\ndata: token " +
         std::to_string(number) + request + "\n\n";
}

}  // namespace

PieceEndpointStandin::PieceEndpointStandin(transport::Reactor& reactor,
                                           PieceEndpointModel model)
    : reactor_(reactor),
      timers_(reactor),
      model_(std::move(model)),
      first_name_(model_.name.value) {}

base::Result<std::unique_ptr<PieceEndpointStandin>>
PieceEndpointStandin::Create(transport::Reactor& reactor,
                             const base::SocketAddress& address,
                             PieceEndpointModel model) {
  std::unique_ptr<PieceEndpointStandin> endpoint(
      new PieceEndpointStandin(reactor, std::move(model)));
  endpoint->address_ = address;
  TRY(endpoint->Listen());
  return endpoint;
}

base::Result<void> PieceEndpointStandin::Listen() {
  transport::ListenerOptions options;
  options.address = address_;
  TRY(service,
      transport::HttpListener::Create(
          reactor_, options, [this](const IncomingRequest& it) { Handle(it); },
          [this](transport::ExchangeId it) {
            ++left_count_;
            service_->EndStream(it, transport::StreamEnd::kCut);
            service_->Abort(it);
          }));
  service_ = std::move(service);
  address_ = service_->address();
  return base::Success();
}

void PieceEndpointStandin::Die() {
  ++death_count_;
  fault_count_ = 0;
  service_.reset();
  results_.clear();
  if (on_death_)
    on_death_();
  timers_.After(model_.restart_time, [this] { Restart(); });
}

// The address may still be in use by connections that are closing.
void PieceEndpointStandin::Restart() {
  if (!Listen()) {
    timers_.After(kRestartRetry, [this] { Restart(); });
    return;
  }
  const base::EndpointName earlier = model_.name;
  model_.name.value = first_name_ + "-" + std::to_string(death_count_);
  if (on_restart_)
    on_restart_(earlier);
}

void PieceEndpointStandin::After(base::Duration delay,
                                 std::function<void()> call) {
  timers_.After(delay, [this, deaths = death_count_, call = std::move(call)] {
    if (deaths == death_count_)
      call();
  });
}

bool PieceEndpointStandin::Crashes(const IncomingRequest& request) const {
  const std::string& mark = model_.crash_mark;
  if (mark.empty())
    return false;
  const auto has_mark = [&mark](const std::string& text) {
    return text.find(mark) != std::string::npos;
  };
  return has_mark(request.target) || has_mark(request.body) ||
         std::ranges::any_of(request.headers, has_mark,
                             &base::HttpHeader::value);
}

void PieceEndpointStandin::Respond(transport::ExchangeId exchange,
                                   HttpResponse response) {
  response.headers.insert(response.headers.end(), notices_.begin(),
                          notices_.end());
  service_->Respond(exchange, response);
}

void PieceEndpointStandin::RespondBroken(transport::ExchangeId exchange,
                                         const base::HttpHeaders& headers) {
  const std::vector<std::string> forms = BrokenAnswers(headers);
  service_->RespondWithBytes(exchange,
                             forms.at(next_broken_form_ % forms.size()));
  ++next_broken_form_;
}

EndpointFault PieceEndpointStandin::TakeFault() {
  if (fault_count_ == 0)
    return EndpointFault::kNone;
  --fault_count_;
  return fault_;
}

void PieceEndpointStandin::Handle(const IncomingRequest& request) {
  const std::string expected = TextOf(request, wire::kExpectedEndpoint);
  if (request.path == kHealthPath) {
    Respond(request.exchange,
            {200, {{wire::kEndpointName, model_.name.value}}, ""});
    return;
  }
  if (!expected.empty() && expected != model_.name.value) {
    Respond(request.exchange, NotRun(request, 421));
    return;
  }
  if (request.path == wire::kStageFreePath) {
    Free(request);
    return;
  }
  if (request.path == wire::kStageRunPath) {
    RunStage(request);
    return;
  }
  if (Crashes(request)) {
    arrivals_.push_back(
        {request.method, request.target, request.headers, request.body, true});
    // Not inside the listener's own call.
    After(base::Duration(0), [this] { Die(); });
    return;
  }
  const EndpointFault fault = TakeFault();
  const bool lacks_inputs =
      model_.needs_inputs && TextOf(request, wire::kInputs).empty();
  const bool has_run = fault != EndpointFault::kRefuses && !lacks_inputs;
  arrivals_.push_back(
      {request.method, request.target, request.headers, request.body, has_run});
  if (!has_run) {
    Respond(request.exchange, NotRun(request, lacks_inputs ? 400 : 503));
    return;
  }
  if (fault == EndpointFault::kHangs)
    return;
  After(model_.service, [this, request, fault] { Serve(request, fault); });
}

void PieceEndpointStandin::RunStage(const IncomingRequest& request) {
  const EndpointFault fault = TakeFault();
  if (fault == EndpointFault::kRefuses) {
    Respond(request.exchange, NotRun(request, 503));
    return;
  }
  const auto body = transport::ParseJsonValue(request.body);
  const size_t n = body ? (*body)["items"].size() : 0;
  calls_.push_back(n);
  if (Crashes(request)) {
    After(base::Duration(0), [this] { Die(); });
    return;
  }
  if (fault == EndpointFault::kHangs)
    return;
  After(model_.service, [this, n, fault, exchange = request.exchange] {
    if (fault == EndpointFault::kBreaks) {
      service_->Abort(exchange);
      return;
    }
    if (fault == EndpointFault::kSendsBroken) {
      RespondBroken(exchange, {});
      return;
    }
    Json::Value answer;
    for (size_t i = 0; i < n; ++i) {
      const std::string handle =
          base::ToText(address()) + "/" + std::to_string(++last_result_);
      results_.insert(handle);
      answer["items"][static_cast<Json::ArrayIndex>(i)]["handle"] = handle;
    }
    Respond(exchange, {200,
                       {{transport::kContentTypeHeader, transport::kJsonType}},
                       transport::PrintCompact(answer)});
  });
}

void PieceEndpointStandin::Free(const IncomingRequest& request) {
  const auto body = transport::ParseJsonValue(request.body);
  if (body) {
    for (const Json::Value& handle : (*body)["handles"])
      results_.erase(handle.asString());
  }
  Respond(request.exchange, {200, {}, ""});
}

base::HttpHeaders PieceEndpointStandin::HeadersFor(
    const IncomingRequest& request,
    EndpointFault fault) const {
  base::HttpHeaders headers;
  headers.push_back(
      {wire::kRequestId, fault == EndpointFault::kNamesAnother
                             ? kOtherRequest
                             : TextOf(request, wire::kRequestId)});
  if (fault != EndpointFault::kUnsealed)
    headers.push_back({wire::kServerSeal, "seal." + model_.name.value});
  return headers;
}

void PieceEndpointStandin::Serve(const IncomingRequest& request,
                                 EndpointFault fault) {
  if (fault == EndpointFault::kBreaks) {
    service_->Abort(request.exchange);
    return;
  }
  if (fault == EndpointFault::kSendsBroken) {
    RespondBroken(request.exchange, HeadersFor(request, fault));
    return;
  }
  if (fault == EndpointFault::kRejects) {
    Respond(request.exchange, {404, HeadersFor(request, fault), "none\n\n"});
    return;
  }
  if (fault == EndpointFault::kOtherType) {
    base::HttpHeaders headers = HeadersFor(request, fault);
    headers.push_back({transport::kContentTypeHeader, transport::kTextType});
    Respond(request.exchange, {200, headers, "a page\n\n"});
    return;
  }
  if (!TextOf(request, wire::kPrefix).empty() &&
      fault != EndpointFault::kFails) {
    BeginStream(request, fault);
    return;
  }
  std::string body =
      request.method + " " + request.target + " by " + model_.name.value;
  if (model_.answer_padding > 0)
    body += "\n" + std::string(model_.answer_padding, 'x');
  Respond(request.exchange, {fault == EndpointFault::kFails ? 500 : 200,
                             HeadersFor(request, fault), std::move(body)});
}

void PieceEndpointStandin::BeginStream(const IncomingRequest& request,
                                       EndpointFault fault) {
  base::HttpHeaders headers = HeadersFor(request, fault);
  headers.insert(headers.end(), notices_.begin(), notices_.end());
  headers.push_back(
      {transport::kContentTypeHeader, transport::kEventStreamType});
  service_->BeginStream(request.exchange, 200, headers);
  auto stream = std::make_shared<Stream>();
  stream->exchange = request.exchange;
  if (!model_.software_version.empty())
    stream->name = " at " + model_.software_version;
  if (model_.names_requests)
    stream->name += " of " + request.target;
  const std::string last = TextOf(request, wire::kLastEvent);
  if (!last.empty())
    stream->next = static_cast<uint32_t>(std::atoi(last.c_str())) + 1;
  stream->is_cut = fault == EndpointFault::kCutsStream;
  ContinueStream(stream);
}

void PieceEndpointStandin::ContinueStream(
    const std::shared_ptr<Stream>& stream) {
  if (stream->is_cut && stream->next == kCutAt) {
    const std::string event = EventText(stream->next, stream->name);
    service_->WriteStream(stream->exchange, event.substr(0, event.size() / 2));
    service_->EndStream(stream->exchange, transport::StreamEnd::kCut);
    return;
  }
  if (stream->next == model_.events) {
    service_->EndStream(stream->exchange, transport::StreamEnd::kWhole);
    return;
  }
  service_->WriteStream(stream->exchange,
                        EventText(stream->next, stream->name));
  ++stream->next;
  After(model_.event_gap, [this, stream] { ContinueStream(stream); });
}

}  // namespace bilberry::standins
