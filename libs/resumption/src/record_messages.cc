#include "resumption/record_messages.h"

#include <QCborArray>
#include <QCborMap>

#include "base/text.h"
#include "peer/peer_message.h"

namespace firmoor {
namespace {

std::string TextOf(const QCborValue& value) {
  return value.toString().toStdString();
}

}  // namespace

QByteArray RecordBatch::Encode() const {
  QCborArray array;
  for (const auto& record : records) {
    array.append(QCborArray{Text(record.key), Text(record.service),
                            Text(record.version),
                            static_cast<qint64>(record.lifetime.count())});
  }
  return QCborValue(QCborMap{{"records", array}}).toCbor();
}

Result<RecordBatch> RecordBatch::Decode(const QByteArray& bytes) {
  BOOST_LEAF_AUTO(map, DecodePeerMessage(bytes));
  RecordBatch batch;
  const auto array = map[QLatin1String("records")].toArray();
  for (const auto& item : array) {
    const auto fields = item.toArray();
    StreamRecord record{TextOf(fields.at(0)), TextOf(fields.at(1)),
                        TextOf(fields.at(2)),
                        Duration(fields.at(3).toInteger(-1))};
    if (record.key.empty() || record.lifetime < Duration(0)) {
      return Fail(ResultCode::kBadMessage, "A stream record is malformed");
    }
    batch.records.push_back(std::move(record));
  }
  return batch;
}

QByteArray RecordQuery::Encode() const {
  return QCborValue(QCborMap{{"key", Text(key)},
                             {"service", Text(service)},
                             {"horizon", static_cast<qint64>(horizon.count())}})
      .toCbor();
}

Result<RecordQuery> RecordQuery::Decode(const QByteArray& bytes) {
  BOOST_LEAF_AUTO(map, DecodePeerMessage(bytes));
  RecordQuery query{TextOf(map[QLatin1String("key")]),
                    TextOf(map[QLatin1String("service")]),
                    Duration(map[QLatin1String("horizon")].toInteger(-1))};
  if (query.key.empty() || query.horizon < Duration(0)) {
    return Fail(ResultCode::kBadMessage,
                "The question for a stream record is malformed");
  }
  return query;
}

QByteArray RecordReply::Encode() const {
  return QCborValue(QCborMap{{"found", is_found},
                             {"ambiguous", is_ambiguous},
                             {"service", Text(service)},
                             {"version", Text(version)},
                             {"age", static_cast<qint64>(age.count())},
                             {"confident", is_confident},
                             {"several", sees_several},
                             {"only", Text(only_version)},
                             {"earlier", Text(earlier_version)}})
      .toCbor();
}

Result<RecordReply> RecordReply::Decode(const QByteArray& bytes) {
  BOOST_LEAF_AUTO(map, DecodePeerMessage(bytes));
  const auto found = map[QLatin1String("found")];
  if (!found.isBool()) {
    return Fail(ResultCode::kBadMessage,
                "The reply about a stream record is malformed");
  }
  RecordReply reply;
  reply.is_found = found.toBool();
  reply.is_ambiguous = map[QLatin1String("ambiguous")].toBool();
  reply.service = TextOf(map[QLatin1String("service")]);
  reply.version = TextOf(map[QLatin1String("version")]);
  reply.age = Duration(map[QLatin1String("age")].toInteger());
  reply.is_confident = map[QLatin1String("confident")].toBool();
  reply.sees_several = map[QLatin1String("several")].toBool();
  reply.earlier_version = TextOf(map[QLatin1String("earlier")]);
  reply.only_version = TextOf(map[QLatin1String("only")]);
  return reply;
}

}  // namespace firmoor
