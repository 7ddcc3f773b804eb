#include <doctest/doctest.h>
#include <fmt/format.h>

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "resumption/stream_version_book.h"

namespace firmoor {
namespace {

constexpr Duration kLong{60'000};
constexpr TimePoint kStart{Duration(1'000'000)};
constexpr TimePoint kNow = kStart + kLong;
const StreamRecord kRecord{"key", "s", "one", Duration(10'000)};

using Deliveries = StreamVersionBook::Deliveries;

PeerAddress Peer(std::size_t i) {
  return {fmt::format("daemon{}", i),
          fmt::format("zone{}", i % 3),
          {"127.0.0.1", 1}};
}

/// A daemon of a fleet of ten that has seen one version for a minute.
StreamVersionBook BookOf(const std::string& daemon) {
  StreamVersionBook book(daemon, kStart);
  for (std::size_t i = 0; i < 10; ++i) book.directory().Add(Peer(i));
  book.OnCatalog({{"s", {"one"}}}, kStart);
  book.OnCatalogConfirmed(kNow);
  return book;
}

/// The first daemon by name that holds, or does not hold, the key.
std::string Daemon(bool holds, const std::string& key = "key") {
  const auto holders = BookOf("").directory().HoldersOf(key, 4);
  for (std::size_t i = 0;; ++i) {
    bool found = false;
    for (const auto& holder : holders) found |= holder == Peer(i);
    if (found == holds) return Peer(i).daemon;
  }
}

std::size_t RecordsIn(const Deliveries& deliveries) {
  std::size_t count = 0;
  for (const auto& delivery : deliveries) {
    count += delivery.batch.records.size();
  }
  return count;
}

std::set<std::string> Receivers(const Deliveries& deliveries) {
  std::set<std::string> names;
  for (const auto& delivery : deliveries) names.insert(delivery.holder.daemon);
  return names;
}

std::set<std::string> HoldersWithout(const StreamVersionBook& book,
                                     const std::string& daemon) {
  std::set<std::string> names;
  for (const auto& holder : book.directory().HoldersOf("key", 4, daemon)) {
    names.insert(holder.daemon);
  }
  return names;
}

}  // namespace

TEST_CASE("a daemon tells four others which version began a stream") {
  auto book = BookOf(Daemon(false));

  SUBCASE("not while there is one version only") {
    CHECK(book.Record(kRecord, kNow).empty());
    CHECK(book.records().size() == 1);

    SUBCASE("but as soon as a second one is listed, once") {
      const auto sent = book.OnCatalog({{"s", {"one", "two"}}}, kNow);
      CHECK(sent.size() == 4);
      CHECK(sent[0].batch.records == std::vector{kRecord});
      CHECK(book.OnCatalog({{"s", {"one", "two", "three"}}}, kNow).empty());
    }
    SUBCASE("not when another service gets a second one") {
      CHECK(book.OnCatalog({{"s", {"one"}}, {"t", {"one", "two"}}}, kNow)
                .empty());
    }
  }
  SUBCASE("while there are several") {
    book.OnCatalog({{"s", {"one", "two"}}}, kNow);
    CHECK(book.Record(kRecord, kNow).size() == 4);
  }
  SUBCASE("and until streams of that time are over") {
    book.OnCatalog({{"s", {"one", "two"}}}, kNow);
    book.OnCatalog({{"s", {"two"}}}, kNow);
    CHECK(book.Record(kRecord, kNow + Duration(41'000)).size() == 4);
    CHECK(book.Record(kRecord, kNow + Duration(41'001)).empty());
  }
  SUBCASE("three others when it is a holder itself") {
    auto holder = BookOf(Daemon(true));
    holder.OnCatalog({{"s", {"one", "two"}}}, kNow);
    CHECK(holder.Record(kRecord, kNow).size() == 3);
  }
  // Guards against streams that nobody can resume after the start of a fleet,
  // when no daemon knows which versions there were.
  SUBCASE("after its start, when it may have missed a version") {
    StreamVersionBook young("daemon0", kNow);
    CHECK(young.Record(kRecord, kNow).empty());
    young.OnCatalog({{"s", {"one"}}}, kNow);
    for (std::size_t i = 0; i < 10; ++i) young.directory().Add(Peer(i));
    CHECK(RecordsIn(young.OnDirectory(kNow)) >= 3);
    CHECK(young.OnDirectory(kNow).empty());
    CHECK(young.Record({"b", "s", "one", kLong}, kNow + Duration(40'999))
              .size() >= 3);
    CHECK(young.Record({"c", "s", "one", kLong}, kNow + Duration(41'000))
              .empty());
  }
}

TEST_CASE("a daemon that stops leaves its records to others") {
  // Guards against streams that nobody can resume after all daemons were
  // restarted, because they began while there was one version only.
  SUBCASE("those of which it has told nobody") {
    auto book = BookOf(Daemon(false));
    book.Record(kRecord, kNow);
    const auto sent = book.StartHandOver(kNow + Duration(1'000));
    CHECK(sent.size() == 4);
    CHECK(sent[0].batch.records[0].lifetime == Duration(9'000));
  }
  SUBCASE("also those as a holder") {
    auto book = BookOf(Daemon(true));
    book.Record(kRecord, kNow);
    CHECK(Receivers(book.StartHandOver(kNow)) ==
          HoldersWithout(book, Daemon(true)));
  }
  SUBCASE("those that others gave it, to the one that takes its place") {
    auto book = BookOf(Daemon(true));
    CHECK(book.Store({{kRecord}}, kNow).empty());
    CHECK(book.StartHandOver(kNow).size() == 1);
    // Guards against daemons that stop at the same time and pass the same
    // records back and forth, more of them each time.
    SUBCASE("once") {
      CHECK(book.Store({{kRecord}}, kNow).empty());
      CHECK(book.Store({{{"key", "s", "one", kLong}}}, kNow).empty());
    }
  }
  SUBCASE("those that it gets later, to the one that takes its place") {
    auto book = BookOf(Daemon(true));
    book.StartHandOver(kNow);
    CHECK(book.Store({{kRecord}}, kNow).size() == 1);
  }
  SUBCASE("or to all when the others have heard of the stop") {
    auto book = BookOf(Daemon(true));
    book.StartHandOver(kNow);
    book.directory().Remove(Daemon(true), kNow);
    CHECK(book.Store({{kRecord}}, kNow).size() == 4);
  }
  SUBCASE("not those that it does not hold for others") {
    auto book = BookOf(Daemon(false));
    book.OnCatalog({{"s", {"one", "two"}}}, kNow);
    book.Record(kRecord, kNow);
    CHECK(book.StartHandOver(kNow).empty());
  }
  SUBCASE("and those of streams that still begin there") {
    auto book = BookOf(Daemon(true));
    book.StartHandOver(kNow);
    CHECK(Receivers(book.Record(kRecord, kNow)) ==
          HoldersWithout(book, Daemon(true)));
  }
}

TEST_CASE("a daemon replies what it knows of a stream") {
  auto book = BookOf(Daemon(true));
  const RecordQuery query{"key", "s", Duration(31'000)};

  SUBCASE("a record") {
    book.Store({{kRecord}}, kNow);
    const auto reply = book.Answer(query, kNow + Duration(5));
    CHECK(reply.is_found);
    CHECK(reply.version == "one");
    CHECK(reply.service == "s");
    CHECK(reply.age == Duration(5));
  }
  SUBCASE("or that there is none, and what it has seen") {
    const auto reply = book.Answer(query, kNow);
    CHECK_FALSE(reply.is_found);
    CHECK(reply.is_confident);
    CHECK(reply.only_version == "one");
    CHECK(reply.earlier_version == "one");
    CHECK_FALSE(reply.sees_several);
    book.OnCatalog({{"s", {"one", "two"}}}, kNow);
    CHECK(book.Answer(query, kNow).sees_several);
    CHECK(book.Answer(query, kNow).only_version.empty());
  }
  SUBCASE("without being sure when it is no holder or has just started") {
    CHECK_FALSE(BookOf(Daemon(false)).Answer(query, kNow).is_confident);
    CHECK(book.Answer(query, kStart + Duration(31'000)).is_confident);
    CHECK_FALSE(book.Answer(query, kStart + Duration(30'999)).is_confident);
  }
}

TEST_CASE("a daemon holds a limited number of records") {
  auto book = BookOf("daemon0");
  RecordBatch batch;
  for (std::size_t i = 0; i < 20'001; ++i) {
    batch.records.push_back({fmt::format("k{}", i), "s", "one", kLong});
  }
  book.Store(batch, kNow);
  CHECK(book.records().size() == 20'000);
  CHECK(book.records().dropped() == 1);
}

// Guards against streams that hold events of two software versions, since a
// record that a holder had to drop passed for one that was never made (incident
// ORDER).
TEST_CASE("a daemon that has dropped records does not vouch for their lack") {
  auto book = BookOf(Daemon(true));
  RecordBatch batch;
  for (std::size_t i = 0; i < 20'001; ++i) {
    batch.records.push_back({fmt::format("k{}", i), "s", "one", kLong});
  }
  const RecordQuery query{"key", "s", Duration(31'000)};
  CHECK(book.Answer(query, kNow).is_confident);
  book.Store(batch, kNow);
  CHECK_FALSE(book.Answer(query, kNow + Duration(31'000)).is_confident);
  CHECK(book.Answer(query, kNow + Duration(31'001)).is_confident);
}

// Guards against streams that hold events of two software versions, since the
// time that a caller states again passed for the age of its stream (incident
// ORDER).
TEST_CASE("how long ago a resumed stream can have begun") {
  auto book = BookOf(Daemon(false));
  const auto horizon = [&] {
    return book.StartLookup("key", "s", kNow).query.horizon;
  };

  SUBCASE("follows from the longest time of a request, and until a return") {
    CHECK(horizon() == Duration(41'000));
    book.ExtendMaxStreamTime(Duration(15'000));
    book.ExtendMaxStreamTime(Duration(12'000));
    CHECK(horizon() == Duration(21'000));
  }
  SUBCASE("is bounded") {
    book.ExtendMaxStreamTime(Duration(1'000'000));
    CHECK(horizon() == Duration(61'000));
  }
  SUBCASE("is covered by the record of the request before") {
    book.ExtendMaxStreamTime(Duration(15'000));
    CHECK(book.RecordLifetime(Duration(15'000), Duration(0)) ==
          Duration(21'000));
    CHECK(book.RecordLifetime(Duration(4'000), Duration(0)) ==
          Duration(21'000));
    CHECK(book.RecordLifetime(Duration(15'000), Duration(14'000)) ==
          Duration(21'000));
    CHECK(book.RecordLifetime(Duration(30'000), Duration(1'000)) ==
          Duration(40'000));
  }
}

TEST_CASE("how much depends on the record of a stream") {
  using Need = RecordConfirmation::Need;
  auto book = BookOf(Daemon(false));
  const auto need = [&](const std::string& version, TimePoint now) {
    return book.NeedOfRecord("s", version, now);
  };

  SUBCASE("nothing while there is one version") {
    CHECK(need("one", kNow) == Need::kNone);
    CHECK(book.VersionWithoutRecord("s", kNow) == "one");
  }
  SUBCASE("another version in a release, but for the version before") {
    book.OnCatalog({{"s", {"one", "two"}}}, kNow);
    CHECK(need("one", kNow) == Need::kNone);
    CHECK(need("two", kNow) == Need::kRequired);
    CHECK(need("two", kNow + Duration(40'999)) == Need::kRequired);
    CHECK(book.VersionWithoutRecord("s", kNow) == "one");

    SUBCASE("until both have been there for as long as streams last") {
      book.OnCatalogConfirmed(kNow + Duration(41'000));
      CHECK(need("two", kNow + Duration(41'000)) == Need::kNone);
      CHECK(book.VersionWithoutRecord("s", kNow + Duration(41'000)).empty());
    }
    SUBCASE("but for any while the list is not up to date") {
      const auto later = kNow + Duration(2'501);
      CHECK(need("one", later) == Need::kRequired);
      CHECK(book.VersionWithoutRecord("s", later).empty());
    }
    SUBCASE("and for one that has returned") {
      book.OnCatalog({{"s", {"two"}}}, kNow + Duration(10));
      book.OnCatalog({{"s", {"one", "two"}}}, kNow + Duration(20));
      CHECK(need("one", kNow + Duration(20)) == Need::kRequired);
      CHECK(book.VersionWithoutRecord("s", kNow + Duration(20)).empty());
    }
  }
  SUBCASE("perhaps another version at a daemon that has just started") {
    StreamVersionBook young("daemon0", kNow);
    young.OnCatalog({{"s", {"one"}}}, kNow);
    CHECK(young.NeedOfRecord("s", "one", kNow) == Need::kBrief);
  }
}

// Guards against streams that hold events of two software versions, since none
// of a record's holders took it (incident ORDER).
TEST_CASE("a record that none of its holders takes goes to others") {
  auto book = BookOf(Daemon(false));
  const auto spares = Receivers(book.ToSpares(kRecord));
  const auto asked = book.directory().HoldersOf("key", 6);
  const std::size_t own =
      asked[4].daemon == Daemon(false) || asked[5].daemon == Daemon(false) ? 1
                                                                           : 0;
  CHECK(spares.size() == 2 - own);
  for (const auto& holder : HoldersWithout(book, "")) {
    CHECK_FALSE(spares.contains(holder));
  }
  CHECK_FALSE(spares.contains(Daemon(false)));
}

// Guards against records that one caller keeps for so long that those of others
// are dropped.
TEST_CASE("a record is held for a minute at most") {
  auto book = BookOf(Daemon(true));
  auto record = kRecord;
  record.lifetime = Duration(1'000'000'000);
  book.Store({{record}}, kNow);
  CHECK(book.records().Find("key", kNow + Duration(60'999)));
  CHECK_FALSE(book.records().Find("key", kNow + Duration(61'000)));
}

// Guards against streams that hold events of two software versions, since a
// daemon whose list lags asks nobody about a stream that is not named (incident
// ORDER).
TEST_CASE("a caller that does not name its stream") {
  auto book = BookOf(Daemon(true));
  auto lookup = book.StartLookup("", "s", kNow);
  CHECK(lookup.asked.size() >= 3);
  RecordReply reply;

  SUBCASE("is refused while nobody else tells which versions there are") {
    CHECK(book.Decide(lookup, kNow).source == VersionSource::kUnknown);
  }
  SUBCASE("goes on while others see no second version") {
    lookup.AddReply(reply);
    CHECK(book.Decide(lookup, kNow) ==
          VersionDecision{VersionSource::kOnlyVersion, "one"});

    SUBCASE("but not if the list of upstreams is not up to date") {
      const auto later = kNow + Duration(2'501);
      CHECK(book.Decide(lookup, later).source == VersionSource::kUnknown);
      // A call that waits for changes has nothing to report.
      book.OnStoreContact(later);
      CHECK(book.Decide(lookup, later).source == VersionSource::kOnlyVersion);
      book.OnCatalogOutage();
      book.OnStoreContact(later + Duration(3'000));
      CHECK(book.Decide(lookup, later + Duration(3'000)).source ==
            VersionSource::kUnknown);
    }
    SUBCASE("but not once there is a second one") {
      book.OnCatalog({{"s", {"one", "two"}}}, kNow);
      CHECK(book.Decide(lookup, kNow).source == VersionSource::kUnknown);
    }
    SUBCASE("but not if another daemon has heard of a second one") {
      reply.sees_several = true;
      lookup.AddReply(reply);
      CHECK(book.Decide(lookup, kNow).source == VersionSource::kUnknown);
    }
  }
  SUBCASE("does not go on by the record of another stream") {
    reply.is_found = true;
    reply.service = "s";
    reply.version = "two";
    lookup.AddReply(reply);
    CHECK(book.Decide(lookup, kNow).version != "two");
  }
  SUBCASE("is not taken for older than a release for want of a record") {
    reply.sees_several = true;
    reply.is_confident = true;
    reply.earlier_version = "one";
    for (int i = 0; i < 3; ++i) lookup.AddReply(reply);
    CHECK(book.Decide(lookup, kNow).source == VersionSource::kUnknown);
  }
}

TEST_CASE("a daemon asks others for the record of a stream") {
  auto book = BookOf(Daemon(false));
  auto lookup = book.StartLookup("key", "s", kNow);
  RecordReply reply;

  SUBCASE("four holders and two that may have been") {
    CHECK(book.directory().HoldersOf("key", 6).size() == 6);
    const std::size_t own =
        book.directory().HoldersOf("key", 6)[4].daemon == Daemon(false) ||
                book.directory().HoldersOf("key", 6)[5].daemon == Daemon(false)
            ? 1
            : 0;
    CHECK(lookup.asked.size() == 6 - own);
    CHECK(lookup.result.asked == lookup.asked.size());
  }
  SUBCASE("nobody when it has it") {
    book.Store({{kRecord}}, kNow);
    lookup = book.StartLookup("key", "s", kNow);
    CHECK(lookup.asked.empty());
    CHECK(book.Decide(lookup, kNow) ==
          VersionDecision{VersionSource::kRecord, "one"});
  }
  SUBCASE("until one replies with it") {
    CHECK_FALSE(lookup.IsKnown());
    reply.is_found = true;
    reply.service = "s";
    reply.version = "two";
    lookup.AddReply(reply);
    CHECK(lookup.IsKnown());
    CHECK(book.Decide(lookup, kNow).version == "two");

    SUBCASE("which must be of the same service") {
      reply.service = "t";
      lookup.AddReply(reply);
      CHECK(book.Decide(lookup, kNow).source == VersionSource::kUnknown);
    }
    SUBCASE("and not contradict itself") {
      reply.is_ambiguous = true;
      lookup.AddReply(reply);
      CHECK(book.Decide(lookup, kNow).source == VersionSource::kUnknown);
    }
  }
  SUBCASE("and counts those that would have it") {
    lookup.AddReply(reply);
    CHECK(lookup.result.replied == 1);
    CHECK(lookup.result.confident_misses == 0);
    reply.is_confident = true;
    reply.only_version = "one";
    reply.earlier_version = "zero";
    reply.sees_several = true;
    lookup.AddReply(reply);
    CHECK(lookup.result.confident_misses == 1);
    CHECK(lookup.result.only_versions == std::set<std::string>{"one"});
    CHECK(lookup.result.earlier_versions == std::set<std::string>{"zero"});
    CHECK(lookup.result.others_see_several);
  }
}

}  // namespace firmoor
