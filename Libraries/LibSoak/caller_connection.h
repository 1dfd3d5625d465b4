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
  std::string body;  // As far as it came.
};

// A caller's connection, kept for one request after the other until its other
// end closes it. Nothing is ever sent again, and each byte is accounted for.
class CallerConnection final : private ACE_Event_Handler {
 public:
  using AnswerHandler = std::function<void(ConnectionAnswer answer)>;
  // Bytes that came while no request was waiting.
  using StrayHandler = std::function<void(size_t bytes)>;

  CallerConnection(transport::Reactor& reactor,
                   AnswerHandler answer_handler,
                   StrayHandler stray_handler);
  ~CallerConnection() override;

  bool is_open() const { return descriptor_ >= 0; }

  // False if nobody listens there.
  bool Open(const base::SocketAddress& address);
  // False if the connection takes nothing: it is closed then.
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
  std::unique_ptr<Parser> parser_;  // While a request waits for its answer.
};

}  // namespace bilberry::soak
