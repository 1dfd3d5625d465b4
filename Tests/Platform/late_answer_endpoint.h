#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "LibBase/ids.h"

namespace bilberry::platform {

// A faulty piece endpoint: it refuses the first call and sends that refusal a
// second time in place of the next answer on the same connection, so that each
// later answer on it comes one call late. The handles of its results contain
// the IDs of their requests.
class LateAnswerEndpoint {
 public:
  LateAnswerEndpoint();
  ~LateAnswerEndpoint();
  LateAnswerEndpoint(const LateAnswerEndpoint&) = delete;
  LateAnswerEndpoint& operator=(const LateAnswerEndpoint&) = delete;

  const base::SocketAddress& address() const { return address_; }
  size_t call_count() const { return call_count_; }

 private:
  // State of one connection; `late_answer` is the answer to be sent to the next
  // call.
  struct Connection {
    int descriptor = -1;
    bool was_refused = false;
    bool has_sent_copy = false;
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
