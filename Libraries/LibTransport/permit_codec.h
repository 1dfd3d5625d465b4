#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibForward/permit.h"
#include "LibTransport/json_text.h"

// Questions for permits, their answers, and what is told of limits, as hosts
// send them to one another.
namespace bilberry::transport {

std::string EncodePermitRequest(const forward::PermitRequest& question);
// Empty when the text can't be read.
std::optional<forward::PermitRequest> DecodePermitRequest(
    std::string_view text);

Json::Value JsonOf(const std::vector<forward::EndpointLimitReport>& limits);
// Empty when the array can't be read.
std::optional<std::vector<forward::EndpointLimitReport>> DecodeLimitReports(
    const Json::Value& array);

std::string EncodePermitAnswer(const forward::PermitAnswer& answer);
// Empty when the text can't be read.
std::optional<forward::PermitAnswer> DecodePermitAnswer(std::string_view text);

}  // namespace bilberry::transport
