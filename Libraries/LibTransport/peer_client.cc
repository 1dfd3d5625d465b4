#include "LibTransport/peer_client.h"

#include <utility>

#include "LibTransport/json_text.h"
#include "LibTransport/peer_codec.h"
#include "LibTransport/peer_server.h"

namespace bilberry::transport {

namespace {

base::Error ErrorAt(const base::SocketAddress& address,
                    base::ErrorCode code,
                    std::string message) {
  return {code, base::Step::kPeerCall, base::ToText(address),
          std::move(message)};
}

base::Result<Json::Value> ResultOf(const base::SocketAddress& address,
                                   const HttpOutcome& outcome) {
  if (const auto* failure = std::get_if<HttpFailure>(&outcome))
    return ErrorAt(address, base::ErrorCode::kUnavailable, failure->detail);
  const auto& response = std::get<HttpResponse>(outcome);
  const auto envelope = ParseJsonValue(response.body);
  if (response.status != 200 || !envelope || !envelope->isObject())
    return ErrorAt(address, base::ErrorCode::kMalformed,
                   "not a JSON-RPC response");
  // A response has either a result or an error (JSON-RPC 2.0 section 5).
  if (envelope->isMember("error"))
    return ErrorAt(address, base::ErrorCode::kRefused,
                   PrintCompact((*envelope)["error"]));
  return (*envelope)["result"];
}

base::Result<node::PeerMessage> MessageOf(
    const base::SocketAddress& address,
    const base::Result<Json::Value>& result) {
  if (!result)
    return result.error();
  const Json::Value& value = result.value();
  if (!value.isObject() || !value["kind"].isString())
    return ErrorAt(address, base::ErrorCode::kMalformed,
                   "a peer's answer lacks its kind");
  return DecodePeerMessage(value["kind"].asString(), value["value"]);
}

}  // namespace

void PeerClient::Call(const base::SocketAddress& address,
                      const std::string& method,
                      const Json::Value& parameters,
                      const std::string& operator_token,
                      std::chrono::milliseconds timeout,
                      ValueHandler done) {
  Json::Value envelope;
  envelope["jsonrpc"] = "2.0";
  envelope["id"] = static_cast<Json::UInt64>(++last_call_);
  envelope["method"] = method;
  envelope["params"] = parameters;
  HttpRequest http;
  http.method = HttpMethod::kPost;
  http.address = address;
  http.path = kRpcPath;
  http.headers = {{kContentTypeHeader, kJsonType}};
  if (!operator_token.empty())
    http.headers.push_back({kOperatorTokenHeader, operator_token});
  http.body = PrintCompact(envelope);
  http.timeout = timeout;
  http.connection = node::ConnectionUse::kPooled;
  http.expects_exchange_id = true;
  http_.Send(std::move(http),
             [address, done = std::move(done)](const HttpOutcome& outcome) {
               done(ResultOf(address, outcome));
             });
}

void PeerClient::Send(const base::SocketAddress& address,
                      const node::PeerMessage& message,
                      std::chrono::milliseconds timeout,
                      MessageHandler done) {
  const PeerCall call = EncodePeerMessage(message);
  Call(address, call.method, call.parameters, "", timeout,
       [address,
        done = std::move(done)](const base::Result<Json::Value>& result) {
         done(MessageOf(address, result));
       });
}

}  // namespace bilberry::transport
