#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include "LibTransport/incoming_request.h"

namespace bilberry::transport {

struct RequestLimits {
  // Of the request line and all headers.
  size_t max_head_bytes = size_t{8} * 1024;
  size_t max_body_bytes = size_t{1024} * 1024;
};

enum class ReadingState {
  kHead,   // The head is incomplete.
  kBody,   // The head is complete, the body isn't.
  kWhole,  // The request is complete.
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,  // By more than what is read and discarded.
};

// Reads one request from the bytes of a connection. This is the only place that
// interprets the bytes of a head: what frames the body is what everything else
// is told about the request, so that the two can't differ. Heads that RFC 9112
// doesn't allow, and lines that go on in the next one, are malformed.
class RequestReader {
 public:
  explicit RequestReader(const RequestLimits& limits);
  ~RequestReader();

  // Returns how many of the bytes were used. Stops at the end of the head and
  // at the end of the request; bytes that are left over are passed again with
  // those that follow them.
  size_t Read(std::string_view bytes);

  ReadingState state() const { return state_; }
  bool has_head() const;
  // Whether anything of the request has been read.
  bool has_begun() const;
  // A complete body over the limit is empty.
  bool is_body_too_large() const;

  // From the end of the head on.
  bool keeps_connection() const;
  bool is_http_1_0() const;
  bool expects_continue() const;

  // The length that the head announces, unless it exceeds the limit: then, and
  // without an announcement, 0.
  size_t announced_body_bytes() const;
  // Prepares memory for a body of the announced length.
  void ReserveBody();
  // Releases what was read of the body, and discards the rest of it.
  void DropBody();
  // Memory for the head and the body.
  size_t memory_bytes() const;
  // Bytes of the body that were read.
  uint64_t body_bytes() const;

  // Valid from the end of the head on; the body from kWhole on.
  IncomingRequest& request();
  const IncomingRequest& request() const;

 private:
  class Parser;

  size_t Put(std::string_view bytes);
  void EndHead();

  std::unique_ptr<Parser> parser_;
  ReadingState state_ = ReadingState::kHead;
  size_t head_bytes_ = 0;
  size_t max_head_bytes_;
};

}  // namespace bilberry::transport
