#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "LibBase/ids.h"
#include "flood_server.h"
#include "loopback_listener.h"

namespace bilberry::transport {

// Reads the head of each request and so many bytes of its body, sends a fixed
// answer and, after a while, ends the connection.
class HastyServer {
 public:
  HastyServer(std::string answer,
              size_t read_bytes,
              std::chrono::milliseconds wait,
              ServerEnd end)
      : answer_(std::move(answer)),
        read_bytes_(read_bytes),
        wait_(wait),
        end_(end),
        listener_(kBacklog) {
    serving_ = std::thread([this] { Serve(); });
  }
  ~HastyServer() {
    listener_.Stop();
    serving_.join();
  }
  HastyServer(const HastyServer&) = delete;
  HastyServer& operator=(const HastyServer&) = delete;

  base::SocketAddress address() const { return listener_.address(); }
  // Requests other than health checks.
  size_t request_count() const { return request_count_; }
  // Answers the requests that come from now on.
  void SetAnswer(std::string answer) {
    const std::lock_guard lock(mutex_);
    answer_ = std::move(answer);
  }

 private:
  static constexpr int kBacklog = 16;

  std::string answer() {
    const std::lock_guard lock(mutex_);
    return answer_;
  }

  void Serve() {
    for (int connection = listener_.Accept(); connection >= 0;
         connection = listener_.Accept())
      Answer(connection);
  }

  void Answer(int connection) {
    constexpr std::string_view kHeadEnd = "\r\n\r\n";
    std::string received;
    std::array<char, 4096> buf{};
    for (size_t head = std::string::npos;
         head == std::string::npos ||
         received.size() < head + kHeadEnd.size() + read_bytes_;
         head = received.find(kHeadEnd)) {
      const ssize_t n = recv(connection, buf.data(), buf.size(), 0);
      if (n <= 0)
        break;
      received.append(buf.data(), static_cast<size_t>(n));
    }
    if (received.find("/health") == std::string::npos)
      ++request_count_;
    const std::string answer = this->answer();
    send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
    std::this_thread::sleep_for(wait_);
    if (end_ == ServerEnd::kReset) {
      const linger reset{1, 0};
      setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
    close(connection);
  }

  std::atomic<size_t> request_count_ = 0;
  std::mutex mutex_;
  std::string answer_;  // Guarded by mutex_.
  size_t read_bytes_ = 0;
  std::chrono::milliseconds wait_;
  ServerEnd end_;
  LoopbackListener listener_;
  std::thread serving_;
};

}  // namespace bilberry::transport
