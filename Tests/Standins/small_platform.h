#pragma once

#include <memory>
#include <string>

#include "Standins/piece_endpoint_standin.h"
#include "Standins/row_store_standin.h"

namespace bilberry::standins {

// A configuration with a pipeline of each kind, all under the host
// "shop.example": /read/ and /book/ on the pool "desk"; /open/ for callers
// without an API key; /draft/, a stream with two stages on "maker"; and
// /resume/, a resumable stream on "llm".
// `more_routes` come before these: /more-1/ and so on, to the pool "desk".
std::string SmallConfiguration(uint64_t revision, size_t more_routes = 0);

// A small stand-in of the platform: its store with a configuration, and three
// pools of one or two endpoints.
struct SmallPlatform {
  static base::Result<std::unique_ptr<SmallPlatform>> Create(
      transport::Reactor& reactor,
      const base::SocketAddress& store_address);

  // Lists the endpoint, and again under its new name after each restart.
  void Add(PieceEndpointStandin& endpoint, const std::string& pool);
  // Writes an endpoint's entry to the store.
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
