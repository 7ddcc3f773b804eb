#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "routing/upstream_picker.h"

namespace firmoor {
namespace {

/// A daemon whose callers send requests of one kind at a constant rate to a
/// service, whose upstreams each take a time that the test sets.
class Traffic {
 public:
  /// Time of a request in ms, by upstream and requests there.
  using TimeAt = std::function<int(const std::string&, std::int64_t)>;

  Traffic(int upstreams, std::int64_t slots, bool learned)
      : picker_({"east", {{"east", "r1"}}}, OptionsFor(learned)) {
    ServiceProfile plain;
    plain.name = "plain";
    picker_.SetServices({plain});
    std::map<std::string, UpstreamEntry> entries;
    for (int i = 0; i < upstreams; ++i) {
      UpstreamEntry entry;
      entry.id = std::string(1, static_cast<char>('a' + i));
      entry.service = "plain";
      entry.availability_zone = "east";
      entry.slots = slots;
      entries[entry.id] = entry;
    }
    picker_.SetUpstreams(entries);
  }

  /// Sends a request each `interval_ms` for `time_ms`.
  void Run(int interval_ms, int time_ms, const TimeAt& time_at) {
    choices_.clear();
    times_.clear();
    for (int at = 0; at < time_ms; ++at) {
      now_ += Duration(1);
      EndDue();
      if (at % interval_ms == 0) Send(time_at);
    }
  }

  /// Share of the requests of the last run that `id` got.
  [[nodiscard]] double ShareOf(const std::string& id) const {
    return static_cast<double>(
               std::count(choices_.begin(), choices_.end(), id)) /
           static_cast<double>(choices_.size());
  }
  [[nodiscard]] int Percentile(int percent) const {
    auto sorted = times_;
    std::sort(sorted.begin(), sorted.end());
    return sorted.at(sorted.size() * static_cast<std::size_t>(percent) / 100);
  }
  [[nodiscard]] const std::vector<std::string>& choices() const {
    return choices_;
  }

 private:
  struct Running {
    TimePoint ends;
    PickTicket ticket;
  };

  static UpstreamPicker::Options OptionsFor(bool learned) {
    UpstreamPicker::Options options;
    options.learned_capacity = learned;
    return options;
  }

  void EndDue() {
    std::erase_if(running_, [this](Running& running) {
      if (running.ends > now_) return false;
      picker_.OnEnd(&running.ticket, UpstreamOutcome::kSuccess, now_);
      return true;
    });
  }

  void Send(const TimeAt& time_at) {
    PickRequest request;
    request.service = "plain";
    const auto picked = picker_.Pick(request, now_);
    choices_.push_back(picked ? picked->id : "none");
    if (!picked) return;
    auto ticket = picker_.OnSend(picked->id, request, now_);
    const int time = time_at(picked->id, picker_.InFlight(picked->id));
    times_.push_back(time);
    running_.push_back({now_ + Duration(time), std::move(ticket)});
  }

