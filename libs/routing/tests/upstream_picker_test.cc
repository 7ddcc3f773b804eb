#include "routing/upstream_picker.h"

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace firmoor {
namespace {

const TimePoint kStart{Duration(100'000)};

UpstreamEntry Entry(std::string id, std::string service, std::string zone) {
  UpstreamEntry entry;
  entry.id = std::move(id);
  entry.service = std::move(service);
  entry.availability_zone = std::move(zone);
  entry.endpoint = {"10.0.0.1", 80};
  entry.slots = 8;
  return entry;
}

struct Fixture {
  UpstreamPicker picker{
      {"east", {{"east", "r1"}, {"west", "r1"}, {"far", "r2"}}}};
  std::map<std::string, UpstreamEntry> entries;

  Fixture() {
    ServiceProfile engine;
    engine.name = "engine";
    engine.engine = EngineProfile{};
    ServiceProfile plain;
    plain.name = "plain";
    picker.SetServices({engine, plain});
  }
  void Add(const UpstreamEntry& entry) {
    entries[entry.id] = entry;
    picker.SetUpstreams(entries);
  }
  std::string Pick(const PickRequest& request, TimePoint now = kStart) {
    const auto picked = picker.Pick(request, now);
    return picked ? picked->id : "none";
  }
};

PickRequest Plain() {
  PickRequest request;
  request.service = "plain";
  return request;
}

PickRequest Prompt(std::uint64_t shared, std::uint64_t own) {
  PickRequest request;
  request.service = "engine";
  request.chunks = {{shared, 13'000}, {own, 3'000}};
  request.prompt_tokens = 16'000;
  return request;
}

}  // namespace

TEST_CASE("a plain request") {
  Fixture fixture;
  fixture.Add(Entry("near", "plain", "east"));
  fixture.Add(Entry("beside", "plain", "west"));
  fixture.Add(Entry("far", "plain", "far"));

  SUBCASE("goes to the nearest upstream") {
    CHECK(fixture.Pick(Plain()) == "near");
  }
  SUBCASE("goes to another zone of the region when the local one is busier") {
    auto one = fixture.picker.OnSend("near", Plain());
    CHECK(fixture.Pick(Plain()) == "beside");
    fixture.picker.OnEnd(&one, UpstreamOutcome::kSuccess, kStart);
    CHECK(fixture.Pick(Plain()) == "near");
  }
  SUBCASE("is not sent to an upstream that was tried or is leaving") {
    auto request = Plain();
    request.exclude = {"near"};
    CHECK(fixture.Pick(request) == "beside");
    auto leaving = Entry("beside", "plain", "west");
    leaving.leaving = true;
    fixture.Add(leaving);
    CHECK(fixture.Pick(request) == "far");
  }
  SUBCASE("is not sent when all upstreams are at capacity") {
    for (int i = 0; i < 16; ++i) {
      for (const auto* id : {"near", "beside", "far"}) {
        fixture.picker.OnSend(id, Plain());
      }
    }
    CHECK(fixture.Pick(Plain()) == "none");
  }
}

TEST_CASE("a service that moves to another software version") {
  Fixture fixture;
  auto entry = Entry("old", "engine", "east");
  entry.software_version = "v1";
  fixture.Add(entry);
  entry = Entry("new", "engine", "far");
  entry.software_version = "v2";
  fixture.Add(entry);
  auto request = Prompt(1, 2);

  SUBCASE("avoids a version") {
    request.versions.avoid = "v1";
    CHECK(fixture.Pick(request) == "new");
  }
  SUBCASE("uses one version only") {
    request.versions.only = "v2";
    CHECK(fixture.Pick(request) == "new");
    request.exclude = {"new"};
    CHECK(fixture.Pick(request) == "none");
  }
  SUBCASE("uses some upstreams only") {
    request.versions.among = {"new"};
    CHECK(fixture.Pick(request) == "new");
  }
}

TEST_CASE("a stream that a software version began") {
  Fixture fixture;
  auto entry = Entry("old", "engine", "far");
  entry.software_version = "v1";
  entry.slots = 1;
  fixture.Add(entry);
  entry = Entry("new", "engine", "east");
  entry.software_version = "v2";
  fixture.Add(entry);
  auto request = Prompt(1, 2);
  CHECK(fixture.Pick(request) == "new");
  request.version = "v1";

  SUBCASE("goes on at an upstream of that version only") {
    CHECK(fixture.Pick(request) == "old");
    request.exclude = {"old"};
    CHECK(fixture.Pick(request) == "none");
    request.exclude = {};
    request.version = "v3";
    CHECK(fixture.Pick(request) == "none");
    CHECK_FALSE(fixture.picker.HasVersion("engine", "v3"));
  }
  SUBCASE("goes on there even if new requests have taken all slots") {
    fixture.picker.OnSend("old", Prompt(3, 4));
    CHECK(fixture.Pick(request) == "old");
    // A request that runs elsewhere is not given up for a full upstream.
    CHECK_FALSE(fixture.picker.HasUpstreamFor(request, kStart));
    request.version.reset();
    request.exclude = {"new"};
    CHECK(fixture.Pick(request) == "none");
  }
  SUBCASE("ends when the last upstream of the version leaves") {
    fixture.entries["old"].leaving = true;
    fixture.picker.SetUpstreams(fixture.entries);
    CHECK_FALSE(fixture.picker.HasVersion("engine", "v1"));
    CHECK(fixture.Pick(request) == "none");
  }
}

TEST_CASE("a paused upstream") {
  Fixture fixture;
  fixture.Add(Entry("near", "plain", "east"));
  fixture.Add(Entry("beside", "plain", "west"));
  const auto paused_until = kStart + Duration(2'000);
  fixture.picker.Pause("near", 0, paused_until, kStart);

  SUBCASE("receives no requests, and others take over") {
    CHECK(fixture.Pick(Plain()) == "beside");
    CHECK_FALSE(fixture.picker.NextAvailableTime("plain", kStart));
  }
  SUBCASE("receives none even if all others are paused or ejected") {
    fixture.picker.Pause("beside", 0, kStart + Duration(900), kStart);
    CHECK(fixture.Pick(Plain()) == "none");
    CHECK(fixture.picker.NextAvailableTime("plain", kStart) ==
          kStart + Duration(900));
    CHECK(fixture.Pick(Plain(), kStart + Duration(900)) == "beside");
  }
  SUBCASE("receives requests again after the pause") {
    CHECK(fixture.Pick(Plain(), paused_until - Duration(1)) == "beside");
    CHECK(fixture.Pick(Plain(), paused_until) == "near");
  }
  SUBCASE("is not resumed early by a shorter pause") {
    fixture.picker.Pause("near", 0, kStart + Duration(100), kStart);
    CHECK(fixture.Pick(Plain(), kStart + Duration(500)) == "beside");
  }
  SUBCASE("stays paused if its entry was removed and added again") {
    fixture.entries.erase("near");
    fixture.picker.SetUpstreams(fixture.entries);
    fixture.Add(Entry("near", "plain", "east"));
    CHECK(fixture.Pick(Plain()) == "beside");
  }
  SUBCASE("is not paused as a new instance") {
    auto restarted = Entry("near", "plain", "east");
    restarted.born_ms = 7;
    fixture.Add(restarted);
    CHECK(fixture.Pick(Plain()) == "near");
  }
}

TEST_CASE("an upstream that fails requests while its health check is good") {
  Fixture fixture;
  fixture.Add(Entry("near", "plain", "east"));
  fixture.Add(Entry("beside", "plain", "west"));
  const auto fail = [&](const char* id, UpstreamOutcome outcome) {
    auto ticket = fixture.picker.OnSend(id, Plain());
    fixture.picker.OnEnd(&ticket, outcome, kStart);
  };

  SUBCASE("is ejected after consecutive failures") {
    for (int i = 0; i < 3; ++i) fail("near", UpstreamOutcome::kFailed);
    CHECK(fixture.Pick(Plain()) == "near");
    fail("near", UpstreamOutcome::kFailed);
    CHECK(fixture.Pick(Plain()) == "beside");
    SUBCASE("and tried again after the ejection time") {
      CHECK(fixture.Pick(Plain(), kStart + Duration(1'000)) == "near");
    }
  }
  SUBCASE("is ejected immediately when it is unreachable") {
    fail("near", UpstreamOutcome::kUnreachable);
    CHECK(fixture.Pick(Plain()) == "beside");
    SUBCASE("but used when all are ejected") {
      fail("beside", UpstreamOutcome::kUnreachable);
      CHECK(fixture.Pick(Plain()) == "near");
    }
  }
  SUBCASE("is not ejected for the usual failure rate of the service") {
    for (int i = 0; i < 40; ++i) {
      fail("near",
           i % 7 == 0 ? UpstreamOutcome::kFailed : UpstreamOutcome::kSuccess);
    }
    CHECK(fixture.Pick(Plain()) == "near");
  }
}

TEST_CASE("prompts with a common prefix (hot prefixes, many daemons)") {
  Fixture fixture;
  Fixture other;
  for (int i = 0; i < 6; ++i) {
    const auto entry = Entry("e" + std::to_string(i), "engine", "east");
    fixture.Add(entry);
    other.Add(entry);
  }

  SUBCASE("go to the same engine from all daemons without coordination") {
    for (std::uint64_t shared = 1; shared <= 50; ++shared) {
      CHECK(fixture.Pick(Prompt(shared, 1'000 + shared)) ==
            other.Pick(Prompt(shared, 2'000 + shared)));
    }
  }
  SUBCASE("are spread over the engines") {
    std::map<std::string, int> counts;
    for (std::uint64_t shared = 1; shared <= 600; ++shared) {
      ++counts[fixture.Pick(Prompt(shared, shared + 10'000))];
    }
    CHECK(counts.size() == 6);
    for (const auto& [id, count] : counts) CHECK(count > 50);
  }
  SUBCASE("keep their engine when another one is removed") {
    std::map<std::uint64_t, std::string> homes;
    for (std::uint64_t shared = 1; shared <= 50; ++shared) {
      homes[shared] = fixture.Pick(Prompt(shared, 1));
    }
    fixture.entries.erase("e3");
    fixture.picker.SetUpstreams(fixture.entries);
    for (const auto& [shared, home] : homes) {
      if (home != "e3") CHECK(fixture.Pick(Prompt(shared, 1)) == home);
    }
  }
  SUBCASE("go elsewhere when their engine has a long prefill queue") {
    const auto home = fixture.Pick(Prompt(1, 1));
    std::set<std::string> used;
    for (std::uint64_t own = 2; own < 40; ++own) {
      const auto id = fixture.Pick(Prompt(1, own));
      used.insert(id);
      fixture.picker.OnSend(id, Prompt(1, own));
    }
    CHECK(used.contains(home));
    CHECK(used.size() > 1);
  }
}

TEST_CASE("an upstream that announces a rate limit") {
  Fixture fixture;
  UpstreamPermits permits;
  permits.SetDaemonCount(1);
  fixture.picker.LimitBy(&permits);
  fixture.Add(Entry("near", "plain", "east"));
  fixture.Add(Entry("far", "plain", "far"));
  REQUIRE(fixture.Pick(Plain()) == "near");
  permits.OnResponse("near", 0, 1, kStart);
  const auto later = kStart + Duration(1'000);

  SUBCASE("is passed over without a permit, and chosen with one") {
    std::vector<UpstreamEntry> without_permit;
    const auto picked = fixture.picker.Pick(Plain(), kStart, &without_permit);
    REQUIRE(picked);
    CHECK(picked->id == "far");
    REQUIRE(without_permit.size() == 1);
    CHECK(without_permit[0].id == "near");
    CHECK(fixture.Pick(Plain(), later) == "near");
    CHECK(permits.TryTake("near", 0, later));
    CHECK(fixture.Pick(Plain(), later) == "far");
  }
  SUBCASE("counts requests for which it would have been the best choice") {
    for (int i = 0; i < 8; ++i) fixture.Pick(Plain());
    CHECK(permits.Report(later).upstreams.at("near").wanted_per_s > 1);
  }
  SUBCASE("opens with its next permit when all others are unavailable") {
    CHECK_FALSE(fixture.picker.NextAvailableTime("plain", kStart));
    permits.OnResponse("far", 0, 0.5, kStart);
    CHECK(fixture.Pick(Plain()) == "none");
    CHECK(fixture.picker.NextAvailableTime("plain", kStart) == later);
    CHECK(fixture.picker.PermitRate("plain", kStart) == 1.5);
    fixture.picker.Pause("near", 0, kStart + Duration(9'000), kStart);
    CHECK(fixture.picker.NextAvailableTime("plain", kStart) ==
          kStart + Duration(2'000));
  }
  SUBCASE("is not asked for its load") {
    fixture.Add(Entry("engine", "engine", "east"));
    for (int i = 0; i < 4; ++i) {
      fixture.picker.OnSend("engine", Prompt(1, 2));
    }
    CHECK(fixture.picker.EnginesToProbe(Prompt(1, 2), 8, kStart).size() == 1);
    permits.OnResponse("engine", 0, 1, kStart);
    CHECK(fixture.picker.EnginesToProbe(Prompt(1, 2), 8, kStart).empty());
  }
}

}  // namespace firmoor
