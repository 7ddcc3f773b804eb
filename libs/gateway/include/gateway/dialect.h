#ifndef FIRMOOR_GATEWAY_DIALECT_H_
#define FIRMOOR_GATEWAY_DIALECT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "http/message.h"
#include "routing/engine_report.h"
#include "routing/upstream_picker.h"

namespace firmoor {

/// A caller's request, decoded from the wire.
struct ForwardRequest {
  std::string id;  ///< Of this request of the caller; unique.
  std::string method;
  std::string target;   ///< Path and query, as sent.
  std::string host;     ///< Value of the Host header, as sent.
  HttpHeaders headers;  ///< Those that upstreams get unchanged.
  std::string body;
  std::string key;                         ///< Empty when there is none.
  std::optional<Duration> caller_timeout;  ///< How long the caller waits.
  std::vector<PromptChunk> prompt_chunks;
  std::optional<double> prompt_tokens;
  double max_output_tokens = 0;
  std::string last_event_id;  ///< Where a resumed stream goes on.

  /// Path of the target without its query.
  [[nodiscard]] std::string_view Path() const {
    const std::string_view whole = target;
    return whole.substr(0, whole.find('?'));
  }
  /// Prompt and output tokens; none when the request does not tell them.
  [[nodiscard]] std::optional<double> Tokens() const {
    if (!prompt_tokens) return std::nullopt;
    return *prompt_tokens + max_output_tokens;
  }

  bool operator==(const ForwardRequest&) const = default;
};

/// A run that stopped at one engine and may go on at another with its memory.
struct KvCacheCopy {
  Endpoint source;     ///< Where the run began.
  std::string handle;  ///< Name of the copy, usable once.

  bool operator==(const KvCacheCopy&) const = default;
};

/// What an engine answered when it was asked to move a run.
struct MoveResult {
  bool stopped = false;  ///< The run has stopped and can go on elsewhere.
  bool copied = false;   ///< Its memory has arrived at the target.
  std::string handle;    ///< Empty when it has not stopped.

  bool operator==(const MoveResult&) const = default;
};

/// What the daemon adds when it sends a request to an upstream.
struct UpstreamCall {
  std::string upstream;   ///< The only upstream that may run it.
  std::string workspace;  ///< Empty on public routes.
  Duration time_left{0};
  int priority = 0;  ///< Rank of the request; 0 is the most urgent.
  bool to_engine = false;
  std::string last_event_id;
  std::optional<KvCacheCopy> copy;  ///< The run goes on from this copy.

  bool operator==(const UpstreamCall&) const = default;
};

/// Head of an upstream's answer, decoded from the wire.
struct UpstreamResponseHead {
  int status = 0;
  HttpHeaders headers;            ///< Those that the caller gets.
  std::string request_id;         ///< Empty when the answer names none.
  bool declared_not_run = false;  ///< It did not run and never will.
  bool wrong_upstream = false;    ///< Another upstream has the address.
  bool leaving = false;  ///< The upstream is about to end: no new work.
  /// The upstream refused and wants nothing from this daemon for that long.
  std::optional<Duration> retry_after;
  std::string
      malformed_header;  ///< A header whose value means nothing, for logs.

  [[nodiscard]] bool IsSuccess() const { return status / 100 == 2; }
  [[nodiscard]] bool IsFailure() const { return status >= 500; }

  bool operator==(const UpstreamResponseHead&) const = default;
};

/// How requests and answers are written on the wire: header names and value
/// formats of a platform. Decides nothing and holds no state.
class Dialect {
 public:
  virtual ~Dialect() = default;

  /// Fails with `kMalformedRequest`.
  [[nodiscard]] virtual Outcome<ForwardRequest> DecodeRequest(
      HttpRequest request) const = 0;
  [[nodiscard]] virtual HttpRequest EncodeRequest(
      const ForwardRequest& request, const UpstreamCall& call) const = 0;
  [[nodiscard]] virtual UpstreamResponseHead DecodeResponseHead(
      int status, const HttpHeaders& headers) const = 0;
  /// Asks the engine that runs a request to stop it and to copy its memory.
  [[nodiscard]] virtual HttpRequest EncodeMoveRequest(
      const std::string& request_id, const Endpoint& target) const = 0;
  [[nodiscard]] virtual MoveResult DecodeMoveResponse(
      const HttpAnswer& answer) const = 0;
  /// Asks an engine for its report.
  [[nodiscard]] virtual HttpRequest EncodeReportRequest() const = 0;
  /// An empty report when the answer is none.
  [[nodiscard]] virtual EngineReport DecodeReport(
      const HttpAnswer& answer) const = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_DIALECT_H_
