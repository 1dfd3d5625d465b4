#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <string_view>
#include <system_error>

namespace bilberry::base {

// Kinds of failure, as std::error_code values of the `bilberry` category.
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

// The step of the work at which an error arose.
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

// An error with the step and the peer at which it arose. `peer` is an address
// or a name, empty when the error is local.
struct Error {
  std::error_code code;
  Step step = Step::kSettings;
  std::string peer;
  std::string message;
};

// One line: "step at peer: message (code)".
std::string ToText(const Error& error);

template <typename T>
using Result = boost::outcome_v2::unchecked<T, Error>;

inline auto Success() {
  return boost::outcome_v2::success();
}

}  // namespace bilberry::base

template <>
struct std::is_error_code_enum<bilberry::base::ErrorCode> : std::true_type {};

// TRY(expression) passes an error on to the caller; TRY(name, expression) also
// declares `name` as the value.
#define TRY(...) BOOST_OUTCOME_TRY(__VA_ARGS__)
