#ifndef FIRMOOR_BASE_RESULT_CODE_H_
#define FIRMOOR_BASE_RESULT_CODE_H_

#include <span>
#include <string_view>

namespace firmoor {

/// Numbered result of an operation. The numbers are part of the public
/// interface; docs/ERRORS.md lists them and a test compares both.
enum class ResultCode {
  kOk = 0,
  kMalformedRequest = 1001,
  kUnauthorized = 1002,
  kUnknownService = 1003,
  kUnknownRequest = 1004,
  kTooLarge = 1005,
  kKeyReused = 1006,
  kMethodNotAllowed = 1007,
  kRequestTimeout = 1008,
  kWorkspaceLimit = 2001,
  kOverloaded = 2002,
  kDeadlineUnreachable = 2003,
  kDraining = 2004,
  kNotReady = 2005,
  kQuarantined = 2006,
  kStreamVersionUnknown = 2007,
  kStreamVersionGone = 2008,
  kNoUpstream = 3001,
  kUpstreamRefused = 3002,
  kUpstreamOutcomeUnknown = 3003,
  kUpstreamTimeout = 3004,
  kUpstreamIncomplete = 3005,
  kRetryBudgetExhausted = 3006,
  kDeadlineExceeded = 3007,
  kUpstreamRateLimit = 3008,
  kClaimStoreUnavailable = 4001,
  kKeyInProgress = 4002,
  kOutcomeUnknown = 4003,
  kResponseNotKept = 4004,
  kStaleVersion = 5001,
  kInvalidPatch = 5002,
  kStoreUnavailable = 5003,
  kInvalidSettings = 5004,
  kUnreadableFile = 5005,
  kPatchOutcomeUnknown = 5006,
  kPeerUnreachable = 6001,
  kBadMessage = 6002,
  kInternal = 6003,
};

/// One row of the result-code table.
struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;     ///< Stable machine-readable name.
  int http_status;           ///< Status of the HTTP response that reports it.
  int exit_code;             ///< Exit code of firmoorctl.
  std::string_view meaning;  ///< Human-readable description.

  bool operator==(const ResultCodeInfo&) const = default;
};

/// All rows, ordered by number.
std::span<const ResultCodeInfo> ResultCodeTable();

/// The row of `code`. Asserts that the code is in the table.
const ResultCodeInfo& InfoOf(ResultCode code);

}  // namespace firmoor

#endif  // FIRMOOR_BASE_RESULT_CODE_H_
