#ifndef FIRMOOR_QUARANTINE_SUSPECT_H_
#define FIRMOOR_QUARANTINE_SUSPECT_H_

#include <array>
#include <compare>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace firmoor {

/// Property of a request that may be what crashes an upstream.
enum class SuspectKind {
  kPromptChunk,  ///< A chunk of the prompt that other requests share.
  kRequest,      ///< The whole request: caller, path and body.
};

inline constexpr std::array kSuspectKinds = {SuspectKind::kPromptChunk,
                                             SuspectKind::kRequest};

/// "prompt-chunk" or "request", for logs and messages.
std::string_view NameOf(SuspectKind kind);

/// One property of a request that may crash upstreams. Holds only a hash, so
/// that no prompt text or key leaves the daemon.
struct Suspect {
  SuspectKind kind = SuspectKind::kPromptChunk;
  std::string hash;  ///< 128 bits, hexadecimal; covers the service as well.

  auto operator<=>(const Suspect&) const = default;
};

/// What of a request may crash upstreams.
struct RequestContent {
  std::string_view service = {};
  std::string_view workspace = {};  ///< Empty on public routes.
  std::string_view method = {};
  std::string_view target = {};
  std::string_view body = {};
  /// 128-bit hashes of its prompt chunks but the last.
  std::span<const std::string> chunk_digests = {};
};

/// The suspects in a request, sorted and without duplicates.
std::vector<Suspect> SuspectsOf(const RequestContent& content);

/// The hashes, separated by commas, for logs.
std::string HashList(const std::vector<Suspect>& suspects);

}  // namespace firmoor

#endif  // FIRMOOR_QUARANTINE_SUSPECT_H_
