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

// Obtains and settles the claims that let a non-idempotent run send at most
// once. A claim is a conditional insert at the platform's table.
class BookingCoordinator {
 public:
  explicit BookingCoordinator(NodeContext& context)
      : context_(context), outbox_(context, writer_) {}

  // Asks for the right to run; ends in one decision, unless withdrawn.
  void Begin(base::RunId run,
             const booking::BookingKey& key,
             std::string digest,
             base::TimePoint now);

  // The run no longer waits for its decision and won't send. Returns what may
  // be said of it.
  pipeline::Executed Withdraw(base::RunId run, base::TimePoint now);

  // Ends a granted run.
  void Conclude(base::RunId run, BookingOutcome outcome, base::TimePoint now);

  // The other entry hosts, as they are known now.
  void SetPeers(std::vector<ReplicaPeer> peers) {
    outbox_.SetPeers(std::move(peers));
  }

  // Gives what is not recorded to a peer, before a planned stop.
  void HandOver(base::TimePoint now);

  // True when the operation was one of this coordinator's.
  bool HandleAnswered(const PlatformAnswered& event, base::TimePoint now);
  bool HandleFailed(const PlatformFailed& event, base::TimePoint now);
  bool HandlePeerRequest(const PeerRequest& event, base::TimePoint now);
  bool HandlePeerAnswered(const PeerAnswered& event, base::TimePoint now);
  bool HandlePeerFailed(const PeerFailed& event, base::TimePoint now);
  void HandleTimer(base::TimePoint now);
  // Sends the writes that have come together.
  void Commit(base::TimePoint now);
  std::optional<base::TimePoint> NextWakeup() const;

  std::vector<BookingDecision> TakeDecisions();

  // Records that the table has not yet taken.
  size_t unrecorded_count() const { return outbox_.own_count(); }
  // Bookings under way, and records that no other host keeps.
  size_t unsafe_count() const;

 private:
  using Booking = booking::Booking;

  std::string NewToken();
  void SubmitClaim(Booking& booking);
  void HandleWrites(const std::vector<WriteEnded>& writes, base::TimePoint now);
  void HandleClaimEnded(Booking& booking,
                        const WriteEnded& ended,
                        base::TimePoint now);
  void HandleNeverSentClaim(Booking& booking,
                            const WriteEnded& ended,
                            base::TimePoint now);
  void HandleClaimFailed(Booking& booking,
                         base::PlatformFailure failure,
                         base::TimePoint now);
  void HandleVerdict(Booking& booking,
                     booking::ClaimVerdict verdict,
                     base::TimePoint now);
  void HandleRival(Booking& booking, booking::BookingRecord competing_claim);
  void HandleRivalDone(Booking& booking,
                       booking::BookingRecord competing_claim);
  void Ask(Booking& booking);
  void HandleReply(Booking& booking,
                   const BookingReply& reply,
                   base::TimePoint now);
  void HandleVainQuestion(Booking& booking);
  void HandleFetched(Booking& booking, const base::ObjectFetched& fetched);
  void HandleNotices(base::TimePoint now);
  void HandleNotice(Booking& booking,
                    const OutboxNotification& notice,
                    base::TimePoint now);
  void FinishNeverSent(Booking& booking,
                       base::RowVersion version,
                       base::TimePoint now);
  void NeverSend(Booking& booking, base::TimePoint now);
  void Settle(Booking& booking, base::TimePoint now);
  void AnswerAll(Booking& booking, int status, const std::string& body);
  void RejectAll(Booking& booking, const BookingRejected& rejection);
  void RejectOne(base::RunId run, BookingRejected rejection);
  BookingReply ReplyTo(const BookingQuery& query);
  void NoteTable(bool is_answering, base::TimePoint now);
  // True while claims are refused without asking the table.
  bool IsTableGivenUp(base::TimePoint now);
  std::optional<BookingRejected> RefusalOfNew(base::TimePoint now);
  void JoinRepeat(Booking& booking, base::RunId run, base::TimePoint now);

  NodeContext& context_;
  TableWriter writer_{context_};
  BookingOutbox outbox_;
  booking::BookingLedger ledger_;
  std::unordered_map<WriteTicket, std::string> claim_tickets_;
  std::unordered_map<std::string, WriteTicket> tickets_of_claims_;
  std::unordered_map<base::OperationId, std::string> questions_;
  std::unordered_map<base::OperationId, std::string> fetches_;
  std::set<std::pair<base::TimePoint, std::string>> questions_due_;
  // Set while the table fails: when it is tried again.
  std::optional<base::TimePoint> table_retry_at_;
  std::vector<BookingDecision> decisions_;
};

}  // namespace bilberry::node
