#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "LibBase/time.h"
#include "LibTransport/incoming_request.h"
#include "LibTransport/memory_reservation.h"
#include "LibTransport/request_reader.h"
#include "LibTransport/response_head.h"

namespace bilberry::transport {

// How a streamed response ends: kWhole with its closing chunk, kCut by closing
// the connection.
enum class StreamEnd { kWhole, kCut };

// A client's connection to an HttpListener: the socket, the request that is
// being read, and the response that is being sent. Carries one request at a
// time.
class ListenerConnection {
 public:
  enum class Phase {
    kReading,    // Reads a request or waits for one.
    kWaiting,    // The request is complete and has no response yet.
    kStreaming,  // The response has begun.
    kAnswered,   // The rest of the response is ready to be sent.
    kDraining,   // Nothing is left to send; discards what arrives.
  };

  // Takes over the descriptor of a non-blocking socket. `memory` accounts for
  // the connection's buffers.
  ListenerConnection(int descriptor,
                     base::TimePoint now,
                     std::unique_ptr<MemoryReservation> memory);
  ~ListenerConnection();
  ListenerConnection(const ListenerConnection&) = delete;
  ListenerConnection& operator=(const ListenerConnection&) = delete;

  int descriptor() const { return descriptor_; }
  Phase phase() const { return phase_; }
  bool is_waiting_for_handler() const {
    return phase_ == Phase::kWaiting || phase_ == Phase::kStreaming;
  }
  ExchangeId exchange() const { return exchange_; }

  // Reads what has arrived, as far as `buf` has room for it, so that other
  // connections have their turn. Returns its size in bytes; empty if the
  // connection is broken.
  std::optional<size_t> Receive(std::span<char> buf, base::TimePoint now);
  bool has_input() const { return !input_.empty(); }
  bool has_peer_closed() const { return has_peer_closed_; }
  void NotePeerClosed() { has_peer_closed_ = true; }

  // Interprets what was received, up to the end of the request's head or of the
  // request. Returns kHead or kBody if more has to arrive.
  ReadingState ReadRequest(const RequestLimits& limits);
  bool has_head() const { return reader_ && reader_->has_head(); }
  // The request that is being read; only after ReadRequest().
  RequestReader& reader() { return *reader_; }

  void BeginExchange(ExchangeId exchange,
                     std::optional<std::string> id_to_echo);
  // Takes the body's announced memory; only if its head is complete.
  void BeginBody(base::TimePoint now);
  bool is_receiving_body() const;
  void HandOver() { phase_ = Phase::kWaiting; }
  void SendContinue();

  // The connection is closed after the response if the request isn't complete.
  void Respond(const HttpResponse& response);
  // Sends the bytes as they are; the connection is closed after them.
  void RespondWithBytes(std::string_view bytes);
  void BeginStream(int status, const HttpHeaders& headers);
  void WriteStream(std::string_view bytes);
  void EndStream(StreamEnd end);
  // Drops the response; the connection is to be closed.
  void Abort();
  // Marks the response as incomplete; the connection is to be closed.
  void Cut();

  // Sends what is ready. Returns false if the connection is broken.
  bool Send(base::TimePoint now);
  size_t unsent_bytes() const { return output_.size() - sent_; }
  bool is_aborted() const { return is_aborted_; }

  // After the whole response has been sent: prepares for the next request, or
  // closes one direction. Returns false if the connection is to be closed now.
  bool FinishExchange(base::TimePoint now);

  // Accounts for what the buffers hold now.
  void UpdateMemory();
  // Releases all buffers, and discards the rest of a request being read.
  void DropBuffers();
  base::TimePoint last_activity() const { return last_activity_; }
  // Whether no request is being read or answered.
  bool is_idle() const { return phase_ == Phase::kReading && !reader_; }

  // Returns the events to wait for, as epoll's flags, if they have changed.
  std::optional<uint32_t> TakeNewInterest();

  void SetIdleTimeout(std::chrono::seconds timeout) { idle_timeout_ = timeout; }
  bool HasTimedOut(base::TimePoint now) const;

 private:
  void AddHead(int status,
               HttpHeaders headers,
               BodyFraming framing,
               size_t body_bytes);
  uint32_t Interest() const;
  BodyFraming FramingOf(int status, bool is_stream) const;

  int descriptor_;
  std::unique_ptr<MemoryReservation> memory_;
  std::optional<uint32_t> watched_;  // The events that are waited for.
  Phase phase_ = Phase::kReading;
  base::TimePoint last_activity_;
  std::chrono::seconds idle_timeout_{60};

  std::string input_;  // Received and not interpreted yet.
  bool has_peer_closed_ = false;
  std::optional<RequestReader> reader_;  // From a request's first byte on.
  base::TimePoint body_begun_;
  size_t discarded_bytes_ = 0;

  ExchangeId exchange_{};
  std::optional<std::string> id_to_echo_;
  bool is_head_request_ = false;
  BodyFraming framing_ = BodyFraming::kNone;  // Of the response.
  std::string output_;
  size_t sent_ = 0;
  bool closes_after_response_ = false;
  bool is_cut_ = false;
  bool is_aborted_ = false;
};

}  // namespace bilberry::transport
