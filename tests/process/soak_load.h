#ifndef FIRMOOR_TESTS_PROCESS_SOAK_LOAD_H_
#define FIRMOOR_TESTS_PROCESS_SOAK_LOAD_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "cluster.h"
#include "soak_counts.h"

namespace firmoor {

/// Callers of all kinds at random daemons, and the judgement of what they are
/// told against what the plain services did.
class SoakLoad {
 public:
  /// `kills` tells how many daemons were killed without notice so far.
  SoakLoad(Cluster* cluster, std::mt19937_64* random, SoakCounts* counts,
           std::function<int()> kills);

  void StartRequest();
  /// Two operators patch the same version at once.
  void RaceOperators();
  /// Judges the answers that arrived.
  void Reap();
  /// Waits for the rest of them.
  void Settle();
  /// Compares all that was told with all that ran.
  void Verify();
  [[nodiscard]] std::size_t works() const { return works_.size(); }

 private:
  /// One piece of non-idempotent work and what its callers were told.
  struct Work {
    int told_done = 0;
    int told_not_run = 0;
    int told_other = 0;
  };
  struct Running {
    std::unique_ptr<Exchange> exchange;
    std::string kind;
    std::string id;
    bool ran_before = false;  ///< The work, when this was sent.
  };
  struct Accepted {
    std::string prompt;
    std::string location;
    TimePoint since;
    int kills_before = 0;
    std::unique_ptr<Exchange> question;
  };

  int Pick(int low, int high);
  std::size_t AnyDaemon();
  std::string RandomAct();
  void Send(const char* kind, const std::string& id, const Endpoint& to,
            const HttpRequest& request);
  void Judge(const Running& running);
  void JudgeBooking(const Running& running, int status,
                    const std::string& outcome);
  void JudgeStream(const Running& running);
  void Follow(Accepted* accepted);
  void EndAccepted(Accepted* accepted, const HttpResponse& answer);

  Cluster* cluster_;
  std::mt19937_64* random_;
  SoakCounts* counts_;
  std::function<int()> kills_;
  std::vector<Running> running_;
  std::vector<Accepted> accepted_;
  std::vector<std::string> recent_;
  std::map<std::string, Work> works_;
  std::uint64_t next_ = 0;
  int races_ = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_TESTS_PROCESS_SOAK_LOAD_H_
