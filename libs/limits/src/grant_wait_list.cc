#include "limits/grant_wait_list.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace firmoor {

void GrantWaitList::Add(Resume resume) {
  waiters_.push_back({last_report_ + 1, std::move(resume)});
}

void GrantWaitList::OnReply(ReportNumber report) {
  // In the order of arrival, so those that the reply answers come first.
  const auto end = std::find_if(
      waiters_.begin(), waiters_.end(),
      [report](const auto& waiter) { return waiter.report > report; });
  const std::vector<Waiter> answered(std::make_move_iterator(waiters_.begin()),
                                     std::make_move_iterator(end));
  waiters_.erase(waiters_.begin(), end);
  // Resumed requests may wait again.
  for (const auto& waiter : answered) waiter.resume();
}

void GrantWaitList::ResumeAll() {
  for (const auto& waiter : std::exchange(waiters_, {})) waiter.resume();
}

}  // namespace firmoor
