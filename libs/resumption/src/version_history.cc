#include "resumption/version_history.h"

namespace firmoor {
namespace {

// Well beyond the time for which any stream can be resumed.
constexpr Duration kRetention{300'000};

}  // namespace

void VersionHistory::Update(const std::set<std::string>& listed,
                            TimePoint now) {
  if (!observed_since_) observed_since_ = now;
  for (const auto& version : listed) {
    spans_[version].push_back({now, now, true});
    auto& spans = spans_[version];
    // Continues the span that is still open.
    if (spans.size() > 1 && spans[spans.size() - 2].is_listed) spans.pop_back();
  }
  for (auto& [version, spans] : spans_) {
    auto& span = spans.back();
    if (!span.is_listed) continue;
    span.last = now;
    span.is_listed = listed.contains(version);
  }
  for (auto& [version, spans] : spans_) {
    std::erase_if(spans, [now](const Span& span) {
      return !span.is_listed && now - span.last > kRetention;
    });
  }
  std::erase_if(spans_, [](const auto& entry) { return entry.second.empty(); });
}

bool VersionHistory::Covers(TimePoint since) const {
  return observed_since_ && *observed_since_ <= since;
}

std::set<std::string> VersionHistory::ListedSince(TimePoint since) const {
  std::set<std::string> versions;
  for (const auto& [version, spans] : spans_) {
    const auto& span = spans.back();
    if (span.is_listed || span.last >= since) versions.insert(version);
  }
  return versions;
}

std::set<std::string> VersionHistory::ListedThroughout(TimePoint since) const {
  std::set<std::string> versions;
  for (const auto& [version, spans] : spans_) {
    const auto& span = spans.back();
    if (span.is_listed && span.first <= since) versions.insert(version);
  }
  return versions;
}

std::set<std::string> VersionHistory::ListedAt(TimePoint at) const {
  std::set<std::string> versions;
  for (const auto& [version, spans] : spans_) {
    for (const auto& span : spans) {
      const bool was_listed =
          span.first <= at && (span.is_listed || at <= span.last);
      if (was_listed) versions.insert(version);
    }
  }
  return versions;
}

}  // namespace firmoor
