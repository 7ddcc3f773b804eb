#include "stream_fleet_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace firmoor {
namespace {

constexpr Duration kStep{10};
constexpr std::size_t kZones = 3;
constexpr const char* kService = "s";
constexpr Duration kConfirmPeriod{500};
// The others notice the loss of a daemon or an upstream so much later.
constexpr Duration kDetectionTime{3'000};
constexpr Duration kUpstreamRestartTime{2'000};
constexpr Duration kUpstreamDrainTime{3'000};
constexpr Duration kDaemonDrainTime{2'000};
constexpr Duration kDaemonRestartTime{500};
constexpr std::int64_t kMinCatalogLagMs = 100;
constexpr std::int64_t kMaxCatalogLagMs = 2'000;
constexpr std::size_t kRestartBatches = 20;

}  // namespace

StreamFleetModel::StreamFleetModel(Options options)
    : options_(options), random_(options.seed), daemons_(options.daemons) {
  for (std::size_t i = 0; i < options_.upstreams; ++i) {
    upstreams_.push_back({"one", i % kZones, true, true});
  }
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    auto& daemon = daemons_[i];
    const auto name = fmt::format("daemon{}", i);
    daemon.zone = i % kZones;
    daemon.address = {
        name, fmt::format("zone{}", daemon.zone), {"127.0.0.1", 1}};
    daemon.catalog_lag = RandomTime(kMinCatalogLagMs, kMaxCatalogLagMs);
    daemon.directory_lag = RandomTime(options_.min_directory_lag.count(),
                                      options_.max_directory_lag.count());
    daemon_index_[name] = i;
  }
  const auto start = now_;
  now_ = start - options_.daemon_age;
  for (std::size_t i = 0; i < daemons_.size(); ++i) StartDaemon(i, now_);
  now_ = start;
  ConfirmCatalogs();
}

Duration StreamFleetModel::RandomTime(std::int64_t from_ms,
                                      std::int64_t to_ms) {
  return Duration(
      std::uniform_int_distribution<std::int64_t>(from_ms, to_ms)(random_));
}

double StreamFleetModel::Uniform() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

std::vector<std::size_t> StreamFleetModel::RandomPart(std::size_t of,
                                                      double share) {
  std::vector<std::size_t> all(of);
  for (std::size_t i = 0; i < of; ++i) all[i] = i;
  std::shuffle(all.begin(), all.end(), random_);
  all.resize(
      static_cast<std::size_t>(std::lround(share * static_cast<double>(of))));
  return all;
}

void StreamFleetModel::After(Duration delay, std::function<void()> run) {
  events_.push({now_ + delay, event_count_++, std::move(run)});
}

void StreamFleetModel::Run(Duration time) {
  const auto until = now_ + time;
  const double per_step = options_.streams_per_daemon_per_s *
                          static_cast<double>(options_.daemons) *
                          SecondsOf(kStep);
  std::poisson_distribution<int> arrivals(per_step);
  while (now_ < until) {
    for (int i = arrivals(random_); i > 0; --i) BeginStream();
    const auto step_end = now_ + kStep;
    while (!events_.empty() && events_.top().at <= step_end) {
      const auto event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    now_ = step_end;
  }
}

void StreamFleetModel::StartDaemon(std::size_t index, TimePoint started_at) {
  auto& daemon = daemons_[index];
  daemon.book =
      std::make_unique<StreamVersionBook>(daemon.address.daemon, started_at);
  daemon.is_draining = false;
  for (const auto& other : daemons_) {
    if (other.is_announced) daemon.book->directory().Add(other.address);
  }
  SyncCatalog(index);
}

void StreamFleetModel::StopDaemon(std::size_t index) {
  daemons_[index].book.reset();
  std::vector<StreamPtr> broken;
  for (const auto& [id, stream] : running_) {
    if (stream->daemon == index) broken.push_back(stream);
  }
  for (const auto& stream : broken) Break(stream);
}

void StreamFleetModel::AnnounceDaemon(std::size_t index, bool is_present,
                                      Duration delay) {
  After(delay, [this, index, is_present] {
    daemons_[index].is_announced = is_present;
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      After(daemons_[i].directory_lag, [this, i, index, is_present] {
        auto& book = daemons_[i].book;
        if (book == nullptr) return;
        const auto& address = daemons_[index].address;
        if (is_present) {
          book->directory().Add(address);
        } else {
          book->directory().Remove(address.daemon, now_);
        }
        Deliver(i, book->OnDirectory(now_));
      });
    }
  });
}

void StreamFleetModel::KillDaemons(double share) {
  for (const auto index : RandomPart(daemons_.size(), share)) {
    if (daemons_[index].book == nullptr) continue;
    StopDaemon(index);
    AnnounceDaemon(index, false, kDetectionTime);
  }
}

void StreamFleetModel::RestartDaemons(Duration gap) {
  const auto order = RandomPart(daemons_.size(), 1);
  const auto batch =
      std::max<std::size_t>(1, daemons_.size() / kRestartBatches);
  for (std::size_t i = 0; i < order.size(); ++i) {
    const auto delay = gap * static_cast<std::int64_t>(i / batch);
    After(delay, [this, index = order[i]] { RestartDaemon(index); });
  }
}

void StreamFleetModel::RestartDaemon(std::size_t index) {
  auto& daemon = daemons_[index];
  if (daemon.book == nullptr) return;
  daemon.is_draining = true;
  Deliver(index, daemon.book->StartHandOver(now_));
  AnnounceDaemon(index, false, Duration(0));
  After(kDaemonDrainTime, [this, index] { StopDaemon(index); });
  After(kDaemonDrainTime + kDaemonRestartTime, [this, index] {
    StartDaemon(index, now_);
    AnnounceDaemon(index, true, Duration(0));
  });
}

void StreamFleetModel::SyncCatalog(std::size_t index) {
  auto& daemon = daemons_[index];
  if (daemon.book == nullptr) return;
  daemon.listed.clear();
  StreamVersionBook::ListedVersions versions;
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    if (!upstreams_[i].is_listed) continue;
    daemon.listed.insert(i);
    versions[kService].insert(upstreams_[i].version);
  }
  daemon.book->OnCatalogConfirmed(now_);
  Deliver(index, daemon.book->OnCatalog(versions, now_));
}

void StreamFleetModel::PublishUpstream(std::size_t upstream, bool is_listed) {
  upstreams_[upstream].is_listed = is_listed;
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    After(daemons_[i].catalog_lag, [this, i, upstream, is_listed] {
      auto& daemon = daemons_[i];
      const bool is_cut = now_ < daemon.cut_until || IsCut(daemon.zone);
      if (daemon.book == nullptr || is_cut) return;
      if (is_listed) {
        daemon.listed.insert(upstream);
      } else {
        daemon.listed.erase(upstream);
      }
      StreamVersionBook::ListedVersions versions;
      for (const auto listed : daemon.listed) {
        versions[kService].insert(upstreams_[listed].version);
      }
      Deliver(i, daemon.book->OnCatalog(versions, now_));
    });
  }
}

void StreamFleetModel::AddUpstream(const std::string& version,
                                   std::size_t zone) {
  upstreams_.push_back({version, zone, true, true});
  PublishUpstream(upstreams_.size() - 1, true);
}

void StreamFleetModel::RetireUpstream(std::size_t upstream) {
  PublishUpstream(upstream, false);
  After(kUpstreamDrainTime, [this, upstream] { CrashUpstream(upstream); });
}

void StreamFleetModel::CrashUpstream(std::size_t upstream) {
  if (!upstreams_[upstream].is_up) return;
  upstreams_[upstream].is_up = false;
  std::vector<StreamPtr> broken;
  for (const auto& [id, stream] : running_) {
    if (stream->upstream == upstream) broken.push_back(stream);
  }
  for (const auto& stream : broken) Break(stream);
}

void StreamFleetModel::Release(const std::string& version, double share,
                               Duration gap) {
  std::vector<std::size_t> old;
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    const auto& upstream = upstreams_[i];
    if (upstream.is_up && upstream.is_listed) old.push_back(i);
  }
  const auto chosen = RandomPart(old.size(), share);
  for (std::size_t i = 0; i < chosen.size(); ++i) {
    After(gap * static_cast<std::int64_t>(i),
          [this, upstream = old[chosen[i]], version] {
            AddUpstream(version, upstreams_[upstream].zone);
            RetireUpstream(upstream);
          });
  }
}

