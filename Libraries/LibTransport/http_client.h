#pragma once

#include <curl/curl.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "LibBase/error.h"
#include "LibBase/ids.h"
#include "LibNode/action.h"
#include "LibNode/event.h"
#include "LibTransport/answer_reader.h"
#include "LibTransport/http_message.h"
#include "LibTransport/memory_budget.h"
#include "LibTransport/reactor.h"
#include "LibTransport/socket_events.h"

namespace bilberry::transport {

enum class HttpMethod { kGet, kPost, kPut };

struct HttpRequest {
  HttpMethod method = HttpMethod::kGet;
  base::SocketAddress address;
  std::string path;
  HttpHeaders headers;
  std::string body;
  // Sent in place of `body`, which saves a copy of it.
  std::shared_ptr<const std::string> shared_body;
  // For the whole transfer, or only until the answer's body begins if there is
  // a stall_timeout. 0 for no timeout: the sender cancels the request itself.
  std::chrono::milliseconds timeout{0};
  // Once the answer's body has begun, a transfer that has brought less than
  // kProgressBytes in this time fails. 0 if `timeout` is for the whole.
  std::chrono::milliseconds stall_timeout{0};
  // A longer body fails the transfer, unless the body is delivered in chunks.
  // So do all bodies together if the memory budget has no room for them.
  size_t max_body_bytes = size_t{8} * 1024 * 1024;
  // The original method of a forwarded request. Apart from the headers that
  // frame the body, libcurl's default headers are left out.
  std::optional<std::string> forwarded_method;
  // A faulty server may send a late copy of an earlier answer on a reused
  // connection. Pooled connections are only for senders that can match an
  // answer to its request by the answer's content.
  node::ConnectionUse connection = node::ConnectionUse::kFresh;
  // Asks another entry host to echo this request's exchange ID in its answer;
  // an answer without that ID is a failure.
  bool expects_exchange_id = false;
  // For answers without an ID: text that the body of a success must contain for
  // its connection to be reused. After any other answer, a late copy of that
  // answer could be taken for the next one.
  std::optional<std::string> reuse_marker;
};

struct HttpFailure {
  node::EndpointFailureKind kind = node::EndpointFailureKind::kBroken;
  node::ConnectionAge connection = node::ConnectionAge::kFresh;
  bool was_refused = false;  // The peer's address refused the connection.
  // Bytes came that are no answer in the protocol.
  bool is_malformed = false;
  // Of the answer's body, until the failure.
  size_t received_bytes = 0;
  std::string detail;
};

using HttpOutcome = std::variant<HttpResponse, HttpFailure>;

enum class HttpTransferId : uint64_t {};

// Sends HTTP/1.1 requests through libcurl's multi interface, driven by the
// reactor. Callbacks run in the loop's turn, never inside Send() or Cancel().
//
// What an answer is decides an AnswerReader, from all bytes that were received.
// A malformed answer is a failure, and its connection is closed.
//
// The bodies that are being received are held in a memory budget, as the part
// of endpoints: transfers that are evicted from it fail.
//
// A turn takes in about kTurnBytes of all answers together. Transfers with more
// to read wait, without being read from, and go on in later turns in the order
// in which they began to wait.
class HttpClient final : public LoopParticipant {
 public:
  // Receives the response's head and the next part of its body, in order.
  using ChunkHandler =
      std::function<void(const HttpResponse& head, std::string bytes)>;
  // Called when the request is sent, before any part of the response arrives.
  using SendingHandler = std::function<void(node::ConnectionAge connection)>;
  // Called exactly once, after all other callbacks. The body is empty if a
  // ChunkHandler was given.
  using DoneHandler = std::function<void(HttpOutcome outcome)>;
  // Called when the answer's body has begun to arrive, unless the transfer ends
  // in the same turn.
  using BegunHandler = std::function<void()>;
  struct Handlers {
    DoneHandler done;
    ChunkHandler chunk = nullptr;
    SendingHandler sending = nullptr;
    BegunHandler begun = nullptr;
  };
  // Told of each malformed answer, before the transfer's own callback.
  using MalformedHandler = std::function<void(const base::SocketAddress& peer,
                                              const std::string& fault)>;

  // What a turn takes in, up to one block of libcurl's over it.
  static constexpr size_t kTurnBytes = size_t{64} * 1024;
  // What a transfer with a stall timeout has to bring in that time.
  static constexpr size_t kProgressBytes = 1024;

  // Has a budget of its own if none is given. The budget must outlive the
  // client.
  static base::Result<std::unique_ptr<HttpClient>> Create(
      Reactor& reactor,
      MemoryBudget* budget = nullptr);
  ~HttpClient() override;

  void SetMalformedHandler(MalformedHandler handler) {
    on_malformed_ = std::move(handler);
  }

