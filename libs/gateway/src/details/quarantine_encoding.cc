#include "details/quarantine_encoding.h"

#include <QCborArray>
#include <algorithm>
#include <optional>
#include <string>

#include "base/text.h"

namespace firmoor::details {
namespace {

// Far above what a daemon sends, to bound the memory for a malformed message.
constexpr qsizetype kMaxItems = 1'024;
constexpr qsizetype kHashDigits = 32;

QString EncodeSuspect(const Suspect& suspect) {
  return Text(NameOf(suspect.kind)) + ':' + Text(suspect.hash);
}

std::optional<Suspect> DecodeSuspect(const QString& text) {
  const auto colon = text.indexOf(':');
  const auto hash = text.mid(colon + 1);
  if (colon < 0 || hash.size() != kHashDigits) return std::nullopt;
  for (const auto kind : kSuspectKinds) {
    if (text.left(colon) == Text(NameOf(kind))) {
      return Suspect{kind, hash.toStdString()};
    }
  }
  return std::nullopt;
}

QCborArray EncodeSuspects(const std::set<Suspect>& suspects) {
  QCborArray array;
  for (const auto& suspect : suspects) array.append(EncodeSuspect(suspect));
  return array;
}

std::set<Suspect> DecodeSuspects(const QCborValue& value) {
  std::set<Suspect> suspects;
  const auto array = value.toArray();
  for (qsizetype i = 0; i < std::min(array.size(), kMaxItems); ++i) {
    if (const auto suspect = DecodeSuspect(array.at(i).toString())) {
      suspects.insert(*suspect);
    }
  }
  return suspects;
}

QCborArray EncodeAges(const std::map<Suspect, Duration>& ages) {
  QCborArray array;
  for (const auto& [suspect, age] : ages) {
    array.append(
        QCborArray{EncodeSuspect(suspect), static_cast<qint64>(age.count())});
  }
  return array;
}

Result<Duration> DecodeAge(const QCborValue& value) {
  const auto ms = value.toInteger(-1);
  if (ms < 0) {
    return Fail(ResultCode::kBadMessage, "The message has a malformed age");
  }
  return Duration(ms);
}

Result<std::map<Suspect, Duration>> DecodeAges(const QCborValue& value) {
  std::map<Suspect, Duration> ages;
  const auto array = value.toArray();
  for (qsizetype i = 0; i < std::min(array.size(), kMaxItems); ++i) {
    const auto item = array.at(i).toArray();
    BOOST_LEAF_AUTO(age, DecodeAge(item.at(1)));
    if (const auto suspect = DecodeSuspect(item.at(0).toString())) {
      ages.emplace(*suspect, age);
    }
  }
  return ages;
}

QCborArray EncodeRun(const UpstreamRun& run) {
  return {Text(run.upstream), static_cast<qint64>(run.born_ms)};
}

UpstreamRun DecodeRun(const QCborValue& value) {
  const auto items = value.toArray();
  return {items.at(0).toString().toStdString(), items.at(1).toInteger()};
}

QCborArray EncodeCrashes(const std::vector<CrashReport>& crashes) {
  QCborArray array;
  for (const auto& crash : crashes) {
    array.append(QCborArray{EncodeRun(crash.run),
                            static_cast<qint64>(crash.age.count()),
                            EncodeAges(crash.suspects)});
  }
  return array;
}

Result<std::vector<CrashReport>> DecodeCrashes(const QCborValue& value) {
  std::vector<CrashReport> crashes;
  const auto array = value.toArray();
  for (qsizetype i = 0; i < std::min(array.size(), kMaxItems); ++i) {
    const auto items = array.at(i).toArray();
    CrashReport crash;
    crash.run = DecodeRun(items.at(0));
    BOOST_LEAF_ASSIGN(crash.age, DecodeAge(items.at(1)));
    BOOST_LEAF_ASSIGN(crash.suspects, DecodeAges(items.at(2)));
    crashes.push_back(std::move(crash));
  }
  return crashes;
}

QCborArray EncodeVerdicts(const std::vector<Verdict>& verdicts) {
  QCborArray array;
  for (const auto& verdict : verdicts) {
    QCborArray upstreams;
    for (const auto& id : verdict.upstreams) upstreams.append(Text(id));
    array.append(QCborArray{EncodeSuspects(verdict.members),
                            static_cast<qint64>(verdict.age.count()),
                            static_cast<qint64>(verdict.crashes), upstreams});
  }
  return array;
}

Result<std::vector<Verdict>> DecodeVerdicts(const QCborValue& value) {
  std::vector<Verdict> verdicts;
  const auto array = value.toArray();
  const auto count =
      std::min(array.size(), static_cast<qsizetype>(kMaxVerdicts));
  for (qsizetype i = 0; i < count; ++i) {
    const auto items = array.at(i).toArray();
    Verdict verdict;
    verdict.members = DecodeSuspects(items.at(0));
    BOOST_LEAF_ASSIGN(verdict.age, DecodeAge(items.at(1)));
    verdict.crashes = items.at(2).toInteger();
    const auto upstreams = items.at(3).toArray();
    for (const auto& id : upstreams) {
      verdict.upstreams.push_back(id.toString().toStdString());
    }
    // A member that is not understood would leave a verdict on too much.
    const bool is_understood = !verdict.members.empty() &&
                               static_cast<qsizetype>(verdict.members.size()) ==
                                   items.at(0).toArray().size();
    if (is_understood) verdicts.push_back(std::move(verdict));
  }
  return verdicts;
}

}  // namespace

QCborMap EncodeQuarantineReport(const QuarantineReport& report) {
  QCborArray responsive;
  for (const auto& run : report.responsive) responsive.append(EncodeRun(run));
  return {{"term", static_cast<qint64>(report.term)},
          {"crashes", EncodeCrashes(report.crashes)},
          {"completed", EncodeAges(report.completed)},
          {"responsive", responsive},
          {"verdicts", EncodeVerdicts(report.verdicts)},
          {"lifted", EncodeSuspects(report.lifted)},
          {"rejected", EncodeSuspects(report.rejected)}};
}

Result<QuarantineReport> DecodeQuarantineReport(const QCborValue& value) {
  const auto map = value.toMap();
  QuarantineReport report;
  report.term = map[QLatin1String("term")].toInteger();
  BOOST_LEAF_ASSIGN(report.crashes,
                    DecodeCrashes(map[QLatin1String("crashes")]));
  BOOST_LEAF_ASSIGN(report.completed,
                    DecodeAges(map[QLatin1String("completed")]));
  const auto responsive = map[QLatin1String("responsive")].toArray();
  for (const auto& run : responsive) report.responsive.insert(DecodeRun(run));
  BOOST_LEAF_ASSIGN(report.verdicts,
                    DecodeVerdicts(map[QLatin1String("verdicts")]));
  report.lifted = DecodeSuspects(map[QLatin1String("lifted")]);
  report.rejected = DecodeSuspects(map[QLatin1String("rejected")]);
  return report;
}

QCborMap EncodeQuarantineReply(const QuarantineReply& reply) {
  QCborArray in_doubt;
  for (const auto& [run, age] : reply.in_doubt) {
    in_doubt.append(
        QCborArray{EncodeRun(run), static_cast<qint64>(age.count())});
  }
  return {{"term", static_cast<qint64>(reply.term)},
          {"watched", EncodeSuspects(reply.watched)},
          {"in_doubt", in_doubt},
          {"verdicts", EncodeVerdicts(reply.verdicts)},
          {"trials", EncodeSuspects(reply.trials)}};
}

Result<QuarantineReply> DecodeQuarantineReply(const QCborValue& value) {
  const auto map = value.toMap();
  QuarantineReply reply;
  reply.term = map[QLatin1String("term")].toInteger();
  reply.watched = DecodeSuspects(map[QLatin1String("watched")]);
  const auto in_doubt = map[QLatin1String("in_doubt")].toArray();
  for (const auto& item : in_doubt) {
    const auto entry = item.toArray();
    BOOST_LEAF_AUTO(age, DecodeAge(entry.at(1)));
    reply.in_doubt.emplace(DecodeRun(entry.at(0)), age);
  }
  BOOST_LEAF_ASSIGN(reply.verdicts,
                    DecodeVerdicts(map[QLatin1String("verdicts")]));
  reply.trials = DecodeSuspects(map[QLatin1String("trials")]);
  return reply;
}

}  // namespace firmoor::details
