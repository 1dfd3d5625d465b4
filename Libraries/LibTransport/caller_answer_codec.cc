#include "LibTransport/caller_answer_codec.h"

#include <json/value.h>

#include "LibTransport/json_text.h"

namespace bilberry::transport {

namespace {

// Retry-After holds whole seconds (RFC 9110 section 10.2.3).
std::string RetryAfterText(std::chrono::milliseconds delay) {
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(delay).count());
}

Json::Value EncodeBody(const node::CallerAnswer& answer) {
  Json::Value body;
  body["request_id"] = answer.request_id;
  body["executed"] = std::string(ToText(answer.executed));
  if (!answer.error)
    return body;
  body["code"] = answer.error->code;
  body["step"] = std::string(ToText(answer.error->step));
  body["peer"] = answer.error->peer;
  body["message"] = answer.error->message;
  if (answer.error->retry_after)
    body["retry_after_ms"] =
        static_cast<Json::Int64>(answer.error->retry_after->count());
  else
    body["retry_after_ms"] = Json::nullValue;
  return body;
}

}  // namespace

HttpResponse EncodeCallerAnswer(const node::CallerAnswer& answer) {
  HttpResponse response;
  response.status = answer.status;
  response.headers = {{kContentTypeHeader, kJsonType},
                      {kRequestIdHeader, answer.request_id},
                      {kExecutedHeader, std::string(ToText(answer.executed))}};
  if (!answer.error) {
    response.body = answer.body;
    return response;
  }
  if (answer.error->retry_after)
    response.headers.push_back(
        {kRetryAfterHeader, RetryAfterText(*answer.error->retry_after)});
  response.body = PrintCompact(EncodeBody(answer));
  return response;
}

std::string EncodeStreamEndEvent(const node::CallerAnswer& answer) {
  // A stream may have been broken off within an event; the blank line ends that
  // event.
  const char* event = answer.error ? "\n\nevent: error" : "event: end";
  return std::string(event) + "\ndata: " + PrintCompact(EncodeBody(answer)) +
         "\n\n";
}

}  // namespace bilberry::transport