  HttpTransferId Send(HttpRequest request, Handlers handlers);
  HttpTransferId Send(HttpRequest request,
                      DoneHandler done,
                      ChunkHandler chunk = nullptr,
                      SendingHandler sending = nullptr) {
    return Send(std::move(request), Handlers{std::move(done), std::move(chunk),
                                             std::move(sending)});
  }

  // Cancels a transfer; its callbacks won't run. Unknown IDs are ignored. A
  // callback may cancel its own transfer: what the callback holds lives on
  // until it has returned.
  void Cancel(HttpTransferId id);

  // Takes in no more of the answer's body until Resume(). What this turn has
  // taken in is still delivered. Unknown IDs are ignored.
  void Hold(HttpTransferId id);
  void Resume(HttpTransferId id);

  // Prevents reuse of the connections to this peer that are idle now.
  void RetireConnections(const base::SocketAddress& address);

  void RunTurn(base::TimePoint now) override;
  std::optional<base::TimePoint> NextTurn() const override;

  // How many bytes of bodies have been searched for a reuse marker so far.
  uint64_t searched_bytes() const { return searched_bytes_; }

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
  // A transfer that failed while it was continued.
  struct Failure {
    HttpTransferId id;
    CURLcode code;
  };

  HttpClient(Reactor& reactor, MemoryBudget* budget);

  static int OnSocket(CURL* easy, curl_socket_t, int what, void* self, void*);
  static int OnTimer(CURLM* multi, long timeout_ms, void* self);
  static int OnSocketOpened(void* self, curl_socket_t socket, curlsocktype);
  static int OnSending(void* transfer, char*, char*, int, int);
  // For the bytes of heads and of bodies.
  static size_t OnBytes(char* data, size_t, size_t size, void* transfer);

  // Whether the transfer takes in no more in this turn. Has it continued later
  // then.
  bool MustWait(Transfer& transfer);
  // These return false if the transfer is to fail.
  bool Read(Transfer& transfer, std::string_view bytes);
  bool AddBody(Transfer& transfer, std::string bytes);

  static void DropBody(Transfer& transfer);
  // Accounts for the transfer's body. Returns false if it is dropped.
  bool UpdateMemory(Transfer& transfer);

  void SetUp(Transfer& transfer);
  static void SetMethod(Transfer& transfer);
  static void SetForwardedMethod(Transfer& transfer);
  static void SetBody(Transfer& transfer);
  static void SetHeaders(Transfer& transfer);
  // Continues waiting transfers, at least one, until the turn's bytes are used
  // up.
  void ContinueWaiting();
  void Continue(Transfer& transfer);
  // Records that the body of a transfer with a stall timeout has gone on.
  void NoteProgress(Transfer& transfer);
  // Ends the transfers that have missed their deadline for the next bytes.
  void FailStalled(base::TimePoint now);
  void HandleEvents();
  void HandleSocketEvents(curl_socket_t socket, int events);
  void DeliverSendings();
  void DeliverChunks();
  void DeliverDone();
  void DeliverBegun();
  // Ends the transfer with libcurl's result.
  void Finish(Transfer& transfer, CURLcode code);
  HttpOutcome OutcomeOf(Transfer& transfer, CURLcode code);
  // What is malformed about an answer, if anything is.
  static std::optional<std::string> FaultOf(const Transfer& transfer,
                                            CURLcode code);
  // Has the connection of a whole answer closed, or kept if that is safe.
  void DecideReuse(const Transfer& transfer);
  bool HasReuseMarker(const Transfer& transfer);
  static bool WasRefused(const Transfer& transfer, CURLcode code);
  static bool HasMatchingExchangeId(const Transfer& transfer);
  static HttpFailure FailureOf(const Transfer& transfer, std::string detail);
  void Release(Transfer& transfer);
  bool RequiresFreshConnection(const base::SocketAddress& address) const;

  Reactor& reactor_;
  std::unique_ptr<MemoryBudget> own_budget_;
  MemoryBudget& budget_;
  CURLM* multi_ = nullptr;
  std::unique_ptr<SocketEvents> events_;  // Of libcurl's sockets.
  MalformedHandler on_malformed_;
  uint64_t last_id_ = 0;
  std::unordered_map<HttpTransferId, std::unique_ptr<Transfer>> transfers_;
  // Until the end of the turn: one of their callbacks may be running.
  std::vector<std::unique_ptr<Transfer>> cancelled_;
  std::vector<Sending> sendings_;
  std::vector<Chunk> chunks_;
  std::vector<HttpTransferId> begun_;
  // Bytes taken in by this turn so far.
  size_t turn_bytes_ = 0;
  std::deque<HttpTransferId> waiting_;
  std::vector<Failure> failed_;
  // Of transfers with a stall timeout: when they fail unless they go on.
  std::map<HttpTransferId, base::TimePoint> stall_deadlines_;
  uint64_t searched_bytes_ = 0;
  std::optional<base::TimePoint> curl_due_;
  // By peer: the time until which requests must open new connections.
  std::map<base::SocketAddress, base::TimePoint> fresh_connections_until_;
};

}  // namespace bilberry::transport
