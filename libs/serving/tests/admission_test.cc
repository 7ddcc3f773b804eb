#include "serving/admission.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

namespace firmoor {
namespace {

using Ids = std::vector<std::uint64_t>;

Ids IdsOf(const std::vector<Admission::Admitted>& admitted) {
  Ids ids;
  ids.reserve(admitted.size());
  for (const auto& request : admitted) ids.push_back(request.id);
  return ids;
}

constexpr TimePoint kStart{Duration(1'000'000)};

AdmissionRequest MakeRequest(std::uint64_t id, const std::string& workspace,
                             int priority = 0) {
  AdmissionRequest request;
  request.id = id;
  request.workspace = workspace;
  request.priority = priority;
  request.deadline = kStart + Duration(60'000);
  return request;
}

}  // namespace

TEST_CASE("requests of one service") {
  Admission admission(2, 4);
  TimePoint now = kStart;
  SUBCASE("run up to the capacity, then wait") {
    for (std::uint64_t i = 0; i < 4; ++i) {
      admission.Submit(MakeRequest(i, "a"), now);
    }
    CHECK(IdsOf(admission.TakeChanges(now).run) == Ids{0, 1});
    CHECK(admission.waiting() == 2);
    admission.Finish(0, now);
    CHECK(IdsOf(admission.TakeChanges(now).run) == Ids{2});
  }
  SUBCASE("of a small workspace overtake the queue of a large one") {
    for (std::uint64_t i = 0; i < 6; ++i) {
      admission.Submit(MakeRequest(i, "large"), now);
    }
    admission.TakeChanges(now);
    admission.Submit(MakeRequest(100, "small"), now);
    const auto refused = admission.TakeChanges(now).refused;
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].first == 5);
    CHECK(refused[0].second.code == ResultCode::kOverloaded);
    admission.Finish(0, now);
    admission.Finish(1, now);
    const auto run = IdsOf(admission.TakeChanges(now).run);
    CHECK(std::find(run.begin(), run.end(), 100) != run.end());
  }
  SUBCASE("of a higher priority run first") {
    for (std::uint64_t i = 0; i < 4; ++i) {
      admission.Submit(MakeRequest(i, "a"), now);
    }
    admission.TakeChanges(now);
    admission.Submit(MakeRequest(9, "a", 5), now);
    admission.Finish(0, now);
    CHECK(IdsOf(admission.TakeChanges(now).run) == Ids{9});
  }
  SUBCASE("over the limit of their workspace are rejected") {
    auto request = MakeRequest(1, "a");
    request.max_in_flight = 1;
    admission.Submit(request, now);
    request.id = 2;
    admission.Submit(request, now);
    const auto changes = admission.TakeChanges(now);
    REQUIRE(changes.refused.size() == 1);
    CHECK(changes.refused[0].second.code == ResultCode::kWorkspaceLimit);
  }
  SUBCASE("that would miss their deadline are rejected at once") {
    for (std::uint64_t i = 0; i < 6; ++i) {
      admission.Submit(MakeRequest(i, "a"), now);
      admission.TakeChanges(now);
    }
    for (std::uint64_t i = 0; i < 2; ++i) {
      now += Duration(1'000);
      admission.Finish(i, now);
      admission.TakeChanges(now);
    }
    auto urgent = MakeRequest(50, "b");
    urgent.deadline = now + Duration(200);
    admission.Submit(urgent, now);
    const auto refused = admission.TakeChanges(now).refused;
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].second.code == ResultCode::kDeadlineUnreachable);
    CHECK(refused[0].second.retry_after >= Duration(1'000));
  }
}

TEST_CASE("two workspaces under contention share the capacity by weight") {
  Admission admission(1, 1'000);
  TimePoint now = kStart;
  std::map<std::uint64_t, std::string> owner;
  for (std::uint64_t i = 0; i < 400; ++i) {
    auto request = MakeRequest(i, i % 2 == 0 ? "heavy" : "light");
    request.weight = i % 2 == 0 ? 3 : 1;
    owner[i] = request.workspace;
    admission.Submit(request, now);
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 100; ++i) {
    const auto run = IdsOf(admission.TakeChanges(now).run);
    REQUIRE(run.size() == 1);
    ++served[owner[run[0]]];
    now += Duration(10);
    admission.Finish(run[0], now);
  }
  CHECK(served["heavy"] >= 70);
  CHECK(served["light"] >= 22);
}

TEST_CASE("random requests") {
  const bool holds =
      rc::check("each run or are rejected once, within all limits", [] {
        const int capacity = *rc::gen::inRange(1, 6);
        const int limit = *rc::gen::inRange(0, 10);
        Admission admission(capacity, limit);
        TimePoint now = kStart;
        std::set<std::uint64_t> open;
        std::set<std::uint64_t> running;
        std::uint64_t next = 1;
        for (int step = 0; step < 200; ++step) {
          now += Duration(*rc::gen::inRange(0, 100));
          if (*rc::gen::inRange(0, 3) < 2) {
            auto request = MakeRequest(
                next,
                std::string(1,
                            static_cast<char>('a' + *rc::gen::inRange(0, 4))),
                *rc::gen::inRange(0, 3));
            request.max_in_flight = *rc::gen::inRange(1, 8);
            request.deadline = now + Duration(*rc::gen::inRange(1, 3'000));
            open.insert(next++);
            admission.Submit(request, now);
          } else if (!running.empty()) {
            admission.Finish(*running.begin(), now);
            running.erase(running.begin());
          }
          const auto changes = admission.TakeChanges(now);
          for (const auto id : IdsOf(changes.run)) {
            RC_ASSERT(open.erase(id) == 1);
            running.insert(id);
          }
          for (const auto& [id, refusal] : changes.refused) {
            RC_ASSERT(open.erase(id) == 1);
            RC_ASSERT(refusal.retry_after >= Duration(1'000));
          }
          RC_ASSERT(int(running.size()) <= capacity);
          RC_ASSERT(admission.waiting() <= limit + capacity);
          RC_ASSERT(admission.waiting() == std::int64_t(open.size()));
        }
      });
  CHECK(holds);
}

}  // namespace firmoor
