#pragma once

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>

#include "LibTransport/http_message.h"
#include "LibTransport/message_framing.h"

namespace bilberry::transport {

// Reads HTTP/1 messages strictly (RFC 9112): the parser of Boost.Beast, without
// what it admits beyond the grammar. What holds for requests and for answers
// alike is here.
template <bool is_request>
class MessageParser : public boost::beast::http::basic_parser<is_request> {
 public:
  using error_code = boost::system::error_code;
  using string_view = boost::beast::string_view;

  explicit MessageParser(size_t max_head_bytes) {
    this->header_limit(static_cast<uint32_t>(max_head_bytes));
    // Limits of bodies are up to the readers. The parser of Boost 1.74 takes
    // the absence of a limit for a limit of zero.
    this->body_limit(std::numeric_limits<uint64_t>::max());
  }

  // Returns how many of the bytes were used; those that are left over are
  // passed again with what follows them.
  size_t Put(std::string_view bytes, error_code& ec) {
    // The parser ends the process if it gets the end of a body without chunks
    // in parts of which one is shorter.
    if (IsBetweenChunks() && bytes.size() < kShortestChunkedEnd) {
      ec = boost::beast::http::error::need_more;
      return 0;
    }
    input_ = bytes;
    return this->put(boost::asio::buffer(bytes.data(), bytes.size()), ec);
  }

  HttpVersion version() const { return version_; }
  // Those of the head; those of an answer's trailer are added once its body is
  // complete.
  HttpHeaders& headers() { return headers_; }
  const HttpHeaders& headers() const { return headers_; }

 protected:
  static constexpr int kVersion10 = 10;

  // What else is asked of a head with definite framing.
  virtual void HandleHead(error_code& ec) = 0;
  virtual void HandleBody(std::string_view bytes, error_code& ec) = 0;

  void SetVersion(int version) {
    version_ =
        version == kVersion10 ? HttpVersion::kHttp10 : HttpVersion::kHttp11;
  }

 private:
  // Bytes of the shortest end of a chunked body: a size of zero and two line
  // ends.
  static constexpr size_t kShortestChunkedEnd = 5;

  void on_field_impl(boost::beast::http::field /*field*/,
                     string_view name,
                     string_view value,
                     error_code& ec) final {
    // Another reader of the message may take the next line for a header.
    if (GoesOn(name, value)) {
      ec = boost::beast::http::error::bad_value;
      return;
    }
    // Nothing reads the trailers of requests.
    if (is_request && this->is_header_done())
      return;
    headers_.push_back({std::string(name.data(), name.size()),
                        std::string(value.data(), value.size())});
  }

  void on_header_impl(error_code& ec) final {
    if (!IsFramingDefinite(headers_, version_))
      ec = boost::beast::http::error::bad_field;
    else
      HandleHead(ec);
  }

  void on_body_init_impl(const boost::optional<uint64_t>& /*length*/,
                         error_code& /*ec*/) final {}

  size_t on_body_impl(string_view bytes, error_code& ec) final {
    HandleBody({bytes.data(), bytes.size()}, ec);
    return bytes.size();
  }

  void on_chunk_header_impl(uint64_t size,
                            string_view extensions,
                            error_code& ec) final {
    chunk_bytes_left_ = size;
    if (!base::IsHeaderValue({extensions.data(), extensions.size()}))
      ec = boost::beast::http::error::bad_chunk_extension;
  }

  size_t on_chunk_body_impl(uint64_t remaining,
                            string_view bytes,
                            error_code& ec) final {
    chunk_bytes_left_ = remaining - bytes.size();
    return on_body_impl(bytes, ec);
  }

  void on_finish_impl(error_code& /*ec*/) final {}

  // Whether the next bytes are a chunk's size or the end of a chunked body.
  bool IsBetweenChunks() const {
    return this->is_header_done() && this->chunked() && chunk_bytes_left_ == 0;
  }

  // Whether the header's value goes on in the next line. The parser joins such
  // a value in memory of its own, unless the first line of it is empty.
  bool GoesOn(string_view name, string_view value) const {
    const std::less<> is_before;
    const char* input_end = input_.data() + input_.size();
    const char* name_end = name.data() + name.size();
    const bool is_input = !is_before(value.data(), name_end) &&
                          !is_before(input_end, value.data());
    return !is_input || std::find(name_end, value.data(), '\n') != value.data();
  }

  HttpHeaders headers_;
  HttpVersion version_ = HttpVersion::kHttp11;
  uint64_t chunk_bytes_left_ = 0;
  std::string_view input_;  // What is being parsed.
};

}  // namespace bilberry::transport
