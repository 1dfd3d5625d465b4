#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibForward/permit.h"
#include "LibTransport/json_text.h"

// JSON encoding of the messages about rate limits between entry hosts: permit
// requests, their answers, and reports of endpoints' limits.
namespace bilberry::transport {

std::string EncodePermitRequest(const forward::PermitRequest& permit_request);
// Returns empty if the text is malformed.
std::optional<forward::PermitRequest> DecodePermitRequest(
    std::string_view text);

Json::Value JsonOf(const std::vector<forward::EndpointLimitReport>& limits);
// Returns empty if the array is malformed.
std::optional<std::vector<forward::EndpointLimitReport>> DecodeLimitReports(
    const Json::Value& array);

std::string EncodePermitAnswer(const forward::PermitAnswer& answer);
// Returns empty if the text is malformed.
std::optional<forward::PermitAnswer> DecodePermitAnswer(std::string_view text);

}  // namespace bilberry::transport
