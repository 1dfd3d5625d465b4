#include <doctest/doctest.h>

#include "Standins/relay.h"
#include "http_pair.h"

namespace bilberry::transport {
namespace {

using standins::LinkState;
using standins::Relay;

struct LinkCase {
  LinkState state;
  bool does_old_connection_work;
  bool does_new_connection_work;
};

TEST_SUITE_BEGIN("contract");

TEST_CASE("the relay passes, drops or refuses traffic by its state") {
  for (const LinkCase& each : {
           LinkCase{LinkState::kHealthy, true, true},
           LinkCase{LinkState::kSilent, false, false},
           LinkCase{LinkState::kDropsOldConnections, false, true},
           LinkCase{LinkState::kOneWayOut, false, false},
           LinkCase{LinkState::kOneWayBack, false, false},
           LinkCase{LinkState::kRefusing, false, false},
       }) {
    CAPTURE(static_cast<int>(each.state));
    HttpPair* raw = nullptr;
    HttpPair pair([&raw](const IncomingRequest& it) {
      raw->listener->Respond(it.exchange, {200, {}, "whole"});
    });
    raw = &pair;
    const auto relay = Unwrap(Relay::Create(pair.reactor, {"127.0.0.1", 0},
                                            pair.listener->address()));
    HttpRequest request = pair.Request();
    request.address = relay->address();
    request.timeout = std::chrono::milliseconds(1000);
    request.connection = node::ConnectionUse::kPooled;
    CHECK(std::holds_alternative<HttpResponse>(pair.Ask(request)));
    relay->Order(each.state);
    const bool old_works =
        std::holds_alternative<HttpResponse>(pair.Ask(request));
    CHECK(old_works == each.does_old_connection_work);
    request.connection = node::ConnectionUse::kFresh;
    const bool new_works =
        std::holds_alternative<HttpResponse>(pair.Ask(request));
    CHECK(new_works == each.does_new_connection_work);
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::transport
