#pragma once

#include <ace/Event_Handler.h>
#include <curl/curl.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "LibBase/error.h"
#include "LibBase/ids.h"
#include "LibNode/action.h"
#include "LibNode/event.h"
#include "LibTransport/http_message.h"
#include "LibTransport/reactor.h"

namespace bilberry::transport {

enum class HttpMethod { kGet, kPost, kPut };

struct HttpRequest {
  HttpMethod method = HttpMethod::kGet;
  base::SocketAddress address;
  std::string path;
  HttpHeaders headers;
  std::string body;
  // 0 for none: the sender cancels when it has waited enough.
  std::chrono::milliseconds timeout{0};
  // A longer body breaks the transfer off, unless it is handed on in chunks.
  size_t max_body_bytes = size_t{8} * 1024 * 1024;
  // For a request that is passed on: its method as it came. No header is added
  // but what frames the body.
  std::optional<std::string> forwarded_method;
  // A server may send a late copy of an answer on a connection in use again.
  // Pooled ones are for those who tell their own answers by what these hold.
  node::ConnectionUse connection = node::ConnectionUse::kFresh;
  // Asks another entry host to name this request in its answer; any other
  // answer is a failure.
  bool expects_exchange_id = false;
  // For answers that name nothing: what the body of a success must hold for its
  // connection to be used again. Behind any other answer a late copy of it
  // would be taken for the next one.
  std::optional<std::string> reuse_marker;
};

struct HttpFailure {
  node::EndpointFailureKind kind = node::EndpointFailureKind::kBroken;
  node::ConnectionAge connection = node::ConnectionAge::kFresh;
  std::string detail;
};

using HttpOutcome = std::variant<HttpResponse, HttpFailure>;

enum class HttpTransferId : uint64_t {};

// HTTP/1.1 requests over libcurl's multi interface, driven by the reactor.
// Callbacks run in the loop's turn, never inside Send() or Cancel().
class HttpClient final : public LoopParticipant, private ACE_Event_Handler {
 public:
  // Given the response's head and a part of its body, in order.
  using ChunkHandler =
      std::function<void(const HttpResponse& head, std::string bytes)>;
  // Called when the request goes out, before anything is received.
  using SendingHandler = std::function<void(node::ConnectionAge connection)>;
  // Called once, last. The body is empty when chunks were asked for.
  using DoneHandler = std::function<void(HttpOutcome outcome)>;

  static base::Result<std::unique_ptr<HttpClient>> Create(Reactor& reactor);
  ~HttpClient() override;

  HttpTransferId Send(HttpRequest request,
                      DoneHandler done,
                      ChunkHandler chunk = nullptr,
                      SendingHandler sending = nullptr);

  // Gives a transfer up; its callbacks won't run. Unknown ids are ignored.
  void Cancel(HttpTransferId id);

  // Keeps idle connections to this peer from being used again.
  void RetireConnections(const base::SocketAddress& address);

  void RunTurn(base::TimePoint now) override;
  std::optional<base::TimePoint> NextTurn() const override;

 private:
  struct Transfer;
  struct Sending {
    HttpTransferId id;
    node::ConnectionAge connection;
  };
  struct Chunk {
    HttpTransferId id;
    std::string bytes;
  };

  explicit HttpClient(Reactor& reactor);

  int handle_input(ACE_HANDLE descriptor) override;
  int handle_output(ACE_HANDLE descriptor) override;

  static int OnSocket(CURL* easy, curl_socket_t, int what, void* self, void*);
  static int OnTimer(CURLM* multi, long timeout_ms, void* self);
  static int OnSocketOpened(void* self, curl_socket_t socket, curlsocktype);
  static int OnSending(void* transfer, char*, char*, int, int);
  static size_t OnHeader(char* data, size_t, size_t size, void* transfer);
  static size_t OnBody(char* data, size_t, size_t size, void* transfer);

  CURL* TakeHandle();
  void SetUp(Transfer& transfer);
  static void SetMethod(Transfer& transfer);
  static void SetForwardedMethod(Transfer& transfer);
  static void SetBody(Transfer& transfer);
  static void SetHeaders(Transfer& transfer);
  void Act(curl_socket_t socket, int events);
  void DeliverSendings();
  void DeliverChunks();
  void DeliverDone();
  HttpOutcome OutcomeOf(Transfer& transfer, CURLcode code);
  // Has the connection closed behind an answer that doesn't prove itself.
  static void DecideReuse(const Transfer& transfer);
  static bool IsOwnAnswer(const Transfer& transfer);
  static HttpFailure FailureOf(const Transfer& transfer, std::string detail);
  void Release(Transfer& transfer);
  bool RequiresFreshConnection(const base::SocketAddress& address) const;

  Reactor& reactor_;
  CURLM* multi_ = nullptr;
  uint64_t last_id_ = 0;
  std::unordered_map<HttpTransferId, std::unique_ptr<Transfer>> transfers_;
  std::vector<CURL*> idle_handles_;
  std::vector<Sending> sendings_;
  std::vector<Chunk> chunks_;
  std::optional<base::TimePoint> curl_due_;
  // Until when each peer's requests open connections of their own.
  std::map<base::SocketAddress, base::TimePoint> fresh_connections_until_;
};

}  // namespace bilberry::transport
