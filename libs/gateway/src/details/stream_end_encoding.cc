#include "details/stream_end_encoding.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>

#include "base/text.h"
#include "serving/close_delimited_streams.h"

namespace firmoor::details {
namespace {

// Those that each build tells.
constexpr qsizetype kItems = 9;
// Instead of an age.
constexpr qint64 kNever = -1;
// Far above what a daemon counts, so that sums do not overflow.
constexpr qint64 kMaxTotal = 1'000'000'000'000;

struct Entry {
  StreamWriterId writer;
  StreamEndState state;
  StreamEndTotals totals;
};

QCborArray EncodeEntry(const Entry& entry) {
  const auto& [writer, state, totals] = entry;
  return {Text(writer.service),
          Text(writer.software_version),
          static_cast<qint64>(state.whole),
          static_cast<qint64>(state.cuts),
          static_cast<qint64>(state.cut_age.count()),
          static_cast<qint64>(state.age.count()),
          static_cast<qint64>(totals.whole),
          static_cast<qint64>(totals.cuts),
          static_cast<qint64>(totals.whole_since_cut),
          state.cut_between_age
              ? static_cast<qint64>(state.cut_between_age->count())
              : kNever};
}

bool IsCount(const QCborValue& value, qint64 most) {
  return value.isInteger() && value.toInteger() >= 0 &&
         value.toInteger() <= most;
}

std::optional<Entry> DecodeEntry(const QCborArray& items) {
  using Streams = CloseDelimitedStreams;
  const bool is_valid =
      items.size() >= kItems && items.at(0).isString() &&
      items.at(1).isString() && IsCount(items.at(2), Streams::kMaxWhole) &&
      IsCount(items.at(3), Streams::kMaxCuts) &&
      IsCount(items.at(4), kMaxTotal) && IsCount(items.at(5), kMaxTotal) &&
      IsCount(items.at(6), kMaxTotal) && IsCount(items.at(7), kMaxTotal) &&
      IsCount(items.at(8), Streams::kMaxWhole);
  if (!is_valid) return std::nullopt;
  const auto count = [&](qsizetype item) {
    return static_cast<std::uint32_t>(items.at(item).toInteger());
  };
  const auto cut_between = items.at(kItems);
  std::optional<Duration> cut_between_age;
  if (IsCount(cut_between, kMaxTotal)) {
    cut_between_age = Duration(cut_between.toInteger());
  }
  return Entry{{items.at(0).toString().toStdString(),
                items.at(1).toString().toStdString()},
               {count(2), count(3), Duration(items.at(4).toInteger()),
                Duration(items.at(5).toInteger()), cut_between_age},
               {static_cast<std::uint64_t>(items.at(6).toInteger()),
                static_cast<std::uint64_t>(items.at(7).toInteger()), count(8)}};
}

/// Calls `add` with each entry that is well formed.
template <typename Add>
void DecodeEntries(const QCborValue& value, const Add& add) {
  const auto array = value.toArray();
  const auto most = static_cast<qsizetype>(CloseDelimitedStreams::kMaxWriters);
  for (qsizetype i = 0; i < std::min(array.size(), most); ++i) {
    if (const auto entry = DecodeEntry(array.at(i).toArray())) add(*entry);
  }
}

}  // namespace

QCborArray EncodeStreamEndReports(const StreamEndReports& reports) {
  QCborArray array;
  for (const auto& [writer, report] : reports) {
    array.append(EncodeEntry({writer, report.known, report.own}));
  }
  return array;
}

StreamEndReports DecodeStreamEndReports(const QCborValue& value) {
  StreamEndReports reports;
  DecodeEntries(value, [&](const Entry& entry) {
    reports[entry.writer] = {entry.state, entry.totals};
  });
  return reports;
}

QCborArray EncodeStreamEndReplies(const StreamEndReplies& replies) {
  QCborArray array;
  for (const auto& [writer, reply] : replies) {
    array.append(EncodeEntry({writer, reply.fleet, reply.counted}));
  }
  return array;
}

StreamEndReplies DecodeStreamEndReplies(const QCborValue& value) {
  StreamEndReplies replies;
  DecodeEntries(value, [&](const Entry& entry) {
    replies[entry.writer] = {entry.state, entry.totals};
  });
  return replies;
}

}  // namespace firmoor::details