void StreamFleetModel::CrashUpstreams(double share) {
  std::vector<std::size_t> up;
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    if (upstreams_[i].is_up && upstreams_[i].is_listed) up.push_back(i);
  }
  for (const auto chosen : RandomPart(up.size(), share)) {
    const auto upstream = up[chosen];
    CrashUpstream(upstream);
    After(kDetectionTime, [this, upstream] {
      if (upstreams_[upstream].is_listed) PublishUpstream(upstream, false);
    });
    After(kUpstreamRestartTime, [this, upstream] {
      AddUpstream(upstreams_[upstream].version, upstreams_[upstream].zone);
    });
  }
}

void StreamFleetModel::CutZone(Duration time) {
  cut_zone_ = random_() % kZones;
  zone_cut_until_ = now_ + time;
  std::vector<StreamPtr> broken;
  for (const auto& [id, stream] : running_) {
    const auto zone = daemons_[stream->daemon].zone;
    if (!Reaches(zone, upstreams_[stream->upstream].zone) ||
        !Reaches(zone, stream->zone)) {
      broken.push_back(stream);
    }
  }
  for (const auto& stream : broken) Break(stream);
  After(time, [this] {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      if (daemons_[i].zone == cut_zone_) SyncCatalog(i);
    }
  });
}

void StreamFleetModel::CutFromStore(double share, Duration time) {
  for (const auto index : RandomPart(daemons_.size(), share)) {
    daemons_[index].cut_until = now_ + time;
    After(time, [this, index] { SyncCatalog(index); });
  }
}

void StreamFleetModel::ConfirmCatalogs() {
  for (auto& daemon : daemons_) {
    if (daemon.book == nullptr) continue;
    traffic_.most_records =
        std::max(traffic_.most_records, daemon.book->records().size());
    const bool is_cut = now_ < daemon.cut_until || IsCut(daemon.zone);
    if (!is_cut) daemon.book->OnCatalogConfirmed(now_);
  }
  After(kConfirmPeriod, [this] { ConfirmCatalogs(); });
}

bool StreamFleetModel::IsCut(std::size_t zone) const {
  return now_ < zone_cut_until_ && cut_zone_ == zone;
}

bool StreamFleetModel::Reaches(std::size_t zone, std::size_t other) const {
  return zone == other || (!IsCut(zone) && !IsCut(other));
}

}  // namespace firmoor
