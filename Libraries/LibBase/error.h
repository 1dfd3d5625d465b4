#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <string_view>
#include <system_error>

namespace bilberry::base {

// Kinds of failure, usable as std::error_code values of the category
// `bilberry`.
enum class ErrorCode {
  kInvalidArgument = 1,
  kNotFound,
  kConflict,
  kUnavailable,
  kTimeout,
  kMalformed,
  kLimitReached,
  kNotReady,
  kUnauthorized,
  kRefused,
  kSystem,
};

std::error_code make_error_code(ErrorCode code);

// The processing step in which an error occurred.
enum class Step {
  kSettings,
  kConfiguration,
  kListen,
  kAdmission,
  kQueue,
  kClaim,
  kEndpointCall,
  kRecord,
  kPlatformCall,
  kPeerCall,
  kOperatorCall,
  kReport,
};

std::string_view ToText(Step step);

// An error with the step in which it occurred and the peer involved. `peer` is
// an address or a name, empty for a local error.
struct Error {
  std::error_code code;
  Step step = Step::kSettings;
  std::string peer;
  std::string message;
};

// Formats an error as one line: "step at peer: message (code)".
std::string ToText(const Error& error);

template <typename T>
using Result = boost::outcome_v2::unchecked<T, Error>;

inline auto Success() {
  return boost::outcome_v2::success();
}

}  // namespace bilberry::base

template <>
struct std::is_error_code_enum<bilberry::base::ErrorCode> : std::true_type {};

// TRY(expression) returns from the function on an error; TRY(name, expression)
// also declares `name` as the value.
#define TRY(...) BOOST_OUTCOME_TRY(__VA_ARGS__)
