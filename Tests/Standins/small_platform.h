#pragma once

#include <memory>
#include <string>

#include "Standins/piece_endpoint_standin.h"
#include "Standins/row_store_standin.h"

namespace bilberry::standins {

// A configuration with pipelines of each kind, all under the host
// "shop.example": /read/ and /book/ on the pool "desk", /open/ for callers
// without a key, /draft/ (a stream whose two stages run on "maker") and
// /resume/ (a stream that may go on) on "llm".
std::string SmallConfiguration(uint64_t revision);

// The users' platform in small: its store with a configuration, and three pools
// of one or two endpoints.
struct SmallPlatform {
  static base::Result<std::unique_ptr<SmallPlatform>> Create(
      transport::Reactor& reactor,
      const base::SocketAddress& store_address);

  // Lists an endpoint in the store.
  void List(const PieceEndpointStandin& endpoint,
            const std::string& pool,
            const std::string& state = "ready");

  std::unique_ptr<RowStoreStandin> store;
  std::unique_ptr<PieceEndpointStandin> desk;
  std::unique_ptr<PieceEndpointStandin> other_desk;
  std::unique_ptr<PieceEndpointStandin> engine;
  std::unique_ptr<PieceEndpointStandin> other_engine;
  std::unique_ptr<PieceEndpointStandin> maker;
};

}  // namespace bilberry::standins
