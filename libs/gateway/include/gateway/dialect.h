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
  std::string id;  ///< Unique id of the request.
  std::string method;
  std::string target;   ///< Path and query, as sent.
  std::string host;     ///< Value of the Host header, as sent.
  HttpHeaders headers;  ///< Headers that are forwarded unchanged.
  std::string body;
  std::string key;                         ///< API key; empty if absent.
  std::optional<Duration> caller_timeout;  ///< How long the caller waits.
  std::vector<PromptChunk> prompt_chunks;
  /// 128-bit hashes of the prompt chunks but the last, which belongs to this
  /// request or its session alone.
  std::vector<std::string> shared_chunk_digests;
  std::optional<double> prompt_tokens;
  double max_output_tokens = 0;
  std::string last_event_id;  ///< Last event received, for resumed streams.
  /// Id of the request that brought the stream's first event; empty if the
  /// caller names none.
  std::string resumed_id;

  /// Target without its query.
  [[nodiscard]] std::string_view Path() const {
    const std::string_view whole = target;
    return whole.substr(0, whole.find('?'));
  }
  /// Prompt and output tokens; `nullopt` when the request does not state them.
  [[nodiscard]] std::optional<double> Tokens() const {
    if (!prompt_tokens) return std::nullopt;
    return *prompt_tokens + max_output_tokens;
  }
  /// Whether the caller already has events of the stream.
  [[nodiscard]] bool IsResumed() const { return !last_event_id.empty(); }
  /// Id by which the caller names the stream when it resumes it.
  [[nodiscard]] const std::string& StreamId() const {
    return IsResumed() && !resumed_id.empty() ? resumed_id : id;
  }

  bool operator==(const ForwardRequest&) const = default;
};

/// Copy of a request's KV cache, with which the request can continue at another
/// engine.
struct KvCacheCopy {
  Endpoint source;     ///< Engine on which the request ran before.
  std::string handle;  ///< Identifies the copy; valid for one use.

  bool operator==(const KvCacheCopy&) const = default;
};

/// An engine's response to the order to move a running request.
struct MoveResult {
  bool stopped = false;    ///< It has stopped and can continue elsewhere.
  bool copied = false;     ///< Its KV cache was copied to the target.
  std::string handle;      ///< Empty when the request was not stopped.
  bool has_ended = false;  ///< It does not run there, and was not stopped.

  bool operator==(const MoveResult&) const = default;
};

/// Fields that the daemon adds to a request for one upstream.
struct UpstreamCall {
  std::string upstream;   ///< Id of the only upstream that may run it.
  std::string workspace;  ///< Empty on public routes.
  Duration time_left{0};
  int priority = 0;  ///< 0 is the highest.
  bool to_engine = false;
  std::string last_event_id;
  std::optional<KvCacheCopy> copy;  ///< Where to continue from, if moved.

  bool operator==(const UpstreamCall&) const = default;
};

/// Head of an upstream's response, decoded from the wire.
struct UpstreamResponseHead {
  int status = 0;
  HttpHeaders headers;     ///< Headers that are forwarded to the caller.
  std::string request_id;  ///< Empty when the response names none.
  /// A success that does not say which request it answers, or that lacks its
  /// upstream's signature: bytes of no request.
  bool is_unattributed = false;
  bool declared_not_run = false;  ///< The request did not and will not run.
  bool wrong_upstream = false;    ///< Another upstream now has the address.
  bool leaving = false;  ///< The upstream shuts down and takes no new requests.
  /// The upstream accepts no requests from this daemon for this long.
  std::optional<Duration> retry_after;
  /// Requests per second that the upstream accepts from all daemons together;
  /// empty if the response announces no limit.
  std::optional<double> rate_limit;
  /// The announced limit cannot be read, so the previous one still applies.
  bool rate_limit_malformed = false;
  /// The upstream crashes when it rejects more requests in a second for want of
  /// room; empty if the response announces nothing.
  std::optional<double> rejection_tolerance;
  /// The announced tolerance cannot be read, so the previous one still applies.
  bool rejection_tolerance_malformed = false;
  /// Header with an invalid value, for the log; empty if there is none.
  std::string malformed_header;

  [[nodiscard]] bool IsSuccess() const { return status / 100 == 2; }
  [[nodiscard]] bool IsFailure() const { return status >= 500; }

  bool operator==(const UpstreamResponseHead&) const = default;
};

/// Wire format of a platform: header names and value formats of requests and
/// responses. Stateless.
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
  /// Request to an engine to stop a running request and copy its KV cache to
  /// `target`.
  [[nodiscard]] virtual HttpRequest EncodeMoveRequest(
      const std::string& request_id, const Endpoint& target) const = 0;
  [[nodiscard]] virtual MoveResult DecodeMoveResponse(
      const HttpResponse& answer) const = 0;
  /// Request to an engine for its report.
  [[nodiscard]] virtual HttpRequest EncodeReportRequest() const = 0;
  /// Returns an empty report when the response contains none.
  [[nodiscard]] virtual EngineReport DecodeReport(
      const HttpResponse& answer) const = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_DIALECT_H_
