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
  std::string target;  // Path and query as they came.
  HttpHeaders headers;
  HttpHeaders arguments;  // Of the URL's query.
  std::string body;
};

// How a streamed response ends: with its closing chunk, or broken off.
enum class StreamEnd { kWhole, kCut };

struct ListenerOptions {
  base::SocketAddress address;  // Port 0 takes a free one.
  size_t max_body_bytes = size_t{1024} * 1024;
  // Of each connection, for heads and for bodies on their way through. It is
  // cleared with every request, so that a large one costs time.
  size_t connection_memory_bytes = size_t{8} * 1024;
  // Whether answers name their request to who asks for it.
  bool echoes_exchange_ids = false;
  // Answers a request by its head alone, before its body is read; empty to
  // take the request.
  std::function<std::optional<HttpResponse>(const IncomingRequest& head)>
      head_check = nullptr;
};

// Answers HTTP requests at one address by libmicrohttpd, driven by the reactor.
// Each request is answered by one Respond(), or by BeginStream(),
// WriteStream()s and EndStream(), at any later time. Bodies over the limit are
// answered 413 without asking.
class HttpListener final : public LoopParticipant, private ACE_Event_Handler {
 public:
  using RequestHandler = std::function<void(IncomingRequest request)>;
  // Called when the other end has closed before its answer was complete.
  using DisconnectHandler = std::function<void(ExchangeId exchange)>;

  static base::Result<std::unique_ptr<HttpListener>> Create(
      Reactor& reactor,
      const ListenerOptions& options,
      RequestHandler request_handler,
      DisconnectHandler disconnect_handler = nullptr);
  ~HttpListener() override;

  // With the port that was taken.
  const base::SocketAddress& address() const { return options_.address; }

  // Answers to exchanges that are gone are ignored.
  void Respond(ExchangeId id, const HttpResponse& response);
  void BeginStream(ExchangeId id, int status, const HttpHeaders& headers);
  void WriteStream(ExchangeId id, std::string_view bytes);
  // What has been written and the other end has not taken yet.
  size_t UnsentBytes(ExchangeId id) const;
  void EndStream(ExchangeId id, StreamEnd end);

  // Closes the connection without an answer.
  void Abort(ExchangeId id);

  size_t exchange_count() const { return exchanges_.size(); }

  // Hold for connections from their next request on.
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
  void NoteThoseWhoLeft();

  Reactor& reactor_;
  ListenerOptions options_;
  RequestHandler request_handler_;
  DisconnectHandler disconnect_handler_;
  MHD_Daemon* daemon_ = nullptr;
  int descriptor_ = -1;
  std::optional<std::chrono::seconds> idle_timeout_;
  // Of requests whose head is being read.
  std::unordered_map<MHD_Connection*, std::string> targets_;
  uint64_t last_id_ = 0;
  bool needs_turn_ = true;
  base::TimePoint next_sweep_;
  std::unordered_map<ExchangeId, std::unique_ptr<Exchange>> exchanges_;
};

}  // namespace bilberry::transport
