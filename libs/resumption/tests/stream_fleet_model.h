#ifndef FIRMOOR_RESUMPTION_TESTS_STREAM_FLEET_MODEL_H_
#define FIRMOOR_RESUMPTION_TESTS_STREAM_FLEET_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "resumption/stream_version_book.h"
#include "support/stream_version_checker.h"

namespace firmoor {

/// A fleet of daemons and upstreams in virtual time, whose callers resume
/// broken streams at other daemons while a new software version is released.
class StreamFleetModel {
 public:
  struct Options {
    std::size_t daemons = 8;
    std::size_t upstreams = 12;
    std::uint64_t seed = 1;
    double streams_per_daemon_per_s = 1;
    Duration daemon_age{3'600'000};  ///< Time since all daemons started.
    Duration min_directory_lag{200};
    Duration max_directory_lag{2'000};
    /// Without, any daemon resumes any stream at any version.
    bool uses_records = true;
  };
  /// What the daemons sent each other.
  struct Traffic {
    std::size_t messages = 0;
    std::size_t bytes = 0;
    std::size_t most_records = 0;  ///< Held by one daemon.

    bool operator==(const Traffic&) const = default;
  };

  explicit StreamFleetModel(Options options);

  void Run(Duration time);

  /// Replaces a part of the upstreams, one each `gap`, by ones of `version`.
  void Release(const std::string& version, double share, Duration gap);
  /// A part of the upstreams crashes now; others start in their places later.
  void CrashUpstreams(double share);
  /// A part of the daemons is lost at once and does not come back.
  void KillDaemons(double share);
  /// Restarts all daemons, a twentieth at a time each `gap`.
  void RestartDaemons(Duration gap);
  /// One zone neither reaches the others nor the store.
  void CutZone(Duration time);
  /// A part of the daemons gets no news of upstreams.
  void CutFromStore(double share, Duration time);

  [[nodiscard]] const StreamVersionChecker& checker() const { return checker_; }
  [[nodiscard]] const Traffic& traffic() const { return traffic_; }
  /// New streams that callers asked for.
  [[nodiscard]] std::size_t streams() const { return stream_count_; }
  /// Decisions by where the version was known from.
  [[nodiscard]] std::size_t Decided(VersionSource source) const {
    const auto found = decided_.find(source);
    return found == decided_.end() ? 0 : found->second;
  }

 private:
  struct Daemon {
    std::unique_ptr<StreamVersionBook> book;  ///< Empty while it is down.
    PeerAddress address;
    std::size_t zone = 0;
    Duration catalog_lag{0};
    Duration directory_lag{0};
    std::set<std::size_t> listed;  ///< Upstreams of its catalog.
    TimePoint cut_until;
    bool is_draining = false;
    bool is_announced = true;  ///< In the directory that is handed out.
  };
  struct Upstream {
    std::string version;
    std::size_t zone = 0;
    bool is_up = true;
    bool is_listed = true;
  };
  struct Stream {
    std::string id;
    std::string key;
    std::size_t zone = 0;  ///< Of the caller.
    std::size_t daemon = 0;
    std::size_t upstream = 0;
    std::string version;  ///< Of its first event.
    TimePoint ends_at;
    int tries = 0;
    bool is_running = false;
  };
  using StreamPtr = std::shared_ptr<Stream>;
  struct Question {
    StreamPtr stream;
    std::size_t daemon = 0;
    VersionLookup lookup;
    std::size_t pending = 0;
    bool is_done = false;
  };
  struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> run;

    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void After(Duration delay, std::function<void()> run);
  Duration RandomTime(std::int64_t from_ms, std::int64_t to_ms);
  double Uniform();
  std::vector<std::size_t> RandomPart(std::size_t of, double share);

  void StartDaemon(std::size_t index, TimePoint started_at);
  void StopDaemon(std::size_t index);
  void AnnounceDaemon(std::size_t index, bool is_present, Duration delay);
  void RestartDaemon(std::size_t index);
  void SyncCatalog(std::size_t daemon);
  void PublishUpstream(std::size_t upstream, bool is_listed);
  void AddUpstream(const std::string& version, std::size_t zone);
  void RetireUpstream(std::size_t upstream);
  void CrashUpstream(std::size_t upstream);
  void ConfirmCatalogs();
  [[nodiscard]] bool IsCut(std::size_t zone) const;
  [[nodiscard]] bool Reaches(std::size_t zone, std::size_t other) const;

  void Deliver(std::size_t from, const StreamVersionBook::Deliveries& sent);
  void Count(std::size_t bytes);
  std::optional<std::size_t> PickDaemon(std::size_t zone);
  std::optional<std::size_t> PickUpstream(
      std::size_t daemon, const std::optional<std::string>& version);
  void BeginStream();
  void Serve(const StreamPtr& stream, std::size_t daemon, std::size_t upstream);
  void Break(const StreamPtr& stream);
  void Resume(const StreamPtr& stream);
  void Ask(const StreamPtr& stream, std::size_t daemon);
  void OnReply(const std::shared_ptr<Question>& question,
               const std::optional<RecordReply>& reply);
  void Decide(const std::shared_ptr<Question>& question);
  void GoOn(const StreamPtr& stream, std::size_t daemon,
            const std::optional<std::string>& version);
  void RetryLater(const StreamPtr& stream);
  [[nodiscard]] bool IsCounted(const Stream& stream, std::size_t daemon) const;

  Options options_;
  StreamVersionChecker checker_;
  std::mt19937_64 random_;
  TimePoint now_{Duration(10'000'000)};
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t event_count_ = 0;
  std::vector<Daemon> daemons_;
  std::map<std::string, std::size_t> daemon_index_;  ///< By name.
  std::vector<Upstream> upstreams_;
  std::map<std::string, StreamPtr> running_;  ///< By id.
  std::size_t stream_count_ = 0;
  std::optional<std::size_t> cut_zone_;
  TimePoint zone_cut_until_;
  Traffic traffic_;
  std::map<VersionSource, std::size_t> decided_;
};

}  // namespace firmoor

#endif  // FIRMOOR_RESUMPTION_TESTS_STREAM_FLEET_MODEL_H_
