#pragma once

#include <cxxopts.hpp>
#include <string>
#include <variant>
#include <vector>

#include "LibBase/ids.h"
#include "LibOperator/console.h"
#include "LibOperator/operator_client.h"

namespace bilberry::operators {

// Adds the flags of commands that query entry hosts: --hosts or --platform,
// --token.
void AddHostFlags(cxxopts::Options& options);

using HostAddresses = std::vector<base::SocketAddress>;

// The hosts that --hosts names; prints an error and returns the exit code if
// one of them is invalid.
std::variant<HostAddresses, ExitCode> NamedHosts(
    const cxxopts::ParseResult& flags,
    Console& console);
// The entry hosts named by flags or listed by the platform. If there are none,
// prints an error and returns the exit code.
std::variant<HostAddresses, ExitCode> HostsOf(const cxxopts::ParseResult& flags,
                                              OperatorClient& session,
                                              Console& console);

// Prints an error of a host that gave no usable answer, and returns the exit
// code.
ExitCode ReportHostError(const base::Error& error, Console& console);

}  // namespace bilberry::operators
