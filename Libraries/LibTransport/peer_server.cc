#include "LibTransport/peer_server.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

#include <utility>

#include "LibTransport/json_text.h"
#include "LibTransport/peer_codec.h"
#include "LibTransport/report_codec.h"
#include "LibTransport/status_codec.h"

namespace bilberry::transport {

namespace {

// Error codes from the range that JSON-RPC 2.0 section 5.1 reserves for
// servers.
constexpr int kUnauthorizedCode = -32001;
constexpr int kMalformedCode = -32602;
constexpr int kUnanswerableCode = -32002;
constexpr size_t kMaxPeerMessageBytes = size_t{5} * 1024 * 1024;

bool IsEqualInConstantTime(const std::string& left, const std::string& right) {
  if (left.size() != right.size())
    return false;
  unsigned char difference = 0;
  for (size_t i = 0; i < left.size(); ++i)
    difference |= static_cast<unsigned char>(left[i] ^ right[i]);
  return difference == 0;
}

}  // namespace

// Passes one request to libjsonrpccpp and stores its response.
class PeerServer::Connector final : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* out) override {
    *static_cast<std::string*>(out) = response;
    return true;
  }
};

class PeerServer::Methods final : public jsonrpc::AbstractServer<Methods> {
 public:
  Methods(Connector& connector, Handlers handlers)
      : jsonrpc::AbstractServer<Methods>(connector),
        handlers_(std::move(handlers)) {
    Bind("digest", &Methods::HandleGossipDigest);
    Bind("configuration_query", &Methods::HandleConfigurationQuery);
    Bind("booking_query", &Methods::HandleBookingQuery);
    Bind("booking_copies", &Methods::HandleBookingCopies);
    Bind("status", &Methods::HandleStatus);
    Bind("report", &Methods::HandleReport);
  }

  void set_is_operator(bool is_operator) { is_operator_ = is_operator; }

 private:
  using Method = void (Methods::*)(const Json::Value&, Json::Value&);

  void Bind(const char* name, Method method) {
    bindAndAddMethod(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME,
                                        jsonrpc::JSON_OBJECT, nullptr),
                     method);
  }

  void HandleGossipDigest(const Json::Value& request, Json::Value& response) {
    HandlePeer("digest", request, response);
  }

  void HandleConfigurationQuery(const Json::Value& request,
                                Json::Value& response) {
    HandlePeer("configuration_query", request, response);
  }

  void HandleBookingQuery(const Json::Value& request, Json::Value& response) {
    HandlePeer("booking_query", request, response);
  }

  void HandleBookingCopies(const Json::Value& request, Json::Value& response) {
    HandlePeer("booking_copies", request, response);
  }

  void HandlePeer(const char* method,
                  const Json::Value& request,
                  Json::Value& response) {
    auto message = DecodePeerMessage(method, request);
    if (!message)
      throw jsonrpc::JsonRpcException(kMalformedCode, message.error().message);
    const auto answer = handlers_.peer(std::move(message.value()));
    if (!answer)
      throw jsonrpc::JsonRpcException(kUnanswerableCode,
                                      answer.error().message);
    const PeerCall call = EncodePeerMessage(answer.value());
    response["kind"] = call.method;
    response["value"] = call.parameters;
  }

  void RequireOperator() const {
    if (!is_operator_)
      throw jsonrpc::JsonRpcException(kUnauthorizedCode,
                                      "the operator token is missing or wrong");
  }

  void HandleStatus(const Json::Value& /*request*/, Json::Value& response) {
    RequireOperator();
    response = EncodeStatus(handlers_.status());
  }

  void HandleReport(const Json::Value& /*request*/, Json::Value& response) {
    RequireOperator();
    response = EncodeReport(handlers_.report());
  }

  Handlers handlers_;
  bool is_operator_ = false;
};

PeerServer::PeerServer() = default;
PeerServer::~PeerServer() = default;

base::Result<std::unique_ptr<PeerServer>> PeerServer::Create(
    Reactor& reactor,
    const base::SocketAddress& address,
    std::string operator_token,
    MemoryBudget& budget,
    Handlers handlers) {
  std::unique_ptr<PeerServer> server(new PeerServer);
  server->operator_token_ = std::move(operator_token);
  server->refused_ = handlers.refused;
  server->connector_ = std::make_unique<Connector>();
  server->methods_ =
      std::make_unique<Methods>(*server->connector_, std::move(handlers));
  ListenerOptions options;
  options.address = address;
  options.max_body_bytes = kMaxPeerMessageBytes;
  options.budget = &budget;
  options.part = BudgetPart::kPeers;
  options.echoes_exchange_ids = true;
  TRY(listener, HttpListener::Create(
                    reactor, options,
                    [raw = server.get()](const IncomingRequest& request) {
                      raw->HandleRequest(request);
                    }));
  server->listener_ = std::move(listener);
  return server;
}

void PeerServer::HandleRequest(const IncomingRequest& request) {
  if (request.path != kRpcPath || request.method != "POST") {
    listener_->Respond(request.exchange,
                       {404, {{kContentTypeHeader, kTextType}}, "not found\n"});
    return;
  }
  const std::string* token = FindHeader(request.headers, kOperatorTokenHeader);
  methods_->set_is_operator(token != nullptr &&
                            IsEqualInConstantTime(*token, operator_token_));
  std::string response;
  // libjsonrpccpp does not catch the exception that its JSON reader throws on
  // deep nesting.
  try {
    connector_->OnRequest(request.body, &response);
  } catch (const Json::Exception&) {
    refused_();
    listener_->Respond(request.exchange,
                       {400, {{kContentTypeHeader, kTextType}}, "no JSON\n"});
    return;
  }
  // libjsonrpccpp prints the members of an object in the order of their names,
  // and no member of a response sorts before "error".
  if (token == nullptr && response.starts_with(R"({"error")"))
    refused_();
  listener_->Respond(request.exchange,
                     {200, {{kContentTypeHeader, kJsonType}}, response});
}

}  // namespace bilberry::transport
