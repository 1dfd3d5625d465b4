#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "LibBase/error.h"
#include "LibBase/ids.h"
#include "LibTransport/incoming_request.h"
#include "LibTransport/listener_connection.h"
#include "LibTransport/memory_budget.h"
#include "LibTransport/reactor.h"
#include "LibTransport/socket_events.h"

namespace bilberry::transport {

struct ListenerOptions {
  base::SocketAddress address;  // Port 0 selects a free port.
  size_t max_body_bytes = size_t{1024} * 1024;
  // A longer request line and headers are answered 431.
  size_t max_head_bytes = size_t{8} * 1024;
  // Whether answers echo the exchange ID of requests that have one.
  bool echoes_exchange_ids = false;
  // Accounts for what is held for the listener's clients; without one, nothing
  // is bounded. Must outlive the listener and the bodies of its requests.
  MemoryBudget* budget = nullptr;
  BudgetPart part = BudgetPart::kCallers;
  // How often the request handler holds a body that it keeps.
  size_t body_copies = 1;
  // At the limit, an idle connection, or else a stalled one, is closed for a
  // new one. 0 for no limit.
  size_t max_connections = 0;
  // Of each connection's socket; 0 for the system's default.
  int receive_buffer_bytes = 0;
  // Inspects a request's head before the body is read: returns the answer to
  // refuse the request, or empty to accept it.
  std::function<std::optional<HttpResponse>(const IncomingRequest& head)>
      head_check = nullptr;
};

// HTTP/1.1 server for one address, driven by the reactor. Each request is
// answered at any later time, by one Respond(), or by BeginStream(),
// WriteStream()s and EndStream(). Malformed requests are answered 400 and
// bodies over the limit 413, without a call of the handler.
//
// A turn takes in about kTurnBytes of all requests together; what is left is
// read in later turns.
class HttpListener final : public LoopParticipant {
 public:
  // What a turn takes in, up to a block of each of a few connections over it.
  static constexpr size_t kTurnBytes = size_t{64} * 1024;
  static constexpr size_t kBlockBytes = size_t{16} * 1024;

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
  // Sends the bytes as they are and closes the connection. For stand-ins of
  // faulty peers: the bytes need not be an answer.
  void RespondWithBytes(ExchangeId id, std::string_view bytes);
  void BeginStream(ExchangeId id, int status, const HttpHeaders& headers);
  void WriteStream(ExchangeId id, std::string_view bytes);
  // Bytes written to the stream that the client has not taken yet.
  size_t UnsentBytes(ExchangeId id) const;
  void EndStream(ExchangeId id, StreamEnd end);

  // Closes the connection without an answer.
  void Abort(ExchangeId id);

  size_t exchange_count() const { return exchanges_.size(); }
  // How many bytes the listener has taken in so far.
  uint64_t received_bytes() const { return received_bytes_; }

  // Take effect on each connection from its next request on.
  void SetMaxBodyBytes(size_t bytes) { options_.max_body_bytes = bytes; }
  void SetIdleTimeout(std::chrono::seconds timeout) { idle_timeout_ = timeout; }

  void RunTurn(base::TimePoint now) override;
  std::optional<base::TimePoint> NextTurn() const override;

 private:
  // Identifies a connection for the listener's lifetime, as descriptors don't.
  enum class ConnectionId : uint64_t {};

  HttpListener(Reactor& reactor,
               ListenerOptions options,
               RequestHandler request_handler,
               DisconnectHandler disconnect_handler);

  base::Result<void> Listen();

  void HandleEvents(base::TimePoint now);
  // Closes the connection that has been idle longest, or else one whose request
  // has stalled longest. Returns false if there is none.
  bool CloseForAnother(base::TimePoint now);
  void AddConnection(int descriptor, base::TimePoint now);
  // Releases what the connection holds, and refuses its request or closes it.
  void Evict(ConnectionId id);
  void DropEvicted();
  void AcceptConnections(base::TimePoint now);
  void HandleConnectionEvents(ConnectionId id,
                              uint32_t events,
                              base::TimePoint now);
  void HandlePeerClosed(ConnectionId id);
  // Reads requests until one is handed over or more has to arrive.
  void ReadRequests(ConnectionId id,
                    ListenerConnection& connection,
                    base::TimePoint now);
  void BeginExchange(ConnectionId id,
                     ListenerConnection& connection,
                     base::TimePoint now);
  // Refuses a body that the budget has no room for.
  void BeginBody(ConnectionId id,
                 ListenerConnection& connection,
                 base::TimePoint now);
  void HandOver(ListenerConnection& connection, base::TimePoint now);
  // Answers a request that isn't handed over.
  void RespondEarly(ConnectionId id,
                    ListenerConnection& connection,
                    const HttpResponse& response);
  void SendPending(base::TimePoint now);
  void Send(ConnectionId id, base::TimePoint now);
  void DropTimedOut(base::TimePoint now);
  // Closes the connection, and reports the disconnect if its request has no
  // complete response yet.
  void Drop(ConnectionId id);

  void Watch(ConnectionId id, ListenerConnection& connection);
  void WatchListening(bool is_accepting);
  ListenerConnection* Find(ConnectionId id) const;
  // The connection of a request that has no complete response yet, to be sent
  // to in this turn; null if there is none.
  ListenerConnection* FindOpen(ExchangeId id);
  RequestLimits Limits() const;

  Reactor& reactor_;
  ListenerOptions options_;
  RequestHandler request_handler_;
  DisconnectHandler disconnect_handler_;
  std::unique_ptr<MemoryBudget> own_budget_;
  MemoryBudget& budget_;
  int listening_ = -1;
  // Of the listening socket and all connections.
  std::unique_ptr<SocketEvents> events_;
  bool is_accepting_ = true;
  std::vector<char> receive_buffer_;
  uint64_t received_bytes_ = 0;
  std::optional<std::chrono::seconds> idle_timeout_;
  base::TimePoint next_sweep_;
  uint64_t last_connection_ = 0;
  uint64_t last_exchange_ = 0;
  std::unordered_map<ConnectionId, std::unique_ptr<ListenerConnection>>
      connections_;
  std::unordered_map<ExchangeId, ConnectionId> exchanges_;
  // Connections that have something to send or to finish.
  std::vector<ConnectionId> pending_;
  // Connections to be closed in the next turn.
  std::vector<ConnectionId> evicted_;
};

}  // namespace bilberry::transport
