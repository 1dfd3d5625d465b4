#pragma once

#include <string>
#include <variant>

#include "LibBase/ids.h"
#include "LibNode/caller_answer.h"

namespace bilberry::node {

// The run holds the claim and may send, once.
struct BookingGranted {
  base::RunId run{};
};

// The booking has an answer, from this or another run, that is stored outside
// of this process.
struct BookingAnswered {
  base::RunId run{};
  int status = 200;
  std::string body;
};

// The run must not send.
struct BookingRejected {
  base::RunId run{};
  int status = 503;
  pipeline::Executed executed = pipeline::Executed::kNo;
  CallerError error;
};

using BookingDecision =
    std::variant<BookingGranted, BookingAnswered, BookingRejected>;

// Outcome of a run that was granted its claim. After BookingRan the run waits
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
