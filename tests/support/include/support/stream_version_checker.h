#ifndef FIRMOOR_SUPPORT_STREAM_VERSION_CHECKER_H_
#define FIRMOOR_SUPPORT_STREAM_VERSION_CHECKER_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace firmoor {

/// Checks that streams hold events of one software version of a service, and
/// that enough of those that callers resume go on.
class StreamVersionChecker {
 public:
  struct Rule {
    std::size_t allowed_mixed = 2;
    double min_share = 0.5;  ///< Of the share of new streams that begin.
    std::size_t min_resumed = 12;
  };

  StreamVersionChecker() = default;
  explicit StreamVersionChecker(Rule rule) : rule_(rule) {}

  /// A caller asked for a new stream; `begins` if it got a first event.
  void OnNew(bool begins) {
    ++asked_;
    if (begins) ++begun_;
  }
  /// The caller got events of `stream` from an upstream, in any of its tries.
  void OnEvents(const std::string& stream, const std::string& service,
                const std::string& version) {
    versions_[{stream, service}].insert(version);
  }
  /// A caller resumes a stream at a daemon in touch while two upstreams of the
  /// stream's version serve.
  void OnResumed(const std::string& stream) { resumed_.insert(stream); }
  /// The resumed stream went on, at whichever try.
  void OnWentOn(const std::string& stream) { went_on_.insert(stream); }

  [[nodiscard]] std::size_t MixedStreams() const {
    return static_cast<std::size_t>(
        std::count_if(versions_.begin(), versions_.end(),
                      [](const auto& item) { return item.second.size() > 1; }));
  }
  [[nodiscard]] bool BreaksOrder() const {
    return MixedStreams() > rule_.allowed_mixed;
  }
  [[nodiscard]] std::size_t resumed() const { return resumed_.size(); }
  /// Share of the resumed streams that go on, against the share of new ones
  /// that begin; empty if there are too few of them.
  [[nodiscard]] std::optional<double> RelativeShare() const {
    if (resumed_.size() < rule_.min_resumed || begun_ == 0) return std::nullopt;
    const auto went_on = static_cast<double>(
        std::count_if(resumed_.begin(), resumed_.end(),
                      [&](const auto& id) { return went_on_.contains(id); }));
    const double resumed_share = went_on / static_cast<double>(resumed_.size());
    const double new_share =
        static_cast<double>(begun_) / static_cast<double>(asked_);
    return resumed_share / new_share;
  }
  [[nodiscard]] bool LosesStreams() const {
    const auto share = RelativeShare();
    return share && *share < rule_.min_share;
  }

 private:
  Rule rule_;
  /// By stream and service.
  std::map<std::pair<std::string, std::string>, std::set<std::string>>
      versions_;
  std::set<std::string> resumed_;
  std::set<std::string> went_on_;
  std::size_t asked_ = 0;
  std::size_t begun_ = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_SUPPORT_STREAM_VERSION_CHECKER_H_
