#ifndef FIRMOOR_TESTS_PROCESS_SOAK_COUNTS_H_
#define FIRMOOR_TESTS_PROCESS_SOAK_COUNTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace firmoor {

/// Counts that the last lines of a soak show.
struct SoakCounts {
  std::map<std::string, int> requests;
  std::map<std::string, int> outcomes;
  std::map<std::string, int> faults;
  int keys_above_one = 0;
  int false_not_run = 0;
  int wrong_answers = 0;
  int lost_accepted = 0;
  int excused_accepted = 0;
  int crashed_daemons = 0;
  std::int64_t broken_invariants = 0;
};

/// Adds one to `count`; the first broken promises of a kind are printed.
void Complain(int* count, const std::string& what);

/// A random number from `low` to `high`, both included.
int PickNumber(std::mt19937_64* random, int low, int high);

}  // namespace firmoor

#endif  // FIRMOOR_TESTS_PROCESS_SOAK_COUNTS_H_
