#include <doctest/doctest.h>

#include <QCborArray>
#include <QCborMap>
#include <map>
#include <string>

#include "gateway/usage_reporter.h"
#include "placement/fencing_number.h"
#include "placement/lease_elector.h"
#include "support/restorable_store.h"

namespace firmoor {
namespace {

constexpr std::int64_t kWindowMs = 5'000;
constexpr std::int64_t kNow = 1'000'000'000;  // Start of window 200,000.
constexpr const char* kUsage = "usage";
constexpr const char* kLease = "lease";
constexpr TimePoint kStart{Duration(100'000)};

/// The cloud API: keeps all counts that were reported of each window.
struct ReportedUsage {
  std::map<std::int64_t, UsageCounts> windows;
  bool has_contradiction = false;

  void Add(const UsageReport& report) {
    const auto known = windows.try_emplace(report.window, report.counts).first;
    has_contradiction |= known->second != report.counts;
  }
};

/// A coordinator whose counts may grow between two readings.
struct Reporter {
  std::int64_t count = 0;
  std::int64_t era_known_since_ms = kNow;
  std::int64_t term_start_ms = kNow;
  UsageReporter reporter;

  Reporter(std::int64_t initial_count, UsageReporter::Term term)
      : count(initial_count),
        reporter({},
                 {[this](std::int64_t) {
                    return UsageCounts{{"w", count}};
                  },
                  [](std::int64_t) { return true; },
                  [this] { return era_known_since_ms; },
                  [this] { return term_start_ms; }},
                 term) {}

  /// Carries out all steps that are due.
  void Run(RestorableStore* store, ReportedUsage* reported,
           std::int64_t true_ms) {
    while (Step(store, reported, true_ms)) {
    }
  }
  /// Carries out one step; returns false when none is due.
  bool Step(RestorableStore* store, ReportedUsage* reported,
            std::int64_t true_ms) {
    const auto step = reporter.Next(true_ms);
    if (!step) return false;
    if (std::holds_alternative<UsageReporter::ReadState>(*step)) {
      const auto answer = store->Read(kUsage);
      reporter.OnRead(answer.status, answer.object);
    } else if (const auto* write =
                   std::get_if<UsageReporter::WriteState>(&*step)) {
      const auto answer = store->Write(kUsage, write->expected, write->value);
      reporter.OnWrite(answer.status, answer.object.version);
    } else {
      reported->Add(std::get<UsageReporter::SendReport>(*step).report);
      reporter.OnSent(CloudStatus::kOk);
    }
    return true;
  }
};

/// A number of a term in the store's present era.
std::int64_t FirstNumber(const RestorableStore& store) {
  return NextFencing(0, {store.era(), 0});
}

/// A coordinator that has reported a window, and a copy of the store after it.
struct FirstWindow {
  RestorableStore store;
  ReportedUsage reported;
  Reporter first{100, {FirstNumber(store), false, true}};

  FirstWindow() {
    first.Run(&store, &reported, kNow + kWindowMs + 1'000);
    store.TakeSnapshot();
  }
};

/// Makes the calls of an elector that are due.
void Poll(LeaseElector* elector, RestorableStore* store, TimePoint now) {
  while (const auto call = elector->NextCall(now)) {
    if (call->is_write) {
      const auto answer = store->Write(kLease, call->expected, call->value);
      elector->OnWrite(answer.status, answer.object.version, now);
    } else {
      const auto answer = store->Read(kLease);
      elector->OnRead(answer.status, answer.object, now);
    }
  }
}

}  // namespace

// Guards against two reports of one window with different counts: the store
// returned from a copy that did not have the first one (incident ONE).
TEST_CASE_FIXTURE(FirstWindow,
                  "usage when the store returns from an older copy") {
  first.Run(&store, &reported, kNow + 2 * kWindowMs + 1'000);
  first.Run(&store, &reported, kNow + 3 * kWindowMs + 1'000);
  REQUIRE(reported.windows.contains(200'002));

  SUBCASE("is stored again at once by the same coordinator") {
    store.Restore();
    first.reporter.ContinueTerm(FirstNumber(store));
    first.Run(&store, &reported, kNow + 3 * kWindowMs + 1'500);
    Reporter second(99, {FirstNumber(store) + 1, false, false});
    REQUIRE(second.Step(&store, &reported, kNow + 3 * kWindowMs + 4'500));
    const auto step = second.reporter.Next(kNow + 3 * kWindowMs + 4'500);
    REQUIRE(step);
    const auto* send = std::get_if<UsageReporter::SendReport>(&*step);
    REQUIRE(send);
    CHECK(send->report == UsageReport{200'002, {{"w", 100}}});
  }
  SUBCASE("is not reported again by the same coordinator") {
    store.Restore();
    first.reporter.ContinueTerm(FirstNumber(store));
    ++first.count;
    first.Run(&store, &reported, kNow + 4 * kWindowMs + 1'000);
    CHECK(reported.windows.contains(200'003));

    SUBCASE("which stores its last report for the next one in this era") {
      Reporter second(99, {FirstNumber(store) + 1, false, false});
      second.Run(&store, &reported, kNow + 4 * kWindowMs + 4'500);
      second.Run(&store, &reported, kNow + 5 * kWindowMs + 1'000);
      CHECK(reported.windows.contains(200'004));
    }
  }
  SUBCASE("is not reported again by the next coordinator") {
    store.Restore();
    Reporter second(99, {FirstNumber(store), true, false});
    second.era_known_since_ms = kNow + 3 * kWindowMs + 1'000;

    SUBCASE("which takes over in the same window") {
      second.Run(&store, &reported, kNow + 3 * kWindowMs + 4'500);
      CHECK_FALSE(reported.windows.contains(200'003));
    }
    SUBCASE("which reports windows that ended before its takeover") {
      second.Run(&store, &reported, kNow + 5 * kWindowMs + 4'500);
      CHECK(reported.windows.contains(200'003));
      CHECK(reported.windows.contains(200'004));
    }
  }
  SUBCASE("is not reported again when the copy has no report at all") {
    RestorableStore empty;
    empty.TakeSnapshot();
    empty.Restore();
    Reporter second(99, {FirstNumber(empty), true, false});
    second.era_known_since_ms = kNow + 3 * kWindowMs + 1'000;
    second.Run(&empty, &reported, kNow + 3 * kWindowMs + 4'500);
  }
  SUBCASE("is not reported again by one that took the lease of the first") {
    // The first one renewed the lease in the new era, but died before it stored
    // its last report there.
    store.Restore();
    Reporter second(99, {FirstNumber(store) + 1, false, false});
    second.term_start_ms = kNow + 3 * kWindowMs + 4'000;
    second.Run(&store, &reported, kNow + 3 * kWindowMs + 4'500);
  }
  CHECK_FALSE(reported.has_contradiction);
}

// Guards against a write without an answer that is carried out after another
// write of the same window with different counts: its expected revision was
// given out again in the next era (incident ONE).
TEST_CASE_FIXTURE(FirstWindow, "a late write of usage in the next era") {
  const auto late = first.reporter.Next(kNow + 2 * kWindowMs + 1'000);
  const auto* write = std::get_if<UsageReporter::WriteState>(&*late);
  REQUIRE(write);

  SUBCASE("repeats the counts if its own coordinator goes on") {
    first.reporter.OnWrite(StoreStatus::kUnavailable, {});
    store.Restore();
    first.reporter.ContinueTerm(FirstNumber(store));
    ++first.count;
    store.Write(kUsage, write->expected, write->value);
    first.Run(&store, &reported, kNow + 2 * kWindowMs + 2'000);
    REQUIRE(reported.windows.contains(200'001));
    CHECK(reported.windows[200'001] == UsageCounts{{"w", 100}});
  }
  SUBCASE("is not trusted by a later coordinator") {
    Reporter second(99, {FirstNumber(store) + 1, false, false});
    second.Run(&store, &reported, kNow + 2 * kWindowMs + 4'500);
    REQUIRE(reported.windows.contains(200'001));
    store.Restore();
    store.Write(kUsage, write->expected, write->value);
    Reporter third(98, {FirstNumber(store), true, false});
    third.era_known_since_ms = kNow + 2 * kWindowMs + 4'600;
    third.Run(&store, &reported, kNow + 2 * kWindowMs + 4'800);
  }
  CHECK_FALSE(reported.has_contradiction);
}

// Guards against a report that is read while the store returns and is judged by
// the number of the term before: it was trusted, and what had been sent since
// was summed again (incident ONE, found in its review).
TEST_CASE_FIXTURE(FirstWindow, "usage that is read when the store returns") {
  first.Run(&store, &reported, kNow + 2 * kWindowMs + 1'000);
  Reporter second(99, {FirstNumber(store) + 1, false, false});
  second.era_known_since_ms = kNow + 2 * kWindowMs + 4'000;
  REQUIRE(second.reporter.Next(kNow + 2 * kWindowMs + 3'900));
  store.Restore();
  const auto answer = store.Read(kUsage);
  second.reporter.OnRead(answer.status, answer.object);
  second.term_start_ms = kNow + 2 * kWindowMs + 4'000;
  second.reporter.ContinueTerm(FirstNumber(store));
  second.Run(&store, &reported, kNow + 2 * kWindowMs + 4'800);
  second.Run(&store, &reported, kNow + 3 * kWindowMs + 1'000);
  CHECK_FALSE(reported.has_contradiction);
  CHECK(reported.windows.contains(200'002));
}

// Guards against a window that is reported again because its report in the
// present era was replaced by a late write of an earlier one (incident ONE,
// found in its review).
TEST_CASE_FIXTURE(FirstWindow,
                  "usage whose report is replaced by a late write") {
  const auto late = first.reporter.Next(kNow + 2 * kWindowMs + 1'000);
  store.Restore();
  Reporter second(99, {FirstNumber(store), true, false});
  second.era_known_since_ms = kNow + 2 * kWindowMs + 1'000;
  second.Run(&store, &reported, kNow + 3 * kWindowMs + 1'000);
  REQUIRE(reported.windows.contains(200'002));
  // Its revision was given out again for the present report.
  const auto& write = std::get<UsageReporter::WriteState>(*late);
  store.Write(kUsage, store.Read(kUsage).object.version, write.value);
  Reporter third(98, {FirstNumber(store) + 1, false, false});
  third.era_known_since_ms = second.era_known_since_ms;
  third.term_start_ms = kNow + 3 * kWindowMs + 4'000;
  third.Run(&store, &reported, kNow + 3 * kWindowMs + 4'900);
  CHECK_FALSE(reported.has_contradiction);
}

// Guards against a window that a coordinator of an earlier release, which does
// not store its number, reported in the present era and that is reported again
// (incident ONE, found in its review).
TEST_CASE("usage that an earlier release stored") {
  RestorableStore store;
  ReportedUsage reported;
  const auto store_without_number = [&](std::int64_t window) {
    const QCborMap counts{{"w", 100}};
    store.Write(
        kUsage, store.Read(kUsage).object.version,
        QCborValue(QCborArray{static_cast<qint64>(window), counts}).toCbor());
    reported.Add({window, {{"w", 100}}});
  };
  store_without_number(200'000);

  SUBCASE("is followed by the window in progress at the takeover") {
    store_without_number(200'001);
    // The lease holds a number of the release, which tells no era.
    Reporter second(99, {FirstNumber(store), true, false});
    second.era_known_since_ms = kNow;
    second.term_start_ms = kNow + 2 * kWindowMs + 4'000;
    second.Run(&store, &reported, kNow + 2 * kWindowMs + 4'900);
    second.Run(&store, &reported, kNow + 3 * kWindowMs + 1'000);
    CHECK(reported.windows.contains(200'002));
  }
  SUBCASE("is not repeated in a later era") {
    store.TakeSnapshot();
    store_without_number(200'001);
    store.Restore();
    Reporter second(99, {FirstNumber(store), true, false});
    second.term_start_ms = kNow + 2 * kWindowMs + 4'000;
    second.Run(&store, &reported, kNow + 2 * kWindowMs + 4'900);
  }
  CHECK_FALSE(reported.has_contradiction);
}

// Guards against two daemons that act with one fencing number: the store
// returned from a copy in which the number was not yet given out (incident
// ONE).
TEST_CASE("the lease when the store returns from an older copy") {
  RestorableStore store;
  LeaseElector first("first", {});
  LeaseElector second("second", {});
  LeaseElector third("third", {});
  first.SetFirstStart(true);
  Poll(&first, &store, kStart);
  REQUIRE(first.IsHolder());
  store.TakeSnapshot();
  auto now = kStart + Duration(10'000);
  Poll(&second, &store, kStart);
  Poll(&second, &store, now);
  REQUIRE(second.IsHolder());
  const auto number = second.fencing();

  SUBCASE("is not taken with a number that was given out before") {
    store.Restore();
    Poll(&third, &store, now);
    now += Duration(10'000);
    Poll(&third, &store, now);
    REQUIRE(third.IsHolder());
    CHECK(third.fencing() > number);
  }
  SUBCASE("is not acted on by its holder until it is renewed there") {
    store.Restore();
    now += Duration(2'000);
    const auto call = second.NextCall(now);
    REQUIRE(call);
    const auto answer = store.Write(kLease, call->expected, call->value);
    second.OnWrite(answer.status, answer.object.version, now);
    CHECK_FALSE(second.MayOrderFenced(now));
  }
}

}  // namespace firmoor
