#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Common {

// Numbered results. The numbers are part of the interface to callers and
// operators, so a number must never be reused for another meaning.
enum class ResultCode : std::uint16_t {
  Ok = 0,

  // 1xx: the call was rejected and certainly did not run.
  NoRoute = 100,
  NoLiveServer = 101,
  QueueFull = 102,
  DeadlineTooClose = 103,
  Draining = 104,
  NoConfiguration = 105,
  ServiceUnknown = 106,
  ServerShed = 107,
  PeerUnreachable = 108,
  BodyTooLarge = 109,
  MalformedRequest = 110,
  RetryBudgetSpent = 111,
  KeyMissing = 112,
  KeyExpired = 113,
  KeyReusedWithOtherBody = 114,
  ClaimUnavailable = 115,
  ClaimsNotYetKnown = 116,
  WouldWait = 117,
  TenantKeyMissing = 118,
  TenantKeyUnknown = 119,
  TenantQuotaSpent = 120,

  // 2xx: the outcome of the call is unknown, or another call holds its key.
  OutcomeUnknown = 200,
  ConnectionLost = 201,
  DeadlinePassed = 202,
  Cancelled = 203,
  DuplicateOfClaimed = 204,

  // 3xx: settings and command line.
  SettingsUnreadable = 300,
  SettingsSyntax = 301,
  SettingsUnknownSection = 302,
  SettingsUnknownKey = 303,
  SettingsWrongType = 304,
  SettingsOutOfRange = 305,
  SettingsMissing = 306,
  SettingsDuplicate = 307,
  UsageError = 308,

  // 4xx: configuration objects and sets.
  ObjectSyntax = 400,
  ObjectUnknownSection = 401,
  ObjectUnknownKey = 402,
  ObjectDuplicate = 403,
  ObjectMissingKey = 404,
  ObjectBadValue = 405,
  ObjectDanglingName = 406,
  ObjectCycle = 407,
  ObjectConflict = 408,
  SetEmpty = 409,

  // 5xx: publishing and the history of accepted sets.
  PublishRaceLost = 500,
  PublishSetInvalid = 501,
  RuleLevelUnknown = 502,
  RecordMalformed = 503,
  RecordDuplicate = 504,
  CheckpointDamaged = 505,
  HistoryGap = 506,
  VersionNotNewer = 507,
  VersionUnknown = 508,
  ConvergenceTimeout = 509,

  // 6xx: the platform's log and communication between nodes.
  LogUnavailable = 600,
  LogAnswerLost = 601,
  LogOffsetExpired = 602,
  LogMalformedAnswer = 603,
  NodeUnreachable = 604,
  HeartbeatMalformed = 605,
  HeartbeatStale = 606,
  HeartbeatForeign = 607,

  // 7xx: internal errors.
  MailboxFull = 700,
  ServiceNotFound = 701,
  SystemCallFailed = 702,
  FrameMalformed = 703,
  FrameTooLarge = 704,
  LibraryFailed = 705,

  // 8xx: scenario scripts.
  ScenarioFailed = 800,
  ExpectationFailed = 801,
};

struct ResultCodeInfo {
  ResultCode Code;
  std::string_view Name;
  std::string_view Meaning;
};

// Every code with its name and meaning, ordered by number.
const std::vector<ResultCodeInfo> &resultCodeTable();

std::string_view resultCodeName(ResultCode Code);

constexpr int resultCodeNumber(ResultCode Code) {
  return static_cast<int>(Code);
}

// Whether a call that ended with this code certainly did not run.
constexpr bool isNotRun(ResultCode Code) {
  return resultCodeNumber(Code) >= 100 && resultCodeNumber(Code) < 200;
}

// Whether it is unknown if a call that ended with this code ran.
constexpr bool isUnknownOutcome(ResultCode Code) {
  return resultCodeNumber(Code) >= 200 && resultCodeNumber(Code) < 300;
}

} // namespace Common
