#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "LibBase/ids.h"
#include "loopback_listener.h"

namespace bilberry::transport {

// How a server ends a connection; kWait leaves it to the client.
enum class ServerEnd { kClose, kReset, kWait };

// Sends each connection one prefix and then an endless repetition of other
// bytes, until the client closes. If there are no other bytes, reads the
// request, sends the prefix and ends the connection. Must outlive the client.
class FloodServer {
 public:
  FloodServer(std::string begin,
              std::string rest,
              ServerEnd end = ServerEnd::kClose)
      : begin_(std::move(begin)),
        rest_(std::move(rest)),
        end_(end),
        listener_(kBacklog) {
    accepting_ = std::thread([this] { Serve(); });
  }
  ~FloodServer() {
    listener_.Stop();
    accepting_.join();
    for (std::thread& it : floods_)
      it.join();
  }
  FloodServer(const FloodServer&) = delete;
  FloodServer& operator=(const FloodServer&) = delete;

  base::SocketAddress address() const { return listener_.address(); }
  size_t sent_bytes() const { return sent_bytes_; }
  // Endless answers to requests other than health checks.
  size_t request_count() const { return request_count_; }

 private:
  static constexpr int kBacklog = 64;

  void Serve() {
    for (;;) {
      const int connection = listener_.Accept();
      if (connection < 0)
        return;
      floods_.emplace_back([this, connection] { Flood(connection); });
    }
  }

  void Flood(int connection) {
    if (rest_.empty()) {
      SendAndClose(connection);
      return;
    }
    char head[256];
    const ssize_t n = recv(connection, head, sizeof(head), MSG_PEEK);
    const std::string_view text(head, n > 0 ? static_cast<size_t>(n) : 0);
    if (text.find("/health") == std::string_view::npos)
      ++request_count_;
    std::string block = begin_;
    while (send(connection, block.data(), block.size(), MSG_NOSIGNAL) > 0) {
      sent_bytes_ += block.size();
      block.clear();
      while (block.size() < 4096)
        block += rest_;
    }
    close(connection);
  }

  // Waits for the client to close first, since unread bytes would reset the
  // connection.
  void SendAndClose(int connection) {
    char buf[4096];
    if (recv(connection, buf, sizeof(buf), 0) > 0)
      (void)send(connection, begin_.data(), begin_.size(), MSG_NOSIGNAL);
    if (end_ == ServerEnd::kReset) {
      // The client reads what was sent before the reset arrives.
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
      const linger discard{1, 0};
      setsockopt(connection, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
      close(connection);
      return;
    }
    if (end_ == ServerEnd::kClose)
      shutdown(connection, SHUT_WR);
    while (recv(connection, buf, sizeof(buf), 0) > 0) {
    }
    close(connection);
  }

  std::string begin_;
  std::string rest_;
  ServerEnd end_;
  LoopbackListener listener_;
  std::atomic<size_t> sent_bytes_ = 0;
  std::atomic<size_t> request_count_ = 0;
  std::thread accepting_;
  std::vector<std::thread> floods_;  // Joined after accepting_.
};

}  // namespace bilberry::transport
