#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "resumption/record_confirmation.h"
#include "resumption/stream_version_book.h"

namespace firmoor {
namespace {

constexpr std::size_t kDaemons = 10;
constexpr int kStreams = 400;
constexpr const char* kService = "s";
constexpr Duration kRouteTime{15'000};
constexpr TimePoint kStart{Duration(1'000'000)};

/// Versions that are listed from `at` on.
struct Listing {
  Duration at;
  std::set<std::string> versions;
};

/// One stream of a fleet in virtual time: begun at a daemon that is lost, and
/// resumed at another one.
class ReturnModel {
 public:
  struct Outcome {
    std::string begun;    ///< Version; empty if the stream never began.
    std::string resumed;  ///< Version; empty if it was refused.
    VersionSource source = VersionSource::kUnknown;
  };

  explicit ReturnModel(std::mt19937* random, Duration daemon_age)
      : random_(random), now_(kStart + daemon_age) {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      books_.emplace_back(fmt::format("daemon{}", i), kStart);
      books_.back().ExtendMaxStreamTime(kRouteTime);
    }
    for (auto& book : books_) {
      for (std::size_t i = 0; i < kDaemons; ++i) {
        book.directory().Add({fmt::format("daemon{}", i),
                              fmt::format("zone{}", i % 3),
                              {"127.0.0.1", 1}});
      }
    }
    writer_ = (*random_)() % kDaemons;
    List(kStart, {"one"});
  }

  /// The versions change at these times from now.
  void Release(std::vector<Listing> listings) {
    start_ = now_;
    listings_ = std::move(listings);
  }
  void Run(Duration time) {
    const auto until = now_ + time;
    while (next_ < listings_.size() && start_ + listings_[next_].at <= until) {
      List(start_ + listings_[next_].at, listings_[next_].versions);
      ++next_;
    }
    now_ = until;
    for (auto& book : books_) book.OnCatalogConfirmed(now_);
  }
  /// The first `lost` deliveries of its record do not arrive; all of them,
  /// those to spares as well, if the daemon is cut off.
  void Begin(const std::string& version, std::size_t lost, bool is_cut) {
    auto& book = books_[writer_];
    const StreamRecord record{"key" + std::to_string((*random_)()), kService,
                              version,
                              book.RecordLifetime(kRouteTime, Duration(0))};
    key_ = record.key;
    RecordConfirmation confirmation(book.NeedOfRecord(kService, version, now_),
                                    now_);
    Deliver(book.Record(record, now_), is_cut ? kDaemons : lost, &confirmation);
    const auto limit = now_ + RecordConfirmation::kPatience;
    if (confirmation.NeedsSpares(limit)) {
      Deliver(book.ToSpares(record), is_cut ? kDaemons : 0, &confirmation);
    }
    const bool begins =
        confirmation.StateAt(limit) == RecordConfirmation::State::kMade;
    if (begins) outcome_.begun = version;
    begun_at_ = now_;
  }
  Outcome Return(bool names_stream) {
    const auto reader =
        (writer_ + 1 + (*random_)() % (kDaemons - 1)) % kDaemons;
    auto& book = books_[reader];
    auto lookup = book.StartLookup(names_stream ? key_ : "", kService, now_);
    for (const auto& asked : lookup.asked) {
      const auto index = IndexOf(asked.daemon);
      if (index == writer_) continue;
      lookup.AddReply(books_[index].Answer(lookup.query, now_));
    }
    const auto decision = book.Decide(lookup, now_);
    outcome_.source = decision.source;
    outcome_.resumed = decision.version;
    return outcome_;
  }
  Duration Random(int from_ms, int to_ms) {
    return Duration(
        std::uniform_int_distribution<int>(from_ms, to_ms)(*random_));
  }

 private:
  static std::size_t IndexOf(const std::string& daemon) {
    return std::stoul(daemon.substr(std::string("daemon").size()));
  }
  void List(TimePoint at, const std::set<std::string>& versions) {
    for (std::size_t i = 0; i < books_.size(); ++i) {
      books_[i].OnCatalogConfirmed(at);
      Deliver(books_[i].OnCatalog({{kService, versions}}, at), 0, nullptr);
    }
  }
  void Deliver(const StreamVersionBook::Deliveries& deliveries,
               std::size_t lost, RecordConfirmation* confirmation) {
    if (confirmation != nullptr) confirmation->OnSent(deliveries.size());
    for (const auto& delivery : deliveries) {
      const bool is_lost = lost > 0;
      if (is_lost) {
        --lost;
      } else {
        books_[IndexOf(delivery.holder.daemon)].Store(delivery.batch, now_);
      }
      if (confirmation == nullptr) continue;
      is_lost ? confirmation->OnFailed() : confirmation->OnTaken();
    }
  }

  std::mt19937* random_;
  TimePoint now_;
  TimePoint start_;
  TimePoint begun_at_;
  std::vector<StreamVersionBook> books_;
  std::vector<Listing> listings_;
  std::size_t next_ = 0;
  std::size_t writer_ = 0;
  std::string key_;
  Outcome outcome_;
};

struct Counts {
  int begun = 0;
  int mixed = 0;
  int went_on = 0;
};

void Add(const ReturnModel::Outcome& outcome, Counts* counts) {
  if (outcome.begun.empty()) return;
  ++counts->begun;
  if (outcome.resumed.empty()) return;
  ++counts->went_on;
  if (outcome.resumed != outcome.begun) ++counts->mixed;
}

/// The writer begins a stream while one version is listed, and is lost before
/// the release.
ReturnModel::Outcome PlayEarlyLoss(std::mt19937* random, bool names_stream,
                                   const std::vector<Listing>& listings) {
  ReturnModel model(random, Duration(60'000));
  model.Begin("one", 0, false);
  model.Run(model.Random(200, 4'000));
  model.Release(listings);
  model.Run(model.Random(100, 6'000));
  return model.Return(names_stream);
}

/// The writer begins a stream at the new version of a half release.
ReturnModel::Outcome PlayLostRecords(std::mt19937* random, std::size_t lost,
                                     bool is_cut) {
  ReturnModel model(random, Duration(60'000));
  model.Release({{Duration(0), {"one", "two"}}});
  model.Run(model.Random(50, 8'000));
  model.Begin("two", lost, is_cut);
  model.Run(model.Random(10, 3'000));
  model.Run(model.Random(100, 3'000));
  return model.Return(true);
}

}  // namespace

// Guards against streams that hold events of two software versions, since the
// age of a stream was taken to be shorter than it was (incident ORDER).
TEST_CASE("a caller comes back to another daemon after a release") {
  std::mt19937 random(84);
  struct Row {
    std::string name;
    std::vector<Listing> listings;
  };
  const std::vector<Row> rows = {
      {"of all upstreams at once", {{Duration(0), {"two"}}}},
      {"of all upstreams",
       {{Duration(0), {"one", "two"}}, {Duration(1'200), {"two"}}}},
      {"of half of the upstreams", {{Duration(0), {"one", "two"}}}},
      {"and another one right after it",
       {{Duration(0), {"one", "two"}},
        {Duration(800), {"two"}},
        {Duration(1'000), {"two", "three"}},
        {Duration(1'800), {"three"}}}},
      {"that is taken back",
       {{Duration(0), {"one", "two"}},
        {Duration(800), {"two"}},
        {Duration(1'500), {"one", "two"}},
        {Duration(2'500), {"one"}}}},
  };
  for (const auto& row : rows) {
    for (const bool names_stream : {true, false}) {
      Counts counts;
      for (int i = 0; i < kStreams; ++i) {
        Add(PlayEarlyLoss(&random, names_stream, row.listings), &counts);
      }
      INFO(fmt::format(
          "a release {}, named {}: {} begun, {} went on, {} at another version",
          row.name, names_stream, counts.begun, counts.went_on, counts.mixed));
      CHECK(counts.begun == kStreams);
      CHECK(counts.mixed == 0);
      // The lack of a record tells that it began before the release.
      if (names_stream) CHECK(counts.went_on == kStreams);
    }
  }
}

// Guards against streams that hold events of two software versions, since none
// of a record's holders took it (incident ORDER).
TEST_CASE("records of streams that began in a release do not arrive") {
  std::mt19937 random(84);
  for (std::size_t lost = 0; lost <= 4; ++lost) {
    for (const bool is_cut : {false, true}) {
      Counts counts;
      for (int i = 0; i < kStreams; ++i) {
        Add(PlayLostRecords(&random, lost, is_cut), &counts);
      }
      INFO(fmt::format(
          "{} lost, cut off {}: {} begun, {} went on, {} at another version",
          lost, is_cut, counts.begun, counts.went_on, counts.mixed));
      CHECK(counts.mixed == 0);
      // Nobody could resume the streams of a daemon that is cut off.
      CHECK(counts.begun == (is_cut ? 0 : kStreams));
      CHECK(counts.went_on == counts.begun);
    }
  }
}

}  // namespace firmoor
