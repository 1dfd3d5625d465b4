#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace bilberry::base {

// A strongly typed name: names of different kinds are different types.
template <typename Tag>
struct Name {
  std::string value;

  friend auto operator<=>(const Name&, const Name&) = default;
};

using TeamName = Name<struct TeamNameTag>;
using PoolName = Name<struct PoolNameTag>;
using PipelineName = Name<struct PipelineNameTag>;
using StageName = Name<struct StageNameTag>;
using ZoneName = Name<struct ZoneNameTag>;
using HostName = Name<struct HostNameTag>;
using EndpointName = Name<struct EndpointNameTag>;

// One connected caller, numbered by the shell.
enum class CallerId : uint64_t {};
// One request to the platform or to a peer, numbered by the EntryNode; or one
// request of a peer, numbered by the shell.
enum class OperationId : uint64_t {};
// One run of a pipeline, unique within an incarnation of a host.
enum class RunId : uint64_t {};
// One lifetime of a process, chosen at random when the process starts.
enum class Incarnation : uint64_t {};
// Version number of the configuration; increases with each accepted change.
enum class Revision : uint64_t {};

// One attempt to run one stage of a run. IDs are never reused.
struct AttemptId {
  Incarnation incarnation{};
  uint64_t number = 0;

  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

// Formats an attempt as "incarnation-number" in hexadecimal digits, as sent in
// headers.
std::string ToText(const AttemptId& attempt);

// Formats the ID of a run that callers are given: "incarnation-number" in
// hexadecimal digits.
std::string ToRequestId(Incarnation incarnation, RunId run);

// An IP address and a port.
struct SocketAddress {
  std::string ip;
  uint16_t port = 0;

  friend auto operator<=>(const SocketAddress&, const SocketAddress&) = default;
};

// Formats "ip:port", with an IPv6 address in brackets (RFC 3986 section 3.2.2).
std::string ToText(const SocketAddress& address);

// Parses "ip:port" with an IPv4 address and a port above 0. Empty for any other
// text.
std::optional<SocketAddress> ParseSocketAddress(std::string_view text);

}  // namespace bilberry::base

template <typename Tag>
struct std::hash<bilberry::base::Name<Tag>> {
  size_t operator()(const bilberry::base::Name<Tag>& name) const noexcept {
    return std::hash<std::string>()(name.value);
  }
};
