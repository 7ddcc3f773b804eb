#include "rollout_fleet_model.h"

#include <algorithm>

namespace firmoor {
namespace {

constexpr std::int64_t kStepMs = 10;
constexpr std::int64_t kReportMs = 1'000;
constexpr std::int64_t kPollMs = 250;
constexpr const char* kService = "s";

TimePoint At(std::int64_t ms) { return TimePoint(Duration(ms)); }

struct Answer {
  std::int64_t at_ms;
  int daemon;
  UpstreamEntry upstream;
  std::string route;
  bool bad;

  bool operator>(const Answer& other) const { return at_ms > other.at_ms; }
};

struct Daemon {
  RolloutGuard guard;
  std::int64_t report_at;
  std::map<std::string, std::int64_t> in_flight;

  Daemon(const RolloutSettings& settings, int number)
      : guard(settings, "d" + std::to_string(number)),
        report_at(number * 37 % kReportMs) {}
};

class Play {
 public:
  explicit Play(const RolloutFleetModel::Config& config) : config_(config) {
    RolloutSettings settings;
    settings.enabled = true;
    settings.expose_slack = 50;
    for (int i = 0; i < config.daemons; ++i) {
      daemons_.emplace_back(settings, i);
    }
    AddUpstreams("v1", config.baseline);
    order_ = {kService, "v2", config.over};
    for (auto& daemon : daemons_) {
      daemon.guard.ApplyOrder(order_, entries_, At(0));
    }
    coordinator_.emplace();
    stored_.target = "v2";
  }

  RolloutFleetModel::Result Run(int seconds) {
    for (now_ = 0; now_ < seconds * 1'000; now_ += kStepMs) {
      Prepare();
      EndAnswers();
      SendRequests();
      ExchangeReports();
      if (coordinator_ && now_ % kPollMs == 0) Coordinate();
    }
    result_.state = stored_.state;
    return result_;
  }

 private:
  void AddUpstreams(const std::string& version, int count) {
    for (int i = 0; i < count; ++i) {
      UpstreamEntry entry;
      entry.id = version + "-" + std::to_string(i);
      entry.service = kService;
      entry.software_version = version;
      entries_[entry.id] = entry;
    }
  }

  void Prepare() {
    if (now_ == config_.targets_ready_ms) {
      AddUpstreams("v2", config_.targets);
      for (auto& daemon : daemons_) {
        daemon.guard.SetUpstreams(entries_, At(now_));
      }
    }
    if (!config_.change_at_ms) return;
    if (now_ == *config_.change_at_ms) coordinator_.reset();
    if (now_ == *config_.change_at_ms + config_.gap_ms) coordinator_.emplace();
  }

  bool IsCutOff(std::size_t daemon) const {
    return now_ >= config_.cut_at_ms &&
           static_cast<int>(daemon) >= config_.daemons - config_.cut_off;
  }

  void EndAnswers() {
    while (!answers_.empty() && answers_.front().at_ms <= now_) {
      std::pop_heap(answers_.begin(), answers_.end(), std::greater<>());
      const auto answer = answers_.back();
      answers_.pop_back();
      auto& daemon = daemons_[static_cast<std::size_t>(answer.daemon)];
      --daemon.in_flight[answer.upstream.id];
      if (answer.bad && answer.upstream.software_version == "v2" &&
          ++result_.bad == 50) {
        result_.fiftieth_bad_ms = now_;
      }
      if (daemon.guard.OnEnd(answer.upstream, answer.route, answer.bad,
                             At(now_))) {
        daemon.report_at = now_ + 100;
      }
    }
  }

  void SendRequests() {
    due_ += config_.requests_per_s * kStepMs / 1'000;
    for (; due_ >= 1; due_ -= 1) {
      SendRequest(static_cast<std::size_t>(random_() % daemons_.size()));
    }
  }

  UpstreamEntry Choose(const VersionFilter& filter) {
    std::vector<const UpstreamEntry*> eligible;
    for (const auto& [id, entry] : entries_) {
      const bool is_gone =
          stored_.state == kRolloutComplete && entry.software_version == "v1";
      if (!is_gone && filter.Passes(id, entry.software_version)) {
        eligible.push_back(&entry);
      }
    }
    return eligible.empty() ? UpstreamEntry()
                            : *eligible[random_() % eligible.size()];
  }

