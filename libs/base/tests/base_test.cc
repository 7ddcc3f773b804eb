#include <doctest/doctest.h>
#include <fmt/format.h>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <algorithm>
#include <fstream>
#include <iterator>
#include <vector>

#include "base/error.h"
#include "base/hash.h"
#include "base/result_code.h"
#include "base/supervisor.h"

namespace firmoor {

TEST_CASE("the result-code table") {
  SUBCASE("is ordered by number") {
    const auto table = ResultCodeTable();
    CHECK(std::is_sorted(
        table.begin(), table.end(),
        [](const auto& a, const auto& b) { return a.code < b.code; }));
  }
  SUBCASE("matches the errors page") {
    std::ifstream file(FIRMOOR_ERRORS_PAGE);
    const std::string page((std::istreambuf_iterator<char>(file)), {});
    for (const auto& info : ResultCodeTable()) {
      const auto row = fmt::format(
          "| {} | `{}` | {} | {} | {} |", static_cast<int>(info.code),
          info.name, info.http_status, info.exit_code, info.meaning);
      CAPTURE(row);
      CHECK(page.find(row) != std::string::npos);
    }
  }
}

TEST_CASE("a captured failure keeps its code and message") {
  const auto outcome = Capture([]() -> Result<int> {
    return Fail(ResultCode::kInvalidPatch, "no such service");
  });
  CHECK(std::get<Error>(outcome) ==
        Error{ResultCode::kInvalidPatch, "no such service"});
}

TEST_CASE("rendezvous order") {
  const std::vector<std::string> names = {"a", "b", "c", "d"};
  const auto order = RendezvousOrder("key", names);
  SUBCASE("is the same for any order of the names") {
    CHECK(RendezvousOrder("key", {"d", "c", "b", "a"}) == order);
  }
  SUBCASE("is unchanged for the others when a name is removed") {
    auto expected = order;
    expected.erase(expected.begin());
    auto rest = names;
    std::erase(rest, order.front());
    CHECK(RendezvousOrder("key", rest) == expected);
  }
}

TEST_CASE("a supervisor") {
  std::vector<std::string> events;
  bool second_starts = true;
  std::string gave_up;
  const auto part = [&](const std::string& name, bool* starts) {
    return Supervisor::Part{
        name,
        [&events, name, starts] {
          events.push_back("start " + name);
          return starts == nullptr || *starts;
        },
        [&events, name] { events.push_back("stop " + name); }};
  };
  const auto supervisor =
      Supervisor::Builder("root")
          .Part(part("first", nullptr))
          .Part(part("second", &second_starts))
          .RestartBudget(1)
          .OnGiveUp([&](const std::string& name) { gave_up = name; })
          .Build();
  const auto wait = [](int ms) {
    QElapsedTimer timer;
    timer.start();
    while (timer.elapsed() < ms) {
      QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
    }
  };

  SUBCASE("starts in order and stops in reverse") {
    REQUIRE(supervisor->Start());
    supervisor->Stop();
    CHECK(events == std::vector<std::string>{"start first", "start second",
                                             "stop second", "stop first"});
  }
  SUBCASE("stops what it started when a part cannot start") {
    second_starts = false;
    CHECK_FALSE(supervisor->Start());
    CHECK(events.back() == "stop first");
  }
  SUBCASE("starts a part later that may be retried, and then those behind") {
    bool is_busy = true;
    std::vector<Supervisor::Retry> retries;
    auto busy = part("busy", nullptr);
    busy.start = [&] { return !is_busy; };
    busy.may_retry = [] { return true; };
    const auto waiting = Supervisor::Builder("waiting")
                             .Part(part("first", nullptr))
                             .Part(busy)
                             .Part(part("last", nullptr))
                             .OnRetry([&](const Supervisor::Retry& retry) {
                               retries.push_back(retry);
                             })
                             .Build();
    REQUIRE(waiting->Start());
    wait(250);
    CHECK(retries.size() >= 2);
    CHECK(retries.back().part == "busy");
    CHECK_FALSE(waiting->IsStarted());
    CHECK(events == std::vector<std::string>{"start first"});
    SUBCASE("when it can") {
      is_busy = false;
      wait(1'100);
      CHECK(waiting->IsStarted());
      CHECK(events.back() == "start last");
    }
    SUBCASE("unless it is stopped before") {
      waiting->Stop();
      is_busy = false;
      wait(1'100);
      CHECK(events.back() == "stop first");
    }
  }
  SUBCASE("restarts a failed part and then gives up") {
    REQUIRE(supervisor->Start());
    supervisor->ReportFailure("second");
    wait(200);
    CHECK(events.back() == "start second");
    supervisor->ReportFailure("second");
    CHECK(gave_up == "second");
  }
}

}  // namespace firmoor
