#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibForward/store_sync_messages.h"

// What entry hosts tell one another of the store's tables and of endpoints, as
// JSON.
namespace bilberry::transport {

std::string EncodeNoticeBatch(const forward::NoticeBatch& notices);
// Empty when any part of it can't be read.
std::optional<forward::NoticeBatch> DecodeNoticeBatch(std::string_view text);

std::string EncodeStoreSyncRequest(const forward::StoreSyncRequest& question);
std::optional<forward::StoreSyncRequest> DecodeStoreSyncRequest(
    std::string_view text);

std::string EncodeStoreSyncResponse(const forward::StoreSyncResponse& news);
// Empty when any part of it can't be read.
std::optional<forward::StoreSyncResponse> DecodeStoreSyncResponse(
    std::string_view text);

}  // namespace bilberry::transport