  void SendRequest(std::size_t number) {
    auto& daemon = daemons_[number];
    const bool to_target = daemon.guard.ChoosesTarget(kService, true, At(now_));
    auto upstream =
        Choose(daemon.guard.FilterFor(kService, to_target, At(now_)));
    if (upstream.id.empty()) return;
    const bool is_target = upstream.software_version == "v2";
    daemon.guard.OnSend(kService, upstream.software_version, true, At(now_));
    if (now_ < config_.over.count()) {
      ++result_.requests;
      result_.exposed += is_target ? 1 : 0;
    }
    if (is_target) result_.last_target_ms = now_;
    auto& recent = recent_[upstream.id];
    recent.push_back(now_);
    while (recent.front() < now_ - 1'000) recent.pop_front();
    const auto route = "r" + std::to_string(random_() % 4);
    const double random = static_cast<double>(random_() % 10'000) / 10'000;
    const auto answer = config_.answer({is_target, upstream.id, route, now_,
                                        static_cast<double>(recent.size())},
                                       random);
    daemon.guard.OnPace(upstream, route, PaceBucket(answer.time_ms, 25),
                        At(now_));
    ++daemon.in_flight[upstream.id];
    const auto length =
        route == "r0" && !answer.bad ? config_.stream_ms : config_.answer_ms;
    answers_.push_back(
        {now_ + length, static_cast<int>(number), upstream, route, answer.bad});
    std::push_heap(answers_.begin(), answers_.end(), std::greater<>());
  }

  bool IsLost() {
    return static_cast<double>(random_() % 1'000) / 1'000 <
           config_.lost_messages;
  }

  void ExchangeReports() {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      auto& daemon = daemons_[i];
      if (now_ < daemon.report_at) continue;
      daemon.report_at = now_ + kReportMs;
      if (!coordinator_ || IsCutOff(i) || IsLost()) continue;
      const auto reports = daemon.guard.Report(
          [&](const std::string& id) { return daemon.in_flight[id]; },
          At(now_));
      coordinator_->OnReport("i" + std::to_string(i), reports, At(now_));
      if (coordinator_->HasFault()) coordinator_->Advance(At(now_));
      if (IsLost()) continue;
      const auto replies = coordinator_->Replies();
      if (!daemon.guard.Apply(replies, At(now_)).empty()) {
        daemon.report_at = now_ + 100;
      }
      const bool is_moving =
          replies.contains(kService) &&
          (replies.at(kService).stage == RolloutStage::kHalf ||
           replies.at(kService).stage == RolloutStage::kAll);
      if (is_moving) daemon.report_at = std::min(daemon.report_at, now_ + 300);
    }
  }

  void Coordinate() {
    coordinator_->SetOrders({order_}, At(now_));
    coordinator_->Advance(At(now_));
    const bool is_down = now_ >= config_.store_down_from_ms &&
                         now_ < config_.store_down_until_ms;
    for (const auto& call : coordinator_->NextCalls(At(now_))) {
      if (call.state.empty()) {
        coordinator_->OnRead(call.service,
                             is_down ? std::nullopt : std::optional(stored_),
                             At(now_));
        continue;
      }
      if (!is_down) Store(call);
      coordinator_->OnWritten(call, !is_down, At(now_));
    }
  }

  void Store(const RolloutCoordinator::StoreCall& call) {
    stored_ = {call.target, call.state, call.target};
    if (call.state == kRolloutRunning) return;
    result_.ended_ms = now_;
    if (call.state != kRolloutComplete) return;
    for (const auto& daemon : daemons_) {
      for (const auto& [id, count] : daemon.in_flight) {
        if (entries_[id].software_version == "v1") result_.cut_streams += count;
      }
    }
    std::erase_if(entries_, [](const auto& entry) {
      return entry.second.software_version == "v1";
    });
    for (auto& daemon : daemons_) daemon.guard.SetUpstreams(entries_, At(now_));
  }

  RolloutFleetModel::Config config_;
  RolloutFleetModel::Result result_;
  std::mt19937 random_{7};
  std::vector<Daemon> daemons_;
  std::map<std::string, UpstreamEntry> entries_;
  std::map<std::string, std::deque<std::int64_t>> recent_;
  std::vector<Answer> answers_;
  RolloutOrder order_;
  std::optional<RolloutCoordinator> coordinator_;
  StoredRollout stored_;
  std::int64_t now_ = 0;
  double due_ = 0;
};

}  // namespace

RolloutFleetModel::Result RolloutFleetModel::Play(const Config& config,
                                                  int seconds) {
  return firmoor::Play(config).Run(seconds);
}

}  // namespace firmoor
