#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "gateway_world.h"

namespace firmoor {
namespace {

/// An engine that tells a load and answers streams with one event.
class LoadedEngine {
 public:
  explicit LoadedEngine(std::string load)
      : load_(std::move(load)), upstream_([this](auto& connection) {
          if (connection.received.find("GET /report") != std::string::npos) {
            ++questions_;
            return Answer(connection, "200 OK", load_);
          }
          ++requests_;
          Answer(connection, "200 OK", Event(1));
        }) {}

  [[nodiscard]] const RawUpstream& upstream() const { return upstream_; }
  [[nodiscard]] int questions() const { return questions_; }
  [[nodiscard]] int requests() const { return requests_; }

 private:
  std::string load_;
  int questions_ = 0;
  int requests_ = 0;
  RawUpstream upstream_;
};

/// Streams that fill an engine, so that slots are scarce by what this daemon
/// sees.
struct Occupied {
  RawUpstream holder{
      [](auto& connection) { StartEvents(connection, Event(1)); }};
  std::vector<std::unique_ptr<RawClient>> callers;

  explicit Occupied(World* world) {
    world->Add("holder", holder);
    for (int i = 0; i < 4; ++i) {
      callers.push_back(world->Ask("stream"));
      REQUIRE(callers.back()->WaitFor("id: 1"));
    }
  }
};

}  // namespace

TEST_CASE("engines that other daemons keep busy") {
  World world;
  Occupied occupied(&world);

  SUBCASE("are asked, and the request goes to the one with a free slot") {
    LoadedEngine full("4/9");
    LoadedEngine free("1/0");
    world.Add("full", full.upstream());
    world.Add("free", free.upstream());
    for (int i = 0; i < 4; ++i) {
      const auto caller = world.Ask("stream");
      REQUIRE(caller->WaitFor("id: 1"));
    }
    CHECK(full.questions() > 0);
    CHECK(full.requests() == 0);
    CHECK(free.requests() == 4);
  }
  SUBCASE("are not sent what they could not begin in time (overload)") {
    LoadedEngine full("4/9");
    world.Add("full", full.upstream());
    const auto caller = world.Ask("stream");
    REQUIRE(caller->WaitFor("\r\n\r\n"));
    CHECK(caller->Received().find("503") != std::string::npos);
    CHECK(caller->Received().find("overloaded") != std::string::npos);
    CHECK(caller->Received().find("Retry-After") != std::string::npos);
    CHECK(full.requests() == 0);
  }
  SUBCASE("get requests all the same when they tell nothing") {
    LoadedEngine silent("away");
    world.Add("silent", silent.upstream());
    const auto caller = world.Ask("stream");
    REQUIRE(caller->WaitFor("id: 1"));
  }
}

}  // namespace firmoor
