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
  SUBCASE("goes to another zone of the region when the own one is busier") {
    auto one = fixture.picker.OnSend("near", Plain());
    CHECK(fixture.Pick(Plain()) == "beside");
    fixture.picker.OnEnd(&one, UpstreamOutcome::kSuccess, kStart);
    CHECK(fixture.Pick(Plain()) == "near");
  }
  SUBCASE("is not sent to an upstream that was tried or that leaves") {
    auto request = Plain();
    request.exclude = {"near"};
    CHECK(fixture.Pick(request) == "beside");
    auto leaving = Entry("beside", "plain", "west");
    leaving.leaving = true;
    fixture.Add(leaving);
    CHECK(fixture.Pick(request) == "far");
  }
  SUBCASE("has nowhere to go when all have all that they can take") {
    for (int i = 0; i < 16; ++i) {
      for (const auto* id : {"near", "beside", "far"}) {
        fixture.picker.OnSend(id, Plain());
      }
    }
    CHECK(fixture.Pick(Plain()) == "none");
  }
}

TEST_CASE("an upstream that wants no requests for a while") {
  Fixture fixture;
  fixture.Add(Entry("near", "plain", "east"));
  fixture.Add(Entry("beside", "plain", "west"));
  const auto opens = kStart + Duration(2'000);
  fixture.picker.Pause("near", 0, opens, kStart);

  SUBCASE("gets none, and others take the work") {
    CHECK(fixture.Pick(Plain()) == "beside");
    CHECK_FALSE(fixture.picker.NextAvailableTime("plain", kStart));
  }
  SUBCASE("gets none also when all others are closed or left out") {
    fixture.picker.Pause("beside", 0, kStart + Duration(900), kStart);
    CHECK(fixture.Pick(Plain()) == "none");
    CHECK(fixture.picker.NextAvailableTime("plain", kStart) ==
          kStart + Duration(900));
    CHECK(fixture.Pick(Plain(), kStart + Duration(900)) == "beside");
  }
  SUBCASE("is open again when the time is over") {
    CHECK(fixture.Pick(Plain(), opens - Duration(1)) == "beside");
    CHECK(fixture.Pick(Plain(), opens) == "near");
  }
  SUBCASE("stays closed when it names an earlier time later") {
    fixture.picker.Pause("near", 0, kStart + Duration(100), kStart);
    CHECK(fixture.Pick(Plain(), kStart + Duration(500)) == "beside");
  }
  SUBCASE("stays closed when its entry was gone for a while") {
    fixture.entries.erase("near");
    fixture.picker.SetUpstreams(fixture.entries);
    fixture.Add(Entry("near", "plain", "east"));
    CHECK(fixture.Pick(Plain()) == "beside");
  }
  SUBCASE("is open in its next life") {
    auto reborn = Entry("near", "plain", "east");
    reborn.born_ms = 7;
    fixture.Add(reborn);
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

  SUBCASE("is left out after some failures in a row") {
    for (int i = 0; i < 3; ++i) fail("near", UpstreamOutcome::kFailed);
    CHECK(fixture.Pick(Plain()) == "near");
    fail("near", UpstreamOutcome::kFailed);
    CHECK(fixture.Pick(Plain()) == "beside");
    SUBCASE("and tried again after a time") {
      CHECK(fixture.Pick(Plain(), kStart + Duration(1'000)) == "near");
    }
  }
  SUBCASE("is left out at once when it cannot be reached") {
    fail("near", UpstreamOutcome::kUnreachable);
    CHECK(fixture.Pick(Plain()) == "beside");
    SUBCASE("but used when all are left out") {
      fail("beside", UpstreamOutcome::kUnreachable);
      CHECK(fixture.Pick(Plain()) == "near");
    }
  }
  SUBCASE("is not left out for failures that are usual for the service") {
    for (int i = 0; i < 40; ++i) {
      fail("near",
           i % 7 == 0 ? UpstreamOutcome::kFailed : UpstreamOutcome::kSuccess);
    }
    CHECK(fixture.Pick(Plain()) == "near");
  }
}

TEST_CASE("prompts that share a part (hot prefixes, many daemons)") {
  Fixture fixture;
  Fixture other;
  for (int i = 0; i < 6; ++i) {
    const auto entry = Entry("e" + std::to_string(i), "engine", "east");
    fixture.Add(entry);
    other.Add(entry);
  }

  SUBCASE("go to the same engine from all daemons without talking") {
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
  SUBCASE("keep their engine when another one goes") {
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
  SUBCASE("go elsewhere when their engine has much to read already") {
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

}  // namespace firmoor
