#include "dissemination/relay_messages.h"

#include <QCborArray>
#include <QCborMap>
#include <QCborValue>

#include "base/text.h"
#include "peer/peer_message.h"

namespace firmoor {
namespace {

// Below this size compression saves less than it costs.
constexpr qsizetype kMinCompressedBytes = 1'024;
// An object that unpacks to more than the store's largest is not one of its.
constexpr qsizetype kMaxObjectBytes = 16 * 1024 * 1024;
constexpr char kUncompressed = 'p';
constexpr char kCompressed = 'z';
constexpr qsizetype kSizePrefix = 4;  // Of a compressed block, big-endian.

/// The size that a compressed block says that it unpacks to.
std::uint32_t DecompressedSize(const QByteArray& block) {
  std::uint32_t size = 0;
  for (qsizetype i = 0; i < kSizePrefix; ++i) {
    size = (size << 8U) | static_cast<unsigned char>(block[i]);
  }
  return size;
}

Result<QByteArray> Decompress(const QByteArray& bytes) {
  if (bytes.startsWith(kUncompressed)) return bytes.mid(1);
  const auto block = bytes.mid(1);
  const bool is_valid = bytes.startsWith(kCompressed) &&
                        block.size() > kSizePrefix &&
                        DecompressedSize(block) <= kMaxObjectBytes;
  auto decompressed = is_valid ? qUncompress(block) : QByteArray();
  if (decompressed.isEmpty()) {
    return Fail(ResultCode::kBadMessage, "A relayed object cannot be unpacked");
  }
  return decompressed;
}

}  // namespace

EncodedChange EncodeChange(const KindChange& change) {
  EncodedChange encoded{change.object.name, {}, change.removed};
  if (change.removed) return encoded;
  const auto plain =
      QCborValue(QCborMap::fromJsonObject(change.object.content)).toCbor();
  const bool is_compressed = plain.size() >= kMinCompressedBytes;
  encoded.bytes =
      is_compressed ? kCompressed + qCompress(plain) : kUncompressed + plain;
  return encoded;
}

Result<KindChange> DecodeChange(const EncodedChange& change) {
  KindChange decoded;
  decoded.object.name = change.name;
  decoded.removed = change.removed;
  if (change.removed) return decoded;
  BOOST_LEAF_AUTO(plain, Decompress(change.bytes));
  BOOST_LEAF_AUTO(map, DecodePeerMessage(plain));
  decoded.object.content = map.toJsonObject();
  return decoded;
}

QByteArray RelayRequest::Encode() const {
  return QCborValue(QCborMap{{"kind", Text(kind)},
                             {"revision", static_cast<qint64>(revision)},
                             {"wait_ms", static_cast<qint64>(wait.count())}})
      .toCbor();
}

Result<RelayRequest> RelayRequest::Decode(const QByteArray& bytes) {
  BOOST_LEAF_AUTO(decoded, DecodePeerMessage(bytes));
  const QCborMap& map = decoded;
  RelayRequest request;
  request.kind = map[QLatin1String("kind")].toString().toStdString();
  request.revision = map[QLatin1String("revision")].toInteger(-1);
  request.wait = Duration(map[QLatin1String("wait_ms")].toInteger(-1));
  if (request.kind.empty() || request.revision < 0 ||
      request.wait < Duration(0)) {
    return Fail(ResultCode::kBadMessage, "A relay is asked for nothing");
  }
  return request;
}

QByteArray RelayResponse::Encode() const {
  QCborArray list;
  for (const auto& change : changes) {
    list.append(QCborArray{Text(change.name), change.bytes, change.removed});
  }
  return QCborValue(QCborMap{{"known", available},
                             {"revision", static_cast<qint64>(revision)},
                             {"heard_ms",
                              static_cast<qint64>(store_contact_age.count())},
                             {"changes", list}})
      .toCbor();
}

Result<RelayResponse> RelayResponse::Decode(const QByteArray& bytes) {
  BOOST_LEAF_AUTO(decoded, DecodePeerMessage(bytes));
  const QCborMap& map = decoded;
  RelayResponse response;
  response.available = map[QLatin1String("known")].toBool();
  response.revision = map[QLatin1String("revision")].toInteger(-1);
  response.store_contact_age =
      Duration(map[QLatin1String("heard_ms")].toInteger(-1));
  if (response.revision < 0 || response.store_contact_age < Duration(0)) {
    return Fail(ResultCode::kBadMessage, "A relay's answer tells nothing");
  }
  const auto list = map[QLatin1String("changes")].toArray();
  for (const auto& item : list) {
    const auto change = item.toArray();
    const auto name = change.at(0).toString().toStdString();
    if (name.empty()) {
      return Fail(ResultCode::kBadMessage, "A relayed object has no name");
    }
    response.changes.push_back(
        {name, change.at(1).toByteArray(), change.at(2).toBool()});
  }
  return response;
}

}  // namespace firmoor
