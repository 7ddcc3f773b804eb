#include "dissemination/relay_messages.h"

#include <QCborArray>
#include <QCborMap>
#include <QCborValue>

#include "base/text.h"
#include "peer/peer_message.h"

namespace firmoor {
namespace {

// Compressing smaller objects costs more than it saves.
constexpr qsizetype kMinCompressedBytes = 1'024;
// Size of the largest object in the store. A block that claims to decompress to
// more is rejected before memory is allocated for it.
constexpr qsizetype kMaxObjectBytes = 16 * 1024 * 1024;
// First byte of an encoded object.
constexpr char kUncompressed = 'p';
constexpr char kCompressed = 'z';
// `qCompress` puts the decompressed size in front, as a big-endian integer.
constexpr qsizetype kSizePrefixBytes = 4;

/// The decompressed size that a block of `qCompress` claims.
std::uint32_t DecompressedSize(const QByteArray& block) {
  std::uint32_t size = 0;
  for (qsizetype i = 0; i < kSizePrefixBytes; ++i) {
    size = (size << 8U) | static_cast<unsigned char>(block[i]);
  }
  return size;
}

Result<QByteArray> Decompress(const QByteArray& bytes) {
  if (bytes.startsWith(kUncompressed)) return bytes.mid(1);
  const auto block = bytes.mid(1);
  const bool is_valid = bytes.startsWith(kCompressed) &&
                        block.size() > kSizePrefixBytes &&
                        DecompressedSize(block) <= kMaxObjectBytes;
  auto decompressed = is_valid ? qUncompress(block) : QByteArray();
  if (decompressed.isEmpty()) {
    return Fail(ResultCode::kBadMessage,
                "relayed object cannot be decompressed");
  }
  return decompressed;
}

QCborMap EncodeVersion(const RelayVersion& version) {
  QCborMap map{{"revision", static_cast<qint64>(version.revision)}};
  if (version.era) {
    map[QLatin1String("era")] = static_cast<qint64>(*version.era);
  }
  return map;
}

/// The revision is negative if it is missing.
RelayVersion DecodeVersion(const QCborMap& map) {
  RelayVersion version{{}, map[QLatin1String("revision")].toInteger(-1)};
  const auto era = map[QLatin1String("era")].toInteger(-1);
  if (era >= 0) version.era = era;
  return version;
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
  auto map = EncodeVersion(version);
  map[QLatin1String("kind")] = Text(kind);
  map[QLatin1String("wait_ms")] = static_cast<qint64>(wait.count());
  return QCborValue(map).toCbor();
}

Result<RelayRequest> RelayRequest::Decode(const QByteArray& bytes) {
  BOOST_LEAF_AUTO(decoded, DecodePeerMessage(bytes));
  const QCborMap& map = decoded;
  RelayRequest request;
  request.kind = map[QLatin1String("kind")].toString().toStdString();
  request.version = DecodeVersion(map);
  request.wait = Duration(map[QLatin1String("wait_ms")].toInteger(-1));
  if (request.kind.empty() || request.version.revision < 0 ||
      request.wait < Duration(0)) {
    return Fail(ResultCode::kBadMessage,
                "relay request has no kind, or an invalid revision or wait");
  }
  return request;
}

QByteArray RelayResponse::Encode() const {
  QCborArray list;
  for (const auto& change : changes) {
    list.append(QCborArray{Text(change.name), change.bytes, change.removed});
  }
  auto map = EncodeVersion(version);
  map[QLatin1String("known")] = available;
  map[QLatin1String("heard_ms")] =
      static_cast<qint64>(store_contact_age.count());
  map[QLatin1String("changes")] = list;
  return QCborValue(map).toCbor();
}

Result<RelayResponse> RelayResponse::Decode(const QByteArray& bytes) {
  BOOST_LEAF_AUTO(decoded, DecodePeerMessage(bytes));
  const QCborMap& map = decoded;
  RelayResponse response;
  response.available = map[QLatin1String("known")].toBool();
  response.version = DecodeVersion(map);
  response.store_contact_age =
      Duration(map[QLatin1String("heard_ms")].toInteger(-1));
  if (response.version.revision < 0 ||
      response.store_contact_age < Duration(0)) {
    return Fail(ResultCode::kBadMessage,
                "relay response has an invalid revision or store contact age");
  }
  const auto list = map[QLatin1String("changes")].toArray();
  for (const auto& item : list) {
    const auto change = item.toArray();
    const auto name = change.at(0).toString().toStdString();
    if (name.empty()) {
      return Fail(ResultCode::kBadMessage, "relayed object has no name");
    }
    response.changes.push_back(
        {name, change.at(1).toByteArray(), change.at(2).toBool()});
  }
  return response;
}

}  // namespace firmoor
