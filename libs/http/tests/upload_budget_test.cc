#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>

#include "http/body_budget.h"

namespace firmoor {
namespace {

constexpr TimePoint kStart{Duration(1'000'000)};
constexpr std::size_t kBlock = BodyBudget::kMinUploadBytes;
constexpr std::size_t kMost = static_cast<std::size_t>(-1);

TimePoint At(int ms) { return kStart + Duration(ms); }

/// Uploads by their name, as connections hold them.
struct Uploads {
  std::shared_ptr<BodyBudget> budget = std::make_shared<BodyBudget>(
      BodyBudget::Limits{kMost, 4 * kBlock, kBlock});
  std::map<std::string, std::unique_ptr<BodyBudget::Share>> held;

  BodyBudget::Share& Add(const std::string& name, TimePoint now) {
    auto& share = held[name];
    share = std::make_unique<BodyBudget::Share>(budget);
    share->StartUpload([this, name] { return held.erase(name) > 0; }, now);
    return *share;
  }
};

}  // namespace

// Guards against bodies that stop just short of their end and are kept until
// the memory of the process runs out.
TEST_CASE("uploads that stand still give way to uploads that arrive") {
  Uploads uploads;
  REQUIRE(uploads.Add("old", At(0)).Grow(3 * kBlock, At(0)));
  REQUIRE(uploads.Add("new", At(300)).Grow(3 * kBlock, At(300)));
  auto& next = uploads.Add("next", At(400));
  REQUIRE(next.Grow(kBlock, At(400)));
  SUBCASE("not before they have stood still for a while") {
    CHECK_FALSE(next.Grow(kBlock, At(999)));
    CHECK(uploads.held.size() == 3);
  }
  SUBCASE("the one first that stands still for longest") {
    CHECK(next.Grow(kBlock, At(1'100)));
    CHECK_FALSE(uploads.held.contains("old"));
    CHECK(uploads.held.contains("new"));
    CHECK(uploads.budget->gave_way() == 1);
  }
  SUBCASE("the largest first of those that stopped together") {
    auto& larger = uploads.Add("larger", At(0));
    uploads.held.erase("new");
    REQUIRE(larger.Grow(3 * kBlock, At(0)));
    uploads.held["old"]->ShrinkTo(2 * kBlock);
    CHECK(next.Grow(2 * kBlock, At(1'100)));
    CHECK(uploads.held.contains("old"));
    CHECK_FALSE(uploads.held.contains("larger"));
  }
  SUBCASE("also if a few bytes arrive now and then") {
    uploads.held["old"]->ShrinkTo(3 * kBlock - 8);
    CHECK(uploads.held["old"]->Grow(4, At(500)));
    CHECK(uploads.held["old"]->Grow(4, At(900)));
    CHECK(next.Grow(kBlock, At(1'100)));
    CHECK_FALSE(uploads.held.contains("old"));
  }
  SUBCASE("unless they are whole and in work") {
    uploads.held["old"]->EndUpload();
    CHECK(next.Grow(kBlock, At(1'400)));
    CHECK(uploads.held.contains("old"));
    CHECK_FALSE(uploads.held.contains("new"));
  }
}

// Guards against uploads that all wait for memory and for one another.
TEST_CASE("uploads that wait for memory go on one at a time") {
  Uploads uploads;
  auto& first = uploads.Add("first", At(0));
  auto& second = uploads.Add("second", At(0));
  REQUIRE(first.Grow(3 * kBlock, At(0)));
  REQUIRE(second.Grow(3 * kBlock, At(0)));
  CHECK_FALSE(first.Grow(kBlock, At(10)));
  // The other one waits as well: nothing frees any memory.
  CHECK(second.Grow(kBlock, At(20)));
  CHECK(second.Grow(20 * kBlock, At(30)));
  CHECK_FALSE(first.Grow(kBlock, At(40)));
  SUBCASE("until that one's request has ended") {
    second.EndUpload();
    CHECK_FALSE(first.Grow(kBlock, At(2'000)));
    CHECK(uploads.held.contains("first"));
    uploads.held.erase("second");
    CHECK(first.Grow(20 * kBlock, At(2'010)));
  }
  SUBCASE("or it stands still") {
    CHECK(first.Grow(kBlock, At(1'100)));
    CHECK_FALSE(uploads.held.contains("second"));
  }
}

// Guards against uploads that are cut as too slow right after they waited.
TEST_CASE("an upload that waited is measured from when it goes on") {
  Uploads uploads;
  auto& first = uploads.Add("first", At(0));
  REQUIRE(first.Grow(4 * kBlock, At(0)));
  auto exempt = std::make_unique<BodyBudget::Share>(uploads.budget);
  first.EndUpload();
  REQUIRE(exempt->Grow(9 * kBlock, At(0)));
  auto& waiting = uploads.Add("waiting", At(0));
  REQUIRE(waiting.Grow(kBlock, At(0)));
  CHECK_FALSE(waiting.Grow(100, At(100)));
  exempt.reset();
  uploads.held.erase("first");
  CHECK(waiting.Grow(100, At(5'000)));
  auto& other = uploads.Add("other", At(5'000));
  CHECK_FALSE(other.Grow(6 * kBlock, At(5'010)));
  CHECK(uploads.held.contains("waiting"));
}

// Guards against large uploads that keep ordinary requests out.
TEST_CASE("small requests need nothing of what uploads share") {
  Uploads uploads;
  REQUIRE(uploads.Add("large", At(0)).Grow(5 * kBlock, At(0)));
  auto& small = uploads.Add("small", At(0));
  CHECK(small.Grow(kBlock, At(0)));
  CHECK_FALSE(small.Grow(1, At(0)));
  SUBCASE("and memory that is given back is there at once") {
    uploads.held["large"]->ShrinkTo(4 * kBlock);
    CHECK(uploads.budget->shared_bytes_in_use() == 3 * kBlock);
    CHECK(small.Grow(1, At(0)));
  }
}

}  // namespace firmoor
