#include "quarantine/suspect.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace firmoor {

std::string_view NameOf(SuspectKind kind) {
  constexpr std::string_view kNames[] = {"prompt-chunk", "request"};
  return kNames[static_cast<int>(kind)];
}

std::vector<Suspect> SuspectsOf(const RequestContent& content) {
  std::vector<Suspect> suspects;
  for (const auto& digest : content.chunk_digests) {
    suspects.push_back(
        {SuspectKind::kPromptChunk,
         Hash128Hex(fmt::format("{}\n{}", content.service, digest))});
  }
  suspects.push_back(
      {SuspectKind::kRequest,
       Hash128Hex(fmt::format("{}\n{}\n{}\n{}\n{}", content.service,
                              content.workspace, content.method, content.target,
                              Hash128Hex(content.body)))});
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
