#include "soak_faults.h"

#include <iterator>
#include <utility>

namespace firmoor {

SoakFaults::SoakFaults(Cluster* cluster, std::mt19937_64* random,
                       SoakCounts* counts, std::function<void()> race)
    : cluster_(cluster),
      random_(random),
      counts_(counts),
      race_(std::move(race)) {}

int SoakFaults::Pick(int low, int high) {
  return PickNumber(random_, low, high);
}

std::size_t SoakFaults::AnyDaemon() {
  return static_cast<std::size_t>(
      Pick(0, static_cast<int>(cluster_->daemon_count()) - 1));
}

void SoakFaults::RaceOperators() { race_(); }

/// Daemons must not end but when they are told to.
void SoakFaults::FindCrashes() {
  for (std::size_t i = 0; i < cluster_->daemon_count(); ++i) {
    auto* node = &cluster_->daemon(i);
    if (busy_.contains(node)) continue;
    if (node->process->state() != QProcess::NotRunning) continue;
    Complain(&counts_->crashed_daemons, node->name + " crashed");
    cluster_->Start(node);
  }
}

void SoakFaults::Later(Duration after, std::function<void()> undo) {
  pending_.push_back({MonotonicNow() + after, std::move(undo)});
}

void SoakFaults::Undo(TimePoint now) {
  std::vector<std::function<void()>> due;
  std::erase_if(pending_, [&](const Pending& pending) {
    if (pending.when > now) return false;
    due.push_back(pending.undo);
    return true;
  });
  for (const auto& undo : due) undo();
}

void SoakFaults::StartOne() {
  struct Fault {
    const char* name;
    void (SoakFaults::*start)();
  };
  static constexpr Fault kFaults[] = {
      {"daemon killed", &SoakFaults::KillDaemon},
      {"daemon frozen", &SoakFaults::FreezeDaemon},
      {"daemon drained", &SoakFaults::DrainDaemon},
      {"daemon drained", &SoakFaults::DrainDaemon},
      {"engine killed", &SoakFaults::KillEngine},
      {"engine silent", &SoakFaults::SilenceEngine},
      {"engine drops", &SoakFaults::DropEngine},
      {"plain killed", &SoakFaults::KillPlain},
      {"plain frozen", &SoakFaults::FreezePlain},
      {"store outage", &SoakFaults::StoreOutage},
      {"store slow", &SoakFaults::StoreSlow},
      {"store loses answers", &SoakFaults::StoreLoses},
      {"store reads stale", &SoakFaults::StoreStale},
      {"zones cut", &SoakFaults::CutZones},
      {"zone cut from platform", &SoakFaults::CutPlatform},
      {"operators race", &SoakFaults::RaceOperators},
  };
  const auto& fault = kFaults[static_cast<std::size_t>(
      Pick(0, static_cast<int>(std::size(kFaults)) - 1))];
  ++fault_count_;
  ++counts_->faults[fault.name];
  (this->*fault.start)();
}

Cluster::Node* SoakFaults::Take(Cluster::Node* node) {
  return busy_.insert(node).second ? node : nullptr;
}
void SoakFaults::Free(Cluster::Node* node) { busy_.erase(node); }

Cluster::Node* SoakFaults::TakeDaemon() {
  // One daemon at a time, so that some are always there.
  if (daemon_busy_) return nullptr;
  auto* node = Take(&cluster_->daemon(AnyDaemon()));
  daemon_busy_ = node != nullptr;
  return node;
}
void SoakFaults::FreeDaemon(Cluster::Node* node) {
  daemon_busy_ = false;
  Free(node);
}

void SoakFaults::KillDaemon() {
  auto* node = TakeDaemon();
  if (node == nullptr) return;
  ++kills_;
  cluster_->Kill(node);
  Later(Duration(Pick(100, 3'000)), [this, node] {
    cluster_->Start(node);
    Later(Duration(1'500), [this, node] { FreeDaemon(node); });
  });
}

void SoakFaults::FreezeDaemon() {
  auto* node = TakeDaemon();
  if (node == nullptr) return;
  cluster_->Freeze(node);
  Later(Duration(Pick(100, 9'000)), [this, node] {
    cluster_->Thaw(node);
    FreeDaemon(node);
  });
}

void SoakFaults::DrainDaemon() {
  auto* node = TakeDaemon();
  if (node == nullptr) return;
  cluster_->Terminate(node);
  if (Pick(0, 2) == 0) {
    Later(Duration(Pick(50, 1'000)), [this, node] {
      if (node->process->state() == QProcess::Running) {
        cluster_->Terminate(node);
      }
    });
  }
  Later(Duration(8'500), [this, node] {
    cluster_->WaitEnded(node);
    if (node->process->exitCode() != 0) {
      Complain(&counts_->crashed_daemons, node->name + " did not stop");
    }
    cluster_->Start(node);
    Later(Duration(1'500), [this, node] { FreeDaemon(node); });
  });
}

Cluster::Node* SoakFaults::TakeEngine() {
  return Take(&cluster_->engine(static_cast<std::size_t>(
      Pick(0, static_cast<int>(cluster_->engine_count()) - 1))));
}
Cluster::Node* SoakFaults::TakePlain() {
  return Take(&cluster_->plain(static_cast<std::size_t>(
      Pick(0, static_cast<int>(cluster_->plain_count()) - 1))));
}

void SoakFaults::KillAndRestart(Cluster::Node* node) {
  if (node == nullptr) return;
  cluster_->Kill(node);
  Later(Duration(Pick(100, 4'000)), [this, node] {
    cluster_->Start(node);
    Free(node);
  });
}
void SoakFaults::KillEngine() { KillAndRestart(TakeEngine()); }
void SoakFaults::KillPlain() { KillAndRestart(TakePlain()); }

void SoakFaults::SilenceEngine() {
  auto* node = TakeEngine();
  if (node == nullptr) return;
  cluster_->Freeze(node);
  Later(Duration(Pick(500, 6'000)), [this, node] {
    cluster_->Thaw(node);
    Free(node);
  });
}

void SoakFaults::DropEngine() {
  auto* node = TakeEngine();
  if (node == nullptr) return;
  cluster_->Control(node->endpoint, {{"drop_after_tokens", Pick(1, 30)}});
  Later(Duration(Pick(500, 3'000)), [this, node] {
    cluster_->Control(node->endpoint, {{"drop_after_tokens", 0}});
    Free(node);
  });
}

void SoakFaults::FreezePlain() {
  auto* node = TakePlain();
  if (node == nullptr) return;
  cluster_->Freeze(node);
  Later(Duration(Pick(500, 8'000)), [this, node] {
    cluster_->Thaw(node);
    Free(node);
  });
}

void SoakFaults::StoreOutage() {
  cluster_->ControlPlatform({{"outage_ms", Pick(500, 6'000)}});
}
void SoakFaults::StoreSlow() {
  cluster_->ControlPlatform({{"slow_ms", Pick(50, 1'500)}});
  Later(Duration(Pick(500, 4'000)), [this] {
    cluster_->ControlPlatform({{"slow_ms", 0}});
  });
}
void SoakFaults::StoreLoses() {
  cluster_->ControlPlatform({{"lose_answers", Pick(1, 20)}});
}
void SoakFaults::StoreStale() {
  cluster_->ControlPlatform({{"stale_reads", Pick(1, 30)}});
}

void SoakFaults::CutZones() {
  cluster_->CutZones("east", "west");
  Later(Duration(Pick(500, 6'000)), [this] { cluster_->Heal(); });
}
void SoakFaults::CutPlatform() {
  cluster_->CutPlatform(Pick(0, 1) == 0 ? "east" : "west");
  Later(Duration(Pick(500, 6'000)), [this] { cluster_->Heal(); });
}

}  // namespace firmoor
