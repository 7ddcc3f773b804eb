#include "base/supervisor.h"

#include <QObject>
#include <QTimer>
#include <algorithm>
#include <utility>
#include <vector>

#include "base/invariant.h"
#include "base/log.h"

namespace firmoor {
namespace {

constexpr Logger kLog("supervisor");
constexpr int kFirstBackoffMs = 100;
constexpr int kDefaultRestartBudget = 5;
// Tries to start a part again soon at first, since most ports are free within
// a moment, and then often enough for a load balancer's probes.
constexpr std::chrono::milliseconds kFirstRetryDelay{50};
constexpr std::chrono::milliseconds kMaxRetryDelay{1'000};

}  // namespace

struct Supervisor::Builder::Impl {
  struct Entry {
    Supervisor::Part part;
    bool running = false;
    int restarts = 0;
  };

  std::string name;
  std::vector<Entry> entries;
  int restart_budget = kDefaultRestartBudget;
  std::function<void(const std::string&)> on_give_up;
  std::function<void(const Supervisor::Retry&)> on_retry;
  QObject timer_context;
  QTimer retry_timer;
};

Supervisor::Builder::Builder(std::string name)
    : impl_(std::make_unique<Impl>()) {
  impl_->name = std::move(name);
}

Supervisor::Builder::~Builder() = default;

Supervisor::Builder& Supervisor::Builder::Part(Supervisor::Part part) {
  FIRMOOR_PRECONDITION(part.start && part.stop, "a part can start and stop");
  impl_->entries.push_back({std::move(part)});
  return *this;
}

Supervisor::Builder& Supervisor::Builder::RestartBudget(int restarts) {
  impl_->restart_budget = restarts;
  return *this;
}

Supervisor::Builder& Supervisor::Builder::OnGiveUp(
    std::function<void(const std::string&)> handler) {
  impl_->on_give_up = std::move(handler);
  return *this;
}

Supervisor::Builder& Supervisor::Builder::OnRetry(
    std::function<void(const Retry&)> handler) {
  impl_->on_retry = std::move(handler);
  return *this;
}

std::unique_ptr<Supervisor> Supervisor::Builder::Build() {
  return std::unique_ptr<Supervisor>(new Supervisor(std::move(impl_)));
}

Supervisor::Supervisor(std::unique_ptr<Builder::Impl> impl)
    : impl_(std::move(impl)) {}

Supervisor::~Supervisor() { Stop(); }

bool Supervisor::Start() {
  for (std::size_t i = 0; i < impl_->entries.size(); ++i) {
    if (StartPart(i)) continue;
    const auto& may_retry = impl_->entries[i].part.may_retry;
    if (may_retry && may_retry()) {
      RetryLater(i, 1);
      return true;
    }
    Stop();
    return false;
  }
  return true;
}

void Supervisor::StartFrom(std::size_t index, int attempts) {
  for (std::size_t i = index; i < impl_->entries.size(); ++i) {
    if (!StartPart(i)) return RetryLater(i, i == index ? attempts + 1 : 1);
  }
}

void Supervisor::RetryLater(std::size_t index, int attempts) {
  const auto doublings = std::min(attempts - 1, 10);
  const auto delay =
      std::min(kFirstRetryDelay * (1 << doublings), kMaxRetryDelay);
  if (impl_->on_retry) {
    impl_->on_retry({impl_->entries[index].part.name, attempts, delay});
  }
  impl_->retry_timer.disconnect();
  impl_->retry_timer.setSingleShot(true);
  QObject::connect(&impl_->retry_timer, &QTimer::timeout, &impl_->timer_context,
                   [this, index, attempts] { StartFrom(index, attempts); });
  impl_->retry_timer.start(delay);
}

bool Supervisor::IsStarted() const {
  return std::all_of(impl_->entries.begin(), impl_->entries.end(),
                     [](const auto& entry) { return entry.running; });
}

bool Supervisor::StartPart(std::size_t index) {
  auto& entry = impl_->entries[index];
  entry.running = entry.part.start();
  if (!entry.running) {
    kLog.Error("Part {}/{} did not start.", impl_->name, entry.part.name);
  }
  return entry.running;
}

void Supervisor::Stop() {
  impl_->retry_timer.stop();
  for (auto it = impl_->entries.rbegin(); it != impl_->entries.rend(); ++it) {
    if (!it->running) continue;
    it->running = false;
    it->part.stop();
  }
}

void Supervisor::ReportFailure(const std::string& part) {
  for (std::size_t i = 0; i < impl_->entries.size(); ++i) {
    auto& entry = impl_->entries[i];
    if (entry.part.name != part || !entry.running) continue;
    entry.running = false;
    entry.part.stop();
    if (entry.restarts >= impl_->restart_budget) {
      kLog.Error("Part {}/{} has spent its restarts.", impl_->name, part);
      if (impl_->on_give_up) impl_->on_give_up(part);
      return;
    }
    const int backoff_ms = kFirstBackoffMs << entry.restarts;
    ++entry.restarts;
    kLog.Warn("Part {}/{} failed. Restart in {} ms.", impl_->name, part,
              backoff_ms);
    QTimer::singleShot(backoff_ms, &impl_->timer_context, [this, i, part] {
      auto& again = impl_->entries[i];
      if (StartPart(i)) return;
      again.running = true;  // ReportFailure ignores parts that do not run.
      ReportFailure(part);
    });
  }
}

}  // namespace firmoor
