#pragma once

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/platform.h"
#include "LibBase/time.h"
#include "LibBooking/booking_ledger.h"
#include "LibBooking/booking_record.h"
#include "LibBooking/claim_verdict.h"
#include "LibNode/booking_decision.h"
#include "LibNode/booking_outbox.h"
#include "LibNode/event.h"
#include "LibNode/node_context.h"
#include "LibNode/table_writer.h"

namespace bilberry::node {

// Obtains and settles the claims that let an at-most-once run send its request.
// A claim is a conditional insert into the platform's table.
class BookingCoordinator {
 public:
  explicit BookingCoordinator(NodeContext& context)
      : context_(context), outbox_(context, writer_) {}

  // Requests a claim for the run. Ends in one decision, unless withdrawn.
  void Begin(base::RunId run,
             const booking::BookingKey& key,
             std::string digest,
             base::TimePoint now);

  // Withdraws a run that waits for its decision; it will not send. Returns what
  // is known of the booking's execution.
  pipeline::Executed Withdraw(base::RunId run, base::TimePoint now);

  // Reports the outcome of a run that was granted its claim.
  void Conclude(base::RunId run, BookingOutcome outcome, base::TimePoint now);

  // Sets the entry hosts that may keep copies of records.
  void SetPeers(std::vector<ReplicaPeer> peers) {
    outbox_.SetPeers(std::move(peers));
  }

  // Copies all unrecorded outcomes to a peer before a planned stop.
  void HandOver(base::TimePoint now);

  // True when the operation belongs to this coordinator.
  bool HandleAnswered(const PlatformAnswered& event, base::TimePoint now);
  bool HandleFailed(const PlatformFailed& event, base::TimePoint now);
  bool HandlePeerRequest(const PeerRequest& event, base::TimePoint now);
  bool HandlePeerAnswered(const PeerAnswered& event, base::TimePoint now);
  bool HandlePeerFailed(const PeerFailed& event, base::TimePoint now);
  void HandleTimer(base::TimePoint now);
  // Sends the collected writes.
  void Commit(base::TimePoint now);
  std::optional<base::TimePoint> NextWakeup() const;

  std::vector<BookingDecision> TakeDecisions();

  // Number of own records that the table has not taken yet.
  size_t unrecorded_count() const { return outbox_.own_count(); }
  // Number of claims in flight and of records that this host has not copied to
  // a peer; a stop waits until it is 0.
  size_t unsafe_count() const;

 private:
  using Booking = booking::Booking;

  std::string NewToken();
  void SubmitClaim(Booking& booking);
  void HandleWrites(const std::vector<WriteEnded>& writes, base::TimePoint now);
  void HandleClaimEnded(Booking& booking,
                        const WriteEnded& ended,
                        base::TimePoint now);
  void HandleAbandonedClaim(Booking& booking,
                            const WriteEnded& ended,
                            base::TimePoint now);
  void HandleClaimFailed(Booking& booking,
                         base::PlatformFailure failure,
                         base::TimePoint now);
  void HandleVerdict(Booking& booking,
                     booking::ClaimVerdict verdict,
                     base::TimePoint now);
  void HandleCompetingClaim(Booking& booking,
                            booking::BookingRecord competing_claim);
  void HandleCompetingClaimDone(Booking& booking,
                                booking::BookingRecord competing_claim);
  void QueryClaimer(Booking& booking);
  void HandleReply(Booking& booking,
                   const BookingReply& reply,
                   base::TimePoint now);
  void HandleFailedQuery(Booking& booking);
  void HandleFetched(Booking& booking, const base::ObjectFetched& fetched);
  void HandleOutboxNotifications(base::TimePoint now);
  void HandleOutboxNotification(Booking& booking,
                                const OutboxNotification& notification,
                                base::TimePoint now);
  void FinishAbandonedClaim(Booking& booking,
                            base::RowVersion version,
                            base::TimePoint now);
  void AbandonClaim(Booking& booking, base::TimePoint now);
  void Settle(Booking& booking, base::TimePoint now);
  void AnswerAll(Booking& booking, int status, const std::string& body);
  void RejectAll(Booking& booking, const BookingRejected& rejection);
  void RejectOne(base::RunId run, BookingRejected rejection);
  BookingReply ReplyTo(const BookingQuery& query);
  void NoteTableResult(bool is_answering, base::TimePoint now);
  // Whether claims are refused without a request to the table: a circuit
  // breaker that lets one probe through per kTableProbeInterval.
  bool IsTableCircuitOpen(base::TimePoint now);
  std::optional<BookingRejected> RejectionOfNew(base::TimePoint now);
  void JoinRepeat(Booking& booking, base::RunId run, base::TimePoint now);

  NodeContext& context_;
  TableWriter writer_{context_};
  BookingOutbox outbox_;
  booking::BookingLedger ledger_;
  std::unordered_map<WriteTicket, std::string> claim_tickets_;
  std::unordered_map<std::string, WriteTicket> tickets_by_claim_;
  std::unordered_map<base::OperationId, std::string> queries_;
  std::unordered_map<base::OperationId, std::string> fetches_;
  std::set<std::pair<base::TimePoint, std::string>> queries_due_;
  // Set while the table fails: time of the next probe.
  std::optional<base::TimePoint> table_retry_at_;
  std::vector<BookingDecision> decisions_;
};

}  // namespace bilberry::node
