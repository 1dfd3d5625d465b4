#include "LibBase/error.h"

namespace bilberry::base {

namespace {

class BilberryCategory final : public std::error_category {
 public:
  const char* name() const noexcept override { return "bilberry"; }

  std::string message(int value) const override {
    switch (static_cast<ErrorCode>(value)) {
      case ErrorCode::kInvalidArgument:
        return "invalid argument";
      case ErrorCode::kNotFound:
        return "not found";
      case ErrorCode::kConflict:
        return "conflict";
      case ErrorCode::kUnavailable:
        return "unavailable";
      case ErrorCode::kTimeout:
        return "timeout";
      case ErrorCode::kMalformed:
        return "malformed";
      case ErrorCode::kLimitReached:
        return "limit reached";
      case ErrorCode::kNotReady:
        return "not ready";
      case ErrorCode::kUnauthorized:
        return "unauthorized";
      case ErrorCode::kRefused:
        return "refused";
      case ErrorCode::kSystem:
        return "system error";
    }
    return "unknown error";
  }
};

}  // namespace

std::error_code make_error_code(ErrorCode code) {
  static const BilberryCategory category;
  return {static_cast<int>(code), category};
}

std::string_view ToText(Step step) {
  switch (step) {
    case Step::kSettings:
      return "settings";
    case Step::kConfiguration:
      return "configuration";
    case Step::kListen:
      return "listen";
    case Step::kAdmission:
      return "admission";
    case Step::kQueue:
      return "queue";
    case Step::kClaim:
      return "claim";
    case Step::kEndpointCall:
      return "endpoint_call";
    case Step::kRecord:
      return "record";
    case Step::kPlatformCall:
      return "platform_call";
    case Step::kPeerCall:
      return "peer_call";
    case Step::kOperatorCall:
      return "operator_call";
    case Step::kReport:
      return "report";
  }
  return "unknown";
}

std::string ToText(const Error& error) {
  std::string text(ToText(error.step));
  if (!error.peer.empty())
    text += " at " + error.peer;
  text += ": " + error.message;
  text += " (" + error.code.message() + ")";
  return text;
}

}  // namespace bilberry::base
