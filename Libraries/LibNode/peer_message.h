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

// What entry hosts tell each other; each is a JSON-RPC method or its result.
namespace bilberry::node {

using membership::LeavingMark;

// What the sender itself has at a pool.
struct HostPoolLoad {
  base::PoolName pool;
  uint32_t in_flight = 0;
  uint32_t queued = 0;

  friend bool operator==(const HostPoolLoad&, const HostPoolLoad&) = default;
};

// What a host knows, told to a few peers each second. Lists hold what is new or
// recent, never all, and have limits.
struct Digest {
  base::HostName host;
  base::Incarnation incarnation{};
  base::Revision revision{};
  std::vector<LeavingMark> leaving;
  std::vector<std::string> quarantined;  // Digests of requests.
  // Requests in flight at endpoints that the sender saw die.
  std::vector<policy::CrashSuspicion> suspected;
  std::vector<HostPoolLoad> shares;

  friend bool operator==(const Digest&, const Digest&) = default;
};

// Asks for the configuration, if it is newer than `revision`, and for the host
// list if the asker has none.
struct ConfigurationQuery {
  base::Revision revision{};
  bool wants_hosts = false;

  friend bool operator==(const ConfigurationQuery&,
                         const ConfigurationQuery&) = default;
};

// The host list as the platform told it to the sender.
struct HostsOffer {
  std::vector<base::HostEntry> hosts;
  base::Duration age{};  // Since the platform confirmed it.

  friend bool operator==(const HostsOffer&, const HostsOffer&) = default;
};

// The configuration in force at the one who answers; an empty document when
// nothing newer is known.
struct ConfigurationOffer {
  base::Revision revision{};
  std::string document;
  std::optional<HostsOffer> hosts;

  friend bool operator==(const ConfigurationOffer&,
                         const ConfigurationOffer&) = default;
};

// Asks the host that holds a claim what became of the booking.
struct BookingQuery {
  std::string claim_token;

  friend bool operator==(const BookingQuery&, const BookingQuery&) = default;
};

enum class BookingStatus : uint8_t {
  kUnknown,  // This host does not know the claim.
  kRunning,
  kNotRun,  // Surely, and it never will under this claim.
  kDone,
};

// The claimer's word; status and answer are of kDone.
struct BookingReply {
  BookingStatus standing = BookingStatus::kUnknown;
  int status = 0;
  std::string answer;

  friend bool operator==(const BookingReply&, const BookingReply&) = default;
};

// Final records that the table has not taken yet, to be kept and written by the
// receiver too.
struct BookingCopies {
  std::vector<booking::Settlement> settlements;

  friend bool operator==(const BookingCopies&, const BookingCopies&) = default;
};

// The claim tokens of the copies that are now held.
struct BookingCopiesAck {
  std::vector<std::string> claim_tokens;

  friend bool operator==(const BookingCopiesAck&,
                         const BookingCopiesAck&) = default;
};

using PeerMessage = std::variant<Digest,
                                 ConfigurationQuery,
                                 ConfigurationOffer,
                                 BookingQuery,
                                 BookingReply,
                                 BookingCopies,
                                 BookingCopiesAck>;

}  // namespace bilberry::node
