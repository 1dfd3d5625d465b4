#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace bilberry::base {

// Log events by number; docs/EVENTS.md explains each event and what an operator
// should do. Numbers are never reused.
enum class LogEventId : uint16_t {
  kHostStarted = 1001,
  kHostReady = 1002,
  kHostNotReady = 1003,
  kStopOrdered = 1004,
  kHostStopped = 1005,
  kSettingsRead = 1006,
  kLinesLeftOut = 1007,
  kConfigurationAdopted = 1101,
  kLowerRevisionRefused = 1102,
  kConfigurationMalformed = 1103,
  kEndpointListed = 1201,
  kEndpointLeaving = 1202,
  kHostsLearntFromPeer = 1203,
  kEndpointQuiet = 1204,
  kEndpointOpen = 1205,
  kEndpointLimit = 1206,
  kLimitKept = 1207,
  kLimitHandedOver = 1208,
  kZoneEvacuated = 1209,
  kZoneTakenBack = 1210,
  kOwnRowReplaced = 1211,
  kEndpointCold = 1215,
  kEndpointWarm = 1216,
  kEndpointCrashed = 1217,
  kPlatformUnreachable = 1301,
  kPlatformReachable = 1302,
  kPlatformRowUnreadable = 1303,
  kStoreRestored = 1304,
  kPeerMessagesRefused = 1310,
  kDispatcherLost = 1311,
  kDispatcherBack = 1312,
  kRelayLost = 1313,
  kEndpointsCutOff = 1314,
  kEndpointsInReach = 1315,
  kAttemptFailed = 1401,
  kAnswerMismatched = 1402,
  kEndpointEjected = 1403,
  kEndpointRestored = 1404,
  kMalformedAnswer = 1405,
  kRequestQuarantined = 1430,
  kConnectionsCondemned = 1431,
  kAttemptGivenUp = 1432,
  kPartQuarantined = 1433,
  kBookingUnresolved = 1501,
  kBookingNotRecorded = 1502,
  kBookingOvertaken = 1503,
  kBookingsHandedOver = 1504,
  kBookingsLeftBehind = 1505,
  kRequestRefused = 1601,
  kRequestEnded = 1602,
  kStageEnded = 1603,
  kAttemptSent = 1604,
  kStageCallEnded = 1605,
  kJobRefused = 1606,
  kPermitEnded = 1607,
  kPlacementEnded = 1608,
  kStreamLookedUp = 1609,
  kRequestCarried = 1610,
};

enum class LogSeverity { kInfo, kWarning, kError };

// Catalogue entry of an event: its number, severity and name.
struct LogEventKind {
  LogEventId id;
  LogSeverity severity;
  std::string_view name;
};

// Returns the whole catalogue, sorted by number.
std::span<const LogEventKind> LogEventKinds();

// Returns the catalogue entry of an event.
const LogEventKind& KindOf(LogEventId id);

// One occurrence of an event, with its details.
struct LogEvent {
  LogEventId id;
  std::string detail;
};

}  // namespace bilberry::base
