#include "LibTransport/incoming_request.h"

#include <utility>

namespace bilberry::transport {

namespace {

struct AccountedBody {
  std::string text;
  std::shared_ptr<MemoryReservation> memory;
};

}  // namespace

std::shared_ptr<const std::string> TakeSharedBody(IncomingRequest& request) {
  auto body = std::make_shared<AccountedBody>(
      AccountedBody{std::move(request.body), std::move(request.body_memory)});
  return {body, &body->text};
}

}  // namespace bilberry::transport
