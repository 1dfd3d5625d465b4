#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/platform.h"
#include "LibBase/time.h"
#include "LibBooking/settlement.h"
#include "LibMembership/leaving_marks.h"
#include "LibPolicy/quarantine.h"

// Messages between entry hosts; each is a JSON-RPC method or its result.
namespace bilberry::node {

using membership::LeavingMark;

// The sender's own load at a pool.
struct HostPoolLoad {
  base::PoolName pool;
  uint32_t in_flight = 0;
  uint32_t queued = 0;

  friend bool operator==(const HostPoolLoad&, const HostPoolLoad&) = default;
};

// Gossip message, sent to a few peers each second and soon after an update. The
// lists of marks, quarantines and suspicions hold only new or recent items and
// are bounded.
struct GossipDigest {
  base::HostName host;
  base::Incarnation incarnation{};
  base::Revision revision{};
  std::vector<LeavingMark> leaving;
  std::vector<std::string> quarantined;  // Request digests.
  // Requests that were in flight at endpoints when the sender observed them
  // crash.
  std::vector<policy::CrashSuspicion> suspected;
  std::vector<HostPoolLoad> pool_loads;

  friend bool operator==(const GossipDigest&, const GossipDigest&) = default;
};

// Requests the configuration if it is newer than `revision`, and the host list
// if the sender has none.
struct ConfigurationQuery {
  base::Revision revision{};
  bool wants_hosts = false;

  friend bool operator==(const ConfigurationQuery&,
                         const ConfigurationQuery&) = default;
};

// The host list as the sender got it from the platform.
struct HostsOffer {
  std::vector<base::HostEntry> hosts;
  base::Duration age{};  // Time since the platform confirmed the list.

  friend bool operator==(const HostsOffer&, const HostsOffer&) = default;
};

// The configuration in force at the answering host; the document is empty when
// it is not newer than the query's revision.
struct ConfigurationOffer {
  base::Revision revision{};
  std::string document;
  std::optional<HostsOffer> hosts;

  friend bool operator==(const ConfigurationOffer&,
                         const ConfigurationOffer&) = default;
};

// Queries the host that holds a claim for the state of the booking.
struct BookingQuery {
  std::string claim_token;

  friend bool operator==(const BookingQuery&, const BookingQuery&) = default;
};

enum class BookingStatus : uint8_t {
  kUnknown,  // The answering host does not know the claim.
  kRunning,
  kNotRun,  // Has not executed and never will under this claim.
  kDone,
};

// The claimer's answer. `status`, the HTTP status of the booking's answer, and
// `answer` are set only for kDone.
struct BookingReply {
  BookingStatus booking_status = BookingStatus::kUnknown;
  int status = 0;
  std::string answer;

  friend bool operator==(const BookingReply&, const BookingReply&) = default;
};

// Final records that the table has not taken yet, for the receiver to keep and
// write as well.
struct BookingCopies {
  std::vector<booking::Settlement> settlements;

  friend bool operator==(const BookingCopies&, const BookingCopies&) = default;
};

// Claim tokens of the copies that the receiver now keeps.
struct BookingCopiesAck {
  std::vector<std::string> claim_tokens;

  friend bool operator==(const BookingCopiesAck&,
                         const BookingCopiesAck&) = default;
};

using PeerMessage = std::variant<GossipDigest,
                                 ConfigurationQuery,
                                 ConfigurationOffer,
                                 BookingQuery,
                                 BookingReply,
                                 BookingCopies,
                                 BookingCopiesAck>;

}  // namespace bilberry::node
