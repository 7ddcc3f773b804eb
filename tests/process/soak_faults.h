#ifndef FIRMOOR_TESTS_PROCESS_SOAK_FAULTS_H_
#define FIRMOOR_TESTS_PROCESS_SOAK_FAULTS_H_

#include <functional>
#include <random>
#include <set>
#include <vector>

#include "cluster.h"
#include "soak_counts.h"

namespace firmoor {

/// Random faults of a cluster, each undone after a while: kills, freezes,
/// drains, cuts, outages and operator races.
class SoakFaults {
 public:
  /// `race` starts a race of operators.
  SoakFaults(Cluster* cluster, std::mt19937_64* random, SoakCounts* counts,
             std::function<void()> race);

  void StartOne();
  /// Ends the faults whose time is up.
  void Undo(TimePoint now);
  /// Daemons must not end but when they are told to.
  void FindCrashes();

  [[nodiscard]] bool IsIdle() const { return pending_.empty(); }
  [[nodiscard]] int started() const { return fault_count_; }
  /// Daemons killed without notice so far.
  [[nodiscard]] int kills() const { return kills_; }

 private:
  struct Pending {
    TimePoint when;
    std::function<void()> undo;
  };

  int Pick(int low, int high);
  std::size_t AnyDaemon();
  void Later(Duration after, std::function<void()> undo);

  /// A node that no other fault holds; null when there is none.
  Cluster::Node* Take(Cluster::Node* node);
  void Free(Cluster::Node* node);
  Cluster::Node* TakeDaemon();
  void FreeDaemon(Cluster::Node* node);
  Cluster::Node* TakeEngine();
  Cluster::Node* TakePlain();

  void KillDaemon();
  void FreezeDaemon();
  void DrainDaemon();
  void KillAndRestart(Cluster::Node* node);
  void KillEngine();
  void KillPlain();
  void SilenceEngine();
  void DropEngine();
  void FreezePlain();
  void StoreOutage();
  void StoreSlow();
  void StoreLoses();
  void StoreStale();
  void CutZones();
  void CutPlatform();
  void RaceOperators();

  Cluster* cluster_;
  std::mt19937_64* random_;
  SoakCounts* counts_;
  std::function<void()> race_;
  std::vector<Pending> pending_;
  std::set<Cluster::Node*> busy_;
  bool daemon_busy_ = false;
  int fault_count_ = 0;
  int kills_ = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_TESTS_PROCESS_SOAK_FAULTS_H_