  UpstreamPicker picker_;
  TimePoint now_{Duration(1'000'000)};
  std::vector<Running> running_;
  std::vector<std::string> choices_;
  std::vector<int> times_;
};

const Traffic::TimeAt kEven = [](const std::string&, std::int64_t) {
  return 40;
};

}  // namespace

// Guards against learned differences that change the choice where there are
// none.
TEST_CASE("even upstreams are chosen as without learning") {
  Traffic learned(6, 6, true);
  Traffic plain(6, 6, false);
  int count = 0;
  const auto scatter = [](int* requests) {
    return [requests](const std::string&, std::int64_t) {
      return 34 + (*requests)++ * 7 % 13;
    };
  };
  learned.Run(5, 10'000, scatter(&count));
  count = 0;
  plain.Run(5, 10'000, scatter(&count));
  CHECK(learned.choices() == plain.choices());
}

TEST_CASE("servers of two speeds at moderate load") {
  const Traffic::TimeAt two_speeds = [](const std::string& id, std::int64_t) {
    return id <= "c" ? 40 : 120;
  };
  Traffic learned(6, 6, true);
  Traffic plain(6, 6, false);
  for (auto* traffic : {&learned, &plain}) {
    traffic->Run(8, 10'000, two_speeds);
    traffic->Run(8, 10'000, two_speeds);
  }
  CHECK(learned.ShareOf("a") > 2 * learned.ShareOf("f"));
  CHECK(learned.Percentile(75) < plain.Percentile(75));
  CHECK(learned.ShareOf("none") == 0);
  SUBCASE("the slow ones still get some, and more as the load grows") {
    CHECK(learned.ShareOf("f") > 0);
    const double before = learned.ShareOf("f");
    learned.Run(2, 5'000, two_speeds);
    CHECK(learned.ShareOf("f") > before);
    CHECK(learned.ShareOf("none") == 0);
  }
  SUBCASE("all get their share again when they are equally fast") {
    learned.Run(8, 30'000, kEven);
    learned.Run(8, 10'000, kEven);
    CHECK(learned.ShareOf("f") > 0.1);
  }
}

TEST_CASE("a server that slows down at 60 % of its slots") {
  const Traffic::TimeAt knee = [](const std::string& id,
                                  std::int64_t in_flight) {
    return id == "a" && in_flight > 6 ? 160 : 40;
  };
  Traffic learned(3, 10, true);
  Traffic plain(3, 10, false);
  for (auto* traffic : {&learned, &plain}) {
    // 20 of 30 slots in use.
    traffic->Run(2, 10'000, knee);
    traffic->Run(2, 10'000, knee);
  }
  CHECK(learned.Percentile(95) < 160);
  CHECK(plain.Percentile(95) == 160);
  CHECK(learned.ShareOf("a") > 0.15);
  SUBCASE("takes more rather than that requests are refused") {
    learned.Run(1, 3'000, knee);
    CHECK(learned.ShareOf("none") == 0);
  }
}

TEST_CASE("a server that is slow for six seconds") {
  const Traffic::TimeAt pause = [](const std::string& id, std::int64_t) {
    return id == "a" ? 300 : 40;
  };
  Traffic learned(6, 6, true);
  learned.Run(8, 10'000, kEven);
  learned.Run(8, 6'000, pause);
  CHECK(learned.Percentile(95) == 40);
  CHECK(learned.ShareOf("a") > 0);
  learned.Run(8, 4'000, kEven);
  learned.Run(8, 4'000, kEven);
  CHECK(learned.ShareOf("a") > 0.1);
}

// Guards against the last answers of an instance that are taken for those of
// the one that started under its id.
TEST_CASE("a slow instance is replaced while it still answers") {
  std::map<std::string, UpstreamEntry> entries;
  for (const char* id : {"a", "b", "c"}) {
    UpstreamEntry entry;
    entry.id = id;
    entry.service = "plain";
    entry.born_ms = 1;
    entry.slots = 6;
    entry.availability_zone = "east";
    entries.emplace(id, entry);
  }
  UpstreamPicker picker({"east", {}});
  picker.SetUpstreams(entries);
  PickRequest request;
  request.service = "plain";
  TimePoint now(Duration(1'000'000));
  const auto answer = [&](PickTicket* ticket, int time_ms) {
    picker.OnEnd(ticket, UpstreamOutcome::kSuccess, now + Duration(time_ms));
  };
  for (int i = 0; i < 60; ++i) {
    for (const char* id : {"a", "b", "c"}) {
      auto ticket = picker.OnSend(id, request, now);
      answer(&ticket, 40);
    }
    now += Duration(50);
  }
  constexpr int kLate = 6;
  std::vector<PickTicket> late;
  late.reserve(kLate);
  for (int i = 0; i < kLate; ++i) {
    late.push_back(picker.OnSend("a", request, now));
  }
  entries.at("a").born_ms = 2;
  picker.SetUpstreams(entries);
  for (auto& ticket : late) answer(&ticket, 400);
  CHECK(picker.TakeCapacityChanges().empty());
}

TEST_CASE("all servers are slow for some seconds") {
  Traffic learned(6, 6, true);
  learned.Run(8, 10'000, kEven);
  learned.Run(16, 4'000, [](const std::string&, std::int64_t) { return 200; });
  for (const auto* id : {"a", "b", "c", "d", "e", "f"}) {
    CHECK(learned.ShareOf(id) > 0.1);
  }
  CHECK(learned.ShareOf("none") == 0);
}

}  // namespace firmoor
