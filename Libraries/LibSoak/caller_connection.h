#pragma once

#include <ace/Event_Handler.h>

#include <functional>
#include <memory>
#include <string>

#include "LibBase/ids.h"
#include "LibSoak/observation.h"
#include "LibTransport/reactor.h"

namespace bilberry::soak {

struct ConnectionAnswer {
  AnswerEnd end = AnswerEnd::kNone;
  int status = 0;
  base::HttpHeaders headers;
  std::string body;  // Bytes received so far.
};

// A caller's keep-alive connection for one request at a time. It never retries
// a request, and reports every byte outside an answer as a stray byte.
class CallerConnection final : private ACE_Event_Handler {
 public:
  using AnswerHandler = std::function<void(ConnectionAnswer answer)>;
  // Receives the number of bytes that arrived while no request was waiting.
  using StrayHandler = std::function<void(size_t bytes)>;

  CallerConnection(transport::Reactor& reactor,
                   AnswerHandler answer_handler,
                   StrayHandler stray_handler);
  ~CallerConnection() override;

  bool is_open() const { return descriptor_ >= 0; }

  // False if nothing listens at the address.
  bool Open(const base::SocketAddress& address);
  // False if the request can't be written at once; the connection is then
  // closed.
  bool Send(const std::string& request);
  void Close();

 private:
  class Parser;

  int handle_input(ACE_HANDLE descriptor) override;
  void Parse();
  void NoteEnd();
  void Finish(AnswerEnd end);

  transport::Reactor& reactor_;
  AnswerHandler answer_handler_;
  StrayHandler stray_handler_;
  int descriptor_ = -1;
  std::string unread_;
  std::unique_ptr<Parser> parser_;  // Set while a request waits for its answer.
};

}  // namespace bilberry::soak
