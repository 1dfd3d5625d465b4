#pragma once

#include <ace/Event_Handler.h>
#include <microhttpd.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "LibBase/error.h"
#include "LibBase/ids.h"
#include "LibTransport/http_message.h"
#include "LibTransport/reactor.h"

namespace bilberry::transport {

enum class ExchangeId : uint64_t {};

struct IncomingRequest {
  ExchangeId exchange{};
  std::string method;
  std::string path;
  std::string target;  // Path and query as received.
  HttpHeaders headers;
  HttpHeaders arguments;  // Parameters of the URL's query.
  std::string body;
};

// How a streamed response ends: kWhole with its closing chunk, kCut by closing
// the connection.
enum class StreamEnd { kWhole, kCut };

struct ListenerOptions {
  base::SocketAddress address;  // Port 0 selects a free port.
  size_t max_body_bytes = size_t{1024} * 1024;
  // Buffer of each connection, for heads and for bodies in transit.
  // libmicrohttpd clears the buffer with every request, so a large one costs
  // time.
  size_t connection_memory_bytes = size_t{8} * 1024;
  // Whether answers echo the exchange ID of requests that have one.
  bool echoes_exchange_ids = false;
  // Inspects a request's head before the body is read: returns the answer to
  // refuse the request, or empty to accept it.
  std::function<std::optional<HttpResponse>(const IncomingRequest& head)>
      head_check = nullptr;
};

// HTTP server for one address, based on libmicrohttpd and driven by the
// reactor. Each request is answered at any later time, by one Respond(), or by
// BeginStream(), WriteStream()s and EndStream(). A body over the limit is
// answered 413 without a call of the handler.
class HttpListener final : public LoopParticipant, private ACE_Event_Handler {
 public:
  using RequestHandler = std::function<void(IncomingRequest request)>;
  // Called when the client has disconnected before its answer was complete.
  using DisconnectHandler = std::function<void(ExchangeId exchange)>;

  static base::Result<std::unique_ptr<HttpListener>> Create(
      Reactor& reactor,
      const ListenerOptions& options,
      RequestHandler request_handler,
      DisconnectHandler disconnect_handler = nullptr);
  ~HttpListener() override;

  // The address that the listener is bound to, with its actual port.
  const base::SocketAddress& address() const { return options_.address; }

  // Calls for exchanges that no longer exist are ignored.
  void Respond(ExchangeId id, const HttpResponse& response);
  void BeginStream(ExchangeId id, int status, const HttpHeaders& headers);
  void WriteStream(ExchangeId id, std::string_view bytes);
  // Bytes written to the stream that the client has not taken yet.
  size_t UnsentBytes(ExchangeId id) const;
  void EndStream(ExchangeId id, StreamEnd end);

  // Closes the connection without an answer.
  void Abort(ExchangeId id);

  size_t exchange_count() const { return exchanges_.size(); }

  // Take effect on each connection from its next request on.
  void SetMaxBodyBytes(size_t bytes) { options_.max_body_bytes = bytes; }
  void SetIdleTimeout(std::chrono::seconds timeout) { idle_timeout_ = timeout; }

  void RunTurn(base::TimePoint now) override;
  std::optional<base::TimePoint> NextTurn() const override;

 private:
  struct Exchange;

  HttpListener(Reactor& reactor,
               ListenerOptions options,
               RequestHandler request_handler,
               DisconnectHandler disconnect_handler);

  int handle_input(ACE_HANDLE descriptor) override;

  static void* OnTarget(void* self, const char* target, MHD_Connection*);
  static void OnConnection(void* self,
                           MHD_Connection* connection,
                           void** context,
                           MHD_ConnectionNotificationCode code);
  static MHD_Result OnAccess(void* self,
                             MHD_Connection* connection,
                             const char* url,
                             const char* method,
                             const char* version,
                             const char* data,
                             size_t* size,
                             void** exchange);
  static void OnCompleted(void* self,
                          MHD_Connection* connection,
                          void** exchange,
                          MHD_RequestTerminationCode code);
  static ssize_t OnRead(void* exchange, uint64_t, char* buffer, size_t room);

  MHD_Result HandleAccess(MHD_Connection* connection,
                          const char* url,
                          const char* method,
                          const char* data,
                          size_t* size,
                          void** exchange);
  MHD_Result BeginExchange(MHD_Connection* connection,
                           const char* url,
                           const char* method,
                           void** exchange);
  static void AddExchangeId(MHD_Response* response, const Exchange& exchange);
  Exchange* Find(ExchangeId id) const;
  void Suspend(Exchange& exchange);
  void Resume(Exchange& exchange);
  void DetectDisconnects();

  Reactor& reactor_;
  ListenerOptions options_;
  RequestHandler request_handler_;
  DisconnectHandler disconnect_handler_;
  MHD_Daemon* daemon_ = nullptr;
  int descriptor_ = -1;
  std::optional<std::chrono::seconds> idle_timeout_;
  // Request targets of connections whose request head is being read.
  std::unordered_map<MHD_Connection*, std::string> targets_;
  uint64_t last_id_ = 0;
  bool needs_turn_ = true;
  base::TimePoint next_poll_;
  std::unordered_map<ExchangeId, std::unique_ptr<Exchange>> exchanges_;
};

}  // namespace bilberry::transport
