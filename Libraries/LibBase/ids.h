#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace bilberry::base {

// A name that can't be mistaken for a name of another kind.
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

// One connected caller, as numbered by the shell.
enum class CallerId : uint64_t {};
// One request to the platform or to a peer, as numbered by the core.
enum class OperationId : uint64_t {};
// One run of a pipeline, unique within an incarnation of a host.
enum class RunId : uint64_t {};
// One life of a process; drawn at random at its start.
enum class Incarnation : uint64_t {};
// A configuration's number; grows with each accepted change.
enum class Revision : uint64_t {};

// One sending of one stage of a run; never used twice.
struct AttemptId {
  Incarnation incarnation{};
  uint64_t number = 0;

  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

// "incarnation-number" in hexadecimal digits, as sent in headers.
std::string ToText(const AttemptId& attempt);

// A run's id as told to callers: "incarnation-number" in hexadecimal digits.
std::string ToRequestId(Incarnation incarnation, RunId run);

// An IP number and a port.
struct SocketAddress {
  std::string ip;
  uint16_t port = 0;

  friend auto operator<=>(const SocketAddress&, const SocketAddress&) = default;
};

// "ip:port"; an IPv6 number stands in brackets (RFC 3986 section 3.2.2).
std::string ToText(const SocketAddress& address);

// Reads "ip:port" with an IPv4 number; empty when it is anything else.
std::optional<SocketAddress> ParseSocketAddress(std::string_view text);

}  // namespace bilberry::base

template <typename Tag>
struct std::hash<bilberry::base::Name<Tag>> {
  size_t operator()(const bilberry::base::Name<Tag>& name) const noexcept {
    return std::hash<std::string>()(name.value);
  }
};
