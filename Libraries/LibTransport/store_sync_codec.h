#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibForward/store_sync_messages.h"

// JSON encoding of the messages by which entry hosts exchange the store's
// tables and notices about endpoints.
namespace bilberry::transport {

std::string EncodeNoticeBatch(const forward::NoticeBatch& notices);
// Returns empty if any part of the text is malformed.
std::optional<forward::NoticeBatch> DecodeNoticeBatch(std::string_view text);

std::string EncodeStoreSyncRequest(
    const forward::StoreSyncRequest& sync_request);
std::optional<forward::StoreSyncRequest> DecodeStoreSyncRequest(
    std::string_view text);

// Parses the operators' text of a configuration.
using ConfigurationDecoder =
    std::function<forward::RowContent(std::string_view)>;

std::string EncodeStoreSyncResponse(const forward::StoreSyncResponse& response);
// Returns empty if any part of the text is malformed.
std::optional<forward::StoreSyncResponse> DecodeStoreSyncResponse(
    std::string_view text,
    const ConfigurationDecoder& decode_configuration);

}  // namespace bilberry::transport
