#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace bilberry::base {

// Numbers of the log events; docs/EVENTS.md tells what each means and what to
// do about it. A number is never given a second meaning.
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
  kEndpointCold = 1215,
  kEndpointWarm = 1216,
  kPlatformUnreachable = 1301,
  kPlatformReachable = 1302,
  kPlatformRowUnreadable = 1303,
  kPeerMessagesRefused = 1310,
  kDispatcherLost = 1311,
  kDispatcherBack = 1312,
  kRelayLost = 1313,
  kAttemptFailed = 1401,
  kAnswerMismatched = 1402,
  kEndpointEjected = 1403,
  kEndpointRestored = 1404,
  kRequestQuarantined = 1430,
  kConnectionsCondemned = 1431,
  kAttemptGivenUp = 1432,
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
};

enum class LogSeverity { kInfo, kWarning, kError };

// A row of the catalogue.
struct LogEventKind {
  LogEventId id;
  LogSeverity severity;
  std::string_view name;
};

// All kinds, in the order of their numbers.
std::span<const LogEventKind> LogEventKinds();

// The row of one kind.
const LogEventKind& KindOf(LogEventId id);

// One event: its number and the facts of this occurrence.
struct LogEvent {
  LogEventId id;
  std::string detail;
};

}  // namespace bilberry::base
