#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibForward/table_news.h"

// What entry hosts tell one another of the store's tables and of endpoints, as
// JSON.
namespace bilberry::transport {

std::string EncodeNotices(const forward::ToldNotices& notices);
// Empty when any part of it can't be read.
std::optional<forward::ToldNotices> DecodeNotices(std::string_view text);

std::string EncodeNewsQuestion(const forward::NewsQuestion& question);
std::optional<forward::NewsQuestion> DecodeNewsQuestion(std::string_view text);

std::string EncodeNews(const forward::News& news);
// Empty when any part of it can't be read.
std::optional<forward::News> DecodeNews(std::string_view text);

}  // namespace bilberry::transport
