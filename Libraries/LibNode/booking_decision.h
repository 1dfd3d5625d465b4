#pragma once

#include <string>
#include <variant>

#include "LibBase/ids.h"
#include "LibNode/caller_answer.h"

namespace bilberry::node {

// The claim is ours: the run may send, once.
struct BookingGranted {
  base::RunId run{};
};

// The booking has been answered, by this or another run, and the answer is
// kept outside this process.
struct BookingAnswered {
  base::RunId run{};
  int status = 200;
  std::string body;
};

// The run may not send.
struct BookingRejected {
  base::RunId run{};
  int status = 503;
  pipeline::Executed executed = pipeline::Executed::kNo;
  CallerError error;
};

using BookingDecision =
    std::variant<BookingGranted, BookingAnswered, BookingRejected>;

// How a run that was granted its claim ended. After BookingRan the run waits
// for one more decision; after the others it is over.
struct BookingRan {
  int status = 200;
  std::string body;
};
struct BookingDidNotRun {};
struct BookingLeftUnresolved {};

using BookingOutcome =
    std::variant<BookingRan, BookingDidNotRun, BookingLeftUnresolved>;

}  // namespace bilberry::node
