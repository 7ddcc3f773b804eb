#ifndef FIRMOOR_SERVING_MODEL_REQUEST_H_
#define FIRMOOR_SERVING_MODEL_REQUEST_H_

#include <QJsonObject>
#include <cstddef>
#include <string>
#include <string_view>

#include "base/error.h"

namespace firmoor {

/// A validated body of `/v1/completions` or `/v1/chat/completions`.
struct ModelRequest {
  std::string service;  ///< The field `model`.
  std::string prompt;   ///< The prompt, or the joined messages.
  bool chat = false;
  bool stream = false;
  std::size_t max_tokens = 256;
  QJsonObject body;  ///< As received.

  /// Fails with `kMalformedRequest` and a message that names the field.
  static Result<ModelRequest> Parse(std::string_view path,
                                    std::string_view body);
};

/// The generated output that has been forwarded to the caller.
struct GeneratedOutput {
  std::string text;
  std::size_t tokens = 0;

  bool operator==(const GeneratedOutput&) const = default;
};

/// Request body for an upstream, which always streams. When `generated` has
/// tokens, the upstream is asked to continue after them.
std::string MakeUpstreamBody(const ModelRequest& request,
                             const GeneratedOutput& generated,
                             std::string_view request_id, int priority,
                             std::string_view kv_source);

/// Text of the token in a stream event of an upstream; an error when the event
/// has no choice.
Result<std::string> ParseTokenText(const std::string& event);

/// Stream event for the caller.
std::string MakeTokenEvent(const ModelRequest& request,
                           std::string_view request_id, std::string_view text);

/// Response body of a caller that does not stream.
std::string MakeCompletion(const ModelRequest& request,
                           std::string_view request_id,
                           const GeneratedOutput& generated);

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_MODEL_REQUEST_H_
