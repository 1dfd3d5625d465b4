#include <doctest/doctest.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <memory>

#include "LibTransport/reactor.h"

namespace bilberry::transport {
namespace {

struct Counter : ACE_Event_Handler {
  int handle_input(ACE_HANDLE /*descriptor*/) override {
    ++inputs;
    return 0;
  }
  int handle_output(ACE_HANDLE /*descriptor*/) override {
    ++outputs;
    return 0;
  }
  int inputs = 0;
  int outputs = 0;
};

// Guards against the stale registration that ACE keeps of a descriptor that was
// closed before it was unregistered.
TEST_CASE("a descriptor closed while watched can be registered again") {
  Reactor reactor;
  std::array<int, 2> pipe_ends{};
  REQUIRE(pipe2(pipe_ends.data(), O_CLOEXEC) == 0);
  const int number = pipe_ends[1];
  auto gone = std::make_unique<Counter>();
  reactor.Watch(number, *gone, ACE_Event_Handler::WRITE_MASK);
  close(number);
  reactor.Unwatch(number);
  gone.reset();

  // Opens another pipe, one end of which gets the same descriptor number.
  std::array<int, 2> other{};
  REQUIRE(pipe2(other.data(), O_CLOEXEC) == 0);
  if (other[1] != number) {
    REQUIRE(dup3(other[1], number, O_CLOEXEC) == number);
    close(other[1]);
  }
  Counter counter;
  reactor.Watch(number, counter, ACE_Event_Handler::READ_MASK);
  for (int i = 0; i < 3; ++i)
    reactor.RunOnce(std::chrono::milliseconds(1));
  // With the stale mask, the handler would be called for output without end.
  CHECK(counter.outputs == 0);
  reactor.Watch(number, counter, ACE_Event_Handler::WRITE_MASK);
  reactor.RunOnce(std::chrono::milliseconds(1));
  CHECK(counter.outputs == 1);
  reactor.Unwatch(number);
  close(number);
  close(other[0]);
  close(pipe_ends[0]);
}

}  // namespace
}  // namespace bilberry::transport
