#include "quarantine/suspect.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace firmoor {

std::string_view NameOf(SuspectKind kind) {
  constexpr std::string_view kNames[] = {"prompt-chunk"};
  return kNames[static_cast<int>(kind)];
}

std::vector<Suspect> SuspectsOf(std::string_view service,
                                const std::vector<std::string>& chunk_digests) {
  std::vector<Suspect> suspects;
  for (const auto& digest : chunk_digests) {
    std::string content(service);
    content += '\n';
    content += digest;
    suspects.push_back({SuspectKind::kPromptChunk, Hash128Hex(content)});
  }
  std::sort(suspects.begin(), suspects.end());
  suspects.erase(std::unique(suspects.begin(), suspects.end()), suspects.end());
  return suspects;
}

std::string HashList(const std::vector<Suspect>& suspects) {
  std::string list;
  for (const auto& suspect : suspects) {
    if (!list.empty()) list += ',';
    list += suspect.hash;
  }
  return list;
}

}  // namespace firmoor
