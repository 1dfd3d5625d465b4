#pragma once

#include <chrono>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Blocking HTTP/1.1 channels on loopback, for the stand-ins of the review.
namespace bilberry::review {

using Clock = std::chrono::steady_clock;

// The loopback address that all stand-ins and hosts use.
inline constexpr const char* kLoopback = "127.0.0.1";

struct Header {
  std::string name;
  std::string value;
};

struct Message {
  std::string first_line;
  std::vector<Header> headers;
  std::string body;

  // The value of the first header of this name; empty if there is none.
  std::string Find(std::string_view name) const;
  // The status code of a response; 0 if the line is none.
  int status() const;
  // The target of a request.
  std::string target() const;
};

// One TCP connection. Closes it when destroyed.
class Channel {
 public:
  explicit Channel(int descriptor);
  ~Channel();
  Channel(Channel&& other) noexcept;
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;
  Channel& operator=(Channel&&) = delete;

  // Empty if the connection isn't established by then.
  static std::optional<Channel> Connect(int port,
                                        std::chrono::milliseconds timeout);

  // Returns false if the peer has closed the channel.
  bool Write(std::string_view bytes) const;
  // Reads one whole message. Empty if the channel ends or the time is over
  // before that.
  std::optional<Message> Read(std::chrono::milliseconds timeout);

 private:
  // Returns false at the end of the channel or when the time is over.
  bool ReadMore(Clock::time_point end);
  bool ReadUntilSize(size_t size, Clock::time_point end);
  bool ReadChunks(std::string& body, Clock::time_point end);

  int descriptor_;
  std::string unread_;
};

// Accepts channels on a free port, each handled on a thread of its own.
class Acceptor {
 public:
  using Handler = std::function<void(Channel channel)>;

  explicit Acceptor(Handler handler);

  int port() const { return port_; }
  std::string address() const;

 private:
  void Run() const;

  Handler handler_;
  int descriptor_;
  int port_ = 0;
};

// A port that was free a moment ago.
int FreePort();

std::string Join(std::initializer_list<std::string_view> parts);

// An answer with a length.
std::string Answer(std::string_view status,
                   const std::vector<Header>& headers,
                   std::string_view body);

}  // namespace bilberry::review
