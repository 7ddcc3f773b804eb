#ifndef FIRMOOR_QUARANTINE_SUSPECT_H_
#define FIRMOOR_QUARANTINE_SUSPECT_H_

#include <array>
#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace firmoor {

/// Property of a request that may be what crashes an upstream.
enum class SuspectKind {
  kPromptChunk,  ///< A chunk of the prompt that other requests share.
};

inline constexpr std::array kSuspectKinds = {SuspectKind::kPromptChunk};

/// "prompt-chunk", for logs and messages.
std::string_view NameOf(SuspectKind kind);

/// One property of a request that may crash upstreams. Holds only a hash, so
/// that no prompt text or key leaves the daemon.
struct Suspect {
  SuspectKind kind = SuspectKind::kPromptChunk;
  std::string hash;  ///< 128 bits, hexadecimal; covers the service as well.

  auto operator<=>(const Suspect&) const = default;
};

/// The suspects in a request to `service`, without duplicates.
/// `chunk_digests`: 128-bit hashes of its prompt chunks but the last.
std::vector<Suspect> SuspectsOf(std::string_view service,
                                const std::vector<std::string>& chunk_digests);

/// The hashes, separated by commas, for logs.
std::string HashList(const std::vector<Suspect>& suspects);

}  // namespace firmoor

#endif  // FIRMOOR_QUARANTINE_SUSPECT_H_
