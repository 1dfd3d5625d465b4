#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibBooking/settlement.h"
#include "LibNode/event.h"
#include "LibNode/node_context.h"
#include "LibNode/table_writer.h"

namespace bilberry::node {

// Another entry host that may keep copies of records.
struct ReplicaPeer {
  base::SocketAddress address;
  bool is_in_other_zone = false;
};

enum class OutboxEvent {
  kRecorded,     // The table has the record.
  kSuperseded,   // The row does not hold this claim.
  kCopied,       // Another host has a copy of the record.
  kWriteFailed,  // The write will be retried.
};

struct OutboxNotification {
  std::string claim_token;
  OutboxEvent event = OutboxEvent::kRecorded;
  base::RowVersion version{};  // Row version, once recorded or superseded.
};

// Final records to be written to the table: this host's own, and copies kept
// for peers. A record is kept until the table has it.
class BookingOutbox {
 public:
  static constexpr size_t kMaxCopies = 4096;
  static constexpr size_t kMaxAnswerBytes = size_t{32} * 1024 * 1024;
  static constexpr size_t kMaxCopiesPerMessage = 64;
  static constexpr size_t kMaxBytesPerMessage = size_t{1024} * 1024;
  static constexpr std::chrono::milliseconds kRetryDelay{500};
  // An outcome is copied to a peer when the table takes longer than this to
  // record it, or at once when a write to the table fails.
  static constexpr std::chrono::milliseconds kCopyDelay{100};
  static constexpr std::chrono::milliseconds kPeerTimeout{500};
  static constexpr std::chrono::milliseconds kObjectTimeout{800};

  BookingOutbox(NodeContext& context, TableWriter& writer)
      : context_(context), writer_(writer) {}

  void SetPeers(std::vector<ReplicaPeer> peers);

  // Adds a record of this host; never refused for lack of room.
  void Add(booking::Settlement settlement, base::TimePoint now);
  // Keeps peers' records as far as there is room; returns the claim tokens of
  // those kept.
  BookingCopiesAck Keep(const BookingCopies& copies, base::TimePoint now);

  // Copies everything to a peer before a planned stop.
  void HandOver(base::TimePoint now);

  // True when the ticket belongs to this outbox.
  bool HandleWriteEnded(const WriteEnded& ended, base::TimePoint now);
  bool HandleAnswered(const PlatformAnswered& event, base::TimePoint now);
  bool HandleFailed(const PlatformFailed& event, base::TimePoint now);
  bool HandlePeerAnswered(const PeerAnswered& event, base::TimePoint now);
  bool HandlePeerFailed(const PeerFailed& event, base::TimePoint now);
  void HandleTimer(base::TimePoint now);
  std::optional<base::TimePoint> NextWakeup() const;

  std::vector<OutboxNotification> TakeNotifications();

  // Whether the answers of new bookings would exceed the memory bound.
  bool is_full() const { return answer_bytes_ >= kMaxAnswerBytes; }
  size_t size() const { return entries_.size(); }
  size_t own_count() const { return entries_.size() - copy_count_; }
  // Number of entries that this host has not copied to a peer.
  size_t uncopied_count() const;

 private:
  enum class Owner { kSelf, kPeer };

  struct Entry {
    booking::Settlement settlement;
    Owner owner = Owner::kSelf;
    bool is_object_stored = false;
    bool is_copied = false;
  };

  using Queue = std::set<std::pair<base::TimePoint, std::string>>;

  void Insert(booking::Settlement settlement, Owner owner, base::TimePoint now);
  void Write(const std::string& token, Entry& entry);
  void RetryLater(const std::string& token, base::TimePoint now);
  void SendCopies(base::TimePoint now);
  void Remove(const std::string& token);
  void Notify(const std::string& token,
              OutboxEvent event,
              base::RowVersion version = base::RowVersion::kAbsent);

  NodeContext& context_;
  TableWriter& writer_;
  std::vector<ReplicaPeer> peers_;
  size_t next_peer_ = 0;
  bool is_handing_over_ = false;
  std::map<std::string, Entry> entries_;  // Keyed by claim token.
  size_t copy_count_ = 0;
  size_t answer_bytes_ = 0;
  Queue writes_due_;
  Queue copies_due_;
  std::unordered_map<WriteTicket, std::string> tickets_;
  std::unordered_map<base::OperationId, std::string> object_operations_;
  std::unordered_map<base::OperationId, std::vector<std::string>>
      copy_operations_;
  std::vector<OutboxNotification> notifications_;
};

}  // namespace bilberry::node
