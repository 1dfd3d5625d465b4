#include "LibBase/log_event.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace bilberry::base {

namespace {

using enum LogEventId;
using enum LogSeverity;

constexpr auto kKinds = std::to_array<LogEventKind>({
    {kHostStarted, kInfo, "host-started"},
    {kHostReady, kInfo, "host-ready"},
    {kHostNotReady, kWarning, "host-not-ready"},
    {kStopOrdered, kInfo, "stop-ordered"},
    {kHostStopped, kInfo, "host-stopped"},
    {kSettingsRead, kInfo, "settings-read"},
    {kLinesLeftOut, kWarning, "lines-left-out"},
    {kConfigurationAdopted, kInfo, "configuration-adopted"},
    {kLowerRevisionRefused, kError, "lower-revision-refused"},
    {kConfigurationMalformed, kError, "configuration-malformed"},
    {kEndpointListed, kInfo, "endpoint-listed"},
    {kEndpointLeaving, kInfo, "endpoint-leaving"},
    {kHostsLearntFromPeer, kInfo, "hosts-learnt-from-peer"},
    {kEndpointQuiet, kInfo, "endpoint-quiet"},
    {kEndpointOpen, kInfo, "endpoint-open"},
    {kEndpointLimit, kInfo, "endpoint-limit"},
    {kLimitKept, kInfo, "limit-kept"},
    {kLimitHandedOver, kInfo, "limit-handed-over"},
    {kZoneEvacuated, kInfo, "zone-evacuated"},
    {kZoneTakenBack, kInfo, "zone-taken-back"},
    {kOwnRowReplaced, kWarning, "own-row-replaced"},
    {kEndpointCold, kInfo, "endpoint-cold"},
    {kEndpointWarm, kInfo, "endpoint-warm"},
    {kEndpointCrashed, kWarning, "endpoint-crashed"},
    {kPlatformUnreachable, kWarning, "platform-unreachable"},
    {kPlatformReachable, kInfo, "platform-reachable"},
    {kPlatformRowUnreadable, kWarning, "platform-row-unreadable"},
    {kStoreRestored, kWarning, "store-restored"},
    {kPeerMessagesRefused, kWarning, "peer-messages-refused"},
    {kDispatcherLost, kWarning, "dispatcher-lost"},
    {kDispatcherBack, kInfo, "dispatcher-back"},
    {kRelayLost, kInfo, "relay-lost"},
    {kEndpointsCutOff, kWarning, "endpoints-cut-off"},
    {kEndpointsInReach, kInfo, "endpoints-in-reach"},
    {kAttemptFailed, kWarning, "attempt-failed"},
    {kAnswerMismatched, kError, "answer-mismatched"},
    {kEndpointEjected, kWarning, "endpoint-ejected"},
    {kEndpointRestored, kInfo, "endpoint-restored"},
    {kMalformedAnswer, kWarning, "malformed-answer"},
    {kRequestQuarantined, kError, "request-quarantined"},
    {kPartQuarantined, kError, "part-quarantined"},
    {kConnectionsCondemned, kWarning, "connections-condemned"},
    {kAttemptGivenUp, kWarning, "attempt-given-up"},
    {kBookingUnresolved, kError, "booking-unresolved"},
    {kBookingNotRecorded, kWarning, "booking-not-recorded"},
    {kBookingOvertaken, kError, "booking-overtaken"},
    {kBookingsHandedOver, kInfo, "bookings-handed-over"},
    {kBookingsLeftBehind, kError, "bookings-left-behind"},
    {kRequestRefused, kInfo, "request-refused"},
    {kRequestEnded, kInfo, "request-ended"},
    {kStageEnded, kInfo, "stage-ended"},
    {kAttemptSent, kInfo, "attempt-sent"},
    {kStageCallEnded, kInfo, "stage-call-ended"},
    {kJobRefused, kInfo, "job-refused"},
    {kPermitEnded, kInfo, "permit-ended"},
    {kPlacementEnded, kInfo, "placement-ended"},
    {kStreamLookedUp, kInfo, "stream-looked-up"},
    {kRequestCarried, kInfo, "request-carried"},
});

}  // namespace

std::span<const LogEventKind> LogEventKinds() {
  return kKinds;
}

const LogEventKind& KindOf(LogEventId id) {
  const auto* it = std::ranges::find(kKinds, id, &LogEventKind::id);
  assert(it != kKinds.end());
  return *it;
}

}  // namespace bilberry::base
