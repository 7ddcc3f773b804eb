#ifndef FIRMOOR_LIMITS_GRANT_WAIT_LIST_H_
#define FIRMOOR_LIMITS_GRANT_WAIT_LIST_H_

#include <cstdint>
#include <functional>
#include <vector>

namespace firmoor {

/// Number of a report to the coordinator, counted from 1 in each process.
using ReportNumber = std::uint64_t;

/// Requests of one daemon that wait for the coordinator's grant. Performs no
/// I/O.
class GrantWaitList {
 public:
  using Resume = std::function<void()>;

  /// Adds a request, whose need the next report contains.
  void Add(Resume resume);
  /// Counts a report that is made now, and returns its number.
  ReportNumber StartReport() { return ++last_report_; }
  /// Resumes the requests that the reply to a report answers.
  void OnReply(ReportNumber report);
  /// Resumes all requests, e.g. after a change that needs no report.
  void ResumeAll();

  [[nodiscard]] ReportNumber last_report() const { return last_report_; }

 private:
  struct Waiter {
    ReportNumber report = 0;  ///< First report that contains the need.
    Resume resume;
  };

  ReportNumber last_report_ = 0;
  std::vector<Waiter> waiters_;  ///< In the order of arrival.
};

}  // namespace firmoor

#endif  // FIRMOOR_LIMITS_GRANT_WAIT_LIST_H_
