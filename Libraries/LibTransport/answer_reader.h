#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "LibTransport/http_message.h"

namespace bilberry::transport {

// Whether the answer to a request can have a body; that to HEAD never has one.
enum class AnswerBody { kAllowed, kNever };

// Reads one answer from the bytes of a connection. This is the only place that
// interprets them: nothing of an answer is used that RFC 9112 doesn't allow
// (sections 4 to 7), whatever the library makes of it that receives the bytes.
//
// Interim heads are skipped. A status line may lack the blank before a missing
// reason phrase.
class AnswerReader {
 public:
  explicit AnswerReader(AnswerBody body);
  ~AnswerReader();

  // Reads the next bytes, in whatever parts they arrive. Returns false once the
  // answer is malformed: fault() tells why, and no more may be read.
  bool Read(std::string_view bytes);
  // No more bytes come for this answer. Returns whether it is whole.
  bool End();

  // Whether the head has been read, not counting interim ones.
  bool has_head() const;
  bool is_whole() const;
  // Whether another answer may follow on the connection.
  bool keeps_connection() const;
  // Lines of all heads that have been read.
  size_t line_count() const { return line_count_; }

  // Valid once the head has been read. Trailers are added to the headers.
  int status() const;
  const HttpHeaders& headers() const;
  // Returns what was read of the body since the last call.
  std::string TakeBody();

  // What was wrong, and with which line, in printable bytes; empty as long as
  // nothing was.
  const std::string& fault() const { return fault_; }

 private:
  class Parser;

  // Reads up to the end of a line; returns the rest of the bytes.
  std::string_view ReadHead(std::string_view bytes);
  void ReadBody(std::string_view bytes);
  void ReadLine(const std::string& line);
  void EndHead();
  void Fail(std::string_view reason, std::string_view bytes);

  AnswerBody body_;
  std::unique_ptr<Parser> parser_;
  std::string unread_;
  size_t head_bytes_ = 0;
  size_t line_count_ = 0;
  bool has_head_ = false;
  bool has_surplus_ = false;  // Bytes came behind the answer.
  std::string fault_;
};

}  // namespace bilberry::transport
