#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "LibBase/ids.h"

namespace bilberry::platform {

// A faulty maker of pieces: it refuses the first call, and writes that refusal
// once more where the next answer on its connection is due, so that each later
// answer there comes one call late. Names its results after their requests.
class LateAnswerEndpoint {
 public:
  LateAnswerEndpoint();
  ~LateAnswerEndpoint();
  LateAnswerEndpoint(const LateAnswerEndpoint&) = delete;
  LateAnswerEndpoint& operator=(const LateAnswerEndpoint&) = delete;

  const base::SocketAddress& address() const { return address_; }
  size_t call_count() const { return call_count_; }

 private:
  // What one connection has still to bring.
  struct Connection {
    int descriptor = -1;
    bool was_refused = false;
    bool was_copied = false;
    std::string late_answer;
  };

  void Accept();
  void Serve(int descriptor);
  void AnswerCall(Connection& connection, const std::string& body);

  int listening_;
  base::SocketAddress address_;
  std::atomic<size_t> call_count_ = 0;
  std::mutex mutex_;
  std::vector<int> descriptors_;
  std::vector<std::thread> serving_;
  std::thread accepting_;
};

}  // namespace bilberry::platform
