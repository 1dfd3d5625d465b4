#pragma once

#include <cxxopts.hpp>
#include <string>
#include <variant>
#include <vector>

#include "LibBase/ids.h"
#include "LibOperator/console.h"
#include "LibOperator/operator_client.h"

namespace bilberry::operators {

// The flags of commands that ask entry hosts: --hosts or --platform, --token.
void AddHostFlags(cxxopts::Options& options);

// The entry hosts that were named, or that the platform's list holds; or what
// to end with, after a complaint.
using HostAddresses = std::vector<base::SocketAddress>;
std::variant<HostAddresses, ExitCode> HostsOf(const cxxopts::ParseResult& flags,
                                              OperatorClient& session,
                                              Console& console);

// Complains of a host that gave no usable answer, and tells what to end with.
ExitCode ReportHostError(const base::Error& error, Console& console);

}  // namespace bilberry::operators
