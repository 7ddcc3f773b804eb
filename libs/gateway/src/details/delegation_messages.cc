#include "details/delegation_messages.h"

#include <QCborArray>
#include <QCborMap>
#include <QCborValue>

#include "base/text.h"
#include "peer/peer_message.h"

namespace firmoor::details {
namespace {

// Bounds of what messages may state.
constexpr std::int64_t kMaxTimeLeftMs = 24 * 3'600 * 1'000;
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;

QByteArray Bytes(const std::string& text) {
  return QByteArray::fromStdString(text);
}

std::string StringOf(const QCborValue& value) {
  return value.isByteArray() ? value.toByteArray().toStdString()
                             : value.toString().toStdString();
}

QCborArray EncodeHeaders(const HttpHeaders& headers) {
  QCborArray items;
  for (const auto& header : headers) {
    items.append(QCborArray{Bytes(header.name), Bytes(header.value)});
  }
  return items;
}

HttpHeaders DecodeHeaders(const QCborValue& value) {
  HttpHeaders headers;
  const auto items = value.toArray();
  for (const auto& item : items) {
    const auto pair = item.toArray();
    headers.push_back({StringOf(pair.at(0)), StringOf(pair.at(1))});
  }
  return headers;
}

template <typename Strings>
QCborArray EncodeStrings(const Strings& strings) {
  QCborArray items;
  for (const auto& text : strings) items.append(Bytes(text));
  return items;
}

template <typename Strings>
Strings DecodeStrings(const QCborValue& value) {
  Strings strings;
  const auto items = value.toArray();
  for (const auto& item : items) {
    strings.insert(strings.end(), StringOf(item));
  }
  return strings;
}

QCborArray EncodeChunks(const std::vector<PromptChunk>& chunks) {
  QCborArray items;
  for (const auto& chunk : chunks) {
    items.append(QCborArray{static_cast<qint64>(chunk.id), chunk.tokens});
  }
  return items;
}

std::vector<PromptChunk> DecodeChunks(const QCborValue& value) {
  std::vector<PromptChunk> chunks;
  const auto items = value.toArray();
  for (const auto& item : items) {
    const auto pair = item.toArray();
    chunks.push_back({static_cast<std::uint64_t>(pair.at(0).toInteger()),
                      pair.at(1).toDouble()});
  }
  return chunks;
}

QCborMap EncodeRequest(const ForwardRequest& request) {
  QCborMap map{{"id", Bytes(request.id)},
               {"method", Bytes(request.method)},
               {"target", Bytes(request.target)},
               {"host", Bytes(request.host)},
               {"headers", EncodeHeaders(request.headers)},
               {"body", Bytes(request.body)},
               {"key", Bytes(request.key)},
               {"chunks", EncodeChunks(request.prompt_chunks)},
               {"digests", EncodeStrings(request.shared_chunk_digests)},
               {"max_output", request.max_output_tokens},
               {"last_event", Bytes(request.last_event_id)},
               {"resumes", Bytes(request.resumed_id)}};
  if (request.caller_timeout) {
    map[QLatin1String("time_left")] =
        static_cast<qint64>(request.caller_timeout->count());
  }
  if (request.prompt_tokens) {
    map[QLatin1String("prompt")] = *request.prompt_tokens;
  }
  return map;
}

ForwardRequest DecodeRequest(const QCborMap& map) {
  const auto text = [&map](const char* name) {
    return StringOf(map[QLatin1String(name)]);
  };
  ForwardRequest request;
  request.id = text("id");
  request.method = text("method");
  request.target = text("target");
  request.host = text("host");
  request.headers = DecodeHeaders(map[QLatin1String("headers")]);
  request.body = text("body");
  request.key = text("key");
  request.prompt_chunks = DecodeChunks(map[QLatin1String("chunks")]);
  request.shared_chunk_digests =
      DecodeStrings<std::vector<std::string>>(map[QLatin1String("digests")]);
  request.max_output_tokens = map[QLatin1String("max_output")].toDouble();
  request.last_event_id = text("last_event");
  request.resumed_id = text("resumes");
  const auto time_left = map[QLatin1String("time_left")];
  if (time_left.isInteger()) {
    request.caller_timeout = Duration(time_left.toInteger());
  }
  const auto prompt = map[QLatin1String("prompt")];
  if (!prompt.isUndefined()) request.prompt_tokens = prompt.toDouble();
  return request;
}

}  // namespace

QByteArray DelegatedRequest::Encode() const {
  QCborMap map{{"sender", Text(sender)},
               {"config", static_cast<qint64>(config_version)},
               {"request", EncodeRequest(request)},
               {"service", Text(service)},
               {"tried", EncodeStrings(tried_upstreams)},
               {"attempts", attempts},
               {"usage_counted", usage_counted}};
  if (version) map[QLatin1String("version")] = Text(*version);
  return QCborValue(map).toCbor();
}

Result<DelegatedRequest> DelegatedRequest::Decode(const QByteArray& bytes) {
  BOOST_LEAF_AUTO(map, DecodePeerMessage(bytes));
  DelegatedRequest decoded;
  decoded.sender = StringOf(map[QLatin1String("sender")]);
  decoded.config_version = map[QLatin1String("config")].toInteger(-1);
  decoded.request = DecodeRequest(map[QLatin1String("request")].toMap());
  decoded.service = StringOf(map[QLatin1String("service")]);
  decoded.tried_upstreams =
      DecodeStrings<std::set<std::string>>(map[QLatin1String("tried")]);
  decoded.attempts =
      static_cast<int>(map[QLatin1String("attempts")].toInteger());
  decoded.usage_counted = map[QLatin1String("usage_counted")].toBool();
  const auto version = map[QLatin1String("version")];
  if (version.isString()) decoded.version = StringOf(version);
  const auto time_left = decoded.request.caller_timeout.value_or(Duration(1));
  const bool is_in_range = time_left.count() >= 1 &&
                           time_left.count() <= kMaxTimeLeftMs &&
                           decoded.attempts >= 0;
  if (!is_in_range) {
    return Fail(ResultCode::kBadMessage,
                "delegated request has a number out of range");
  }
  if (decoded.request.id.empty() || decoded.service.empty()) {
    return Fail(ResultCode::kBadMessage,
                "delegated request has no id or service");
  }
  return decoded;
}

QByteArray DelegationReply::Encode() const {
  QCborMap map{{"kind", static_cast<int>(kind)}};
  if (kind == Kind::kRefused) {
    map[QLatin1String("reason")] = static_cast<int>(reason);
  }
  if (kind == Kind::kResponse || kind == Kind::kStreamStart) {
    map[QLatin1String("status")] = response.status;
    map[QLatin1String("headers")] = EncodeHeaders(response.headers);
  }
  if (!response.body.empty()) map[QLatin1String("body")] = Bytes(response.body);
  if (!version.empty()) map[QLatin1String("version")] = Text(version);
  return QCborValue(map).toCbor();
}

Result<DelegationReply> DelegationReply::Decode(const QByteArray& bytes) {
  BOOST_LEAF_AUTO(map, DecodePeerMessage(bytes));
  const auto kind = map[QLatin1String("kind")].toInteger(-1);
  const auto reason = map[QLatin1String("reason")].toInteger(0);
  const bool is_known =
      kind >= 0 && kind <= static_cast<int>(Kind::kStreamEnd) && reason >= 0 &&
      reason <= static_cast<int>(PeerRefusal::kOutdated);
  if (!is_known) {
    return Fail(ResultCode::kBadMessage, "reply of an unknown kind");
  }
  DelegationReply decoded;
  decoded.kind = static_cast<Kind>(kind);
  decoded.reason = static_cast<PeerRefusal>(reason);
  decoded.response.status =
      static_cast<int>(map[QLatin1String("status")].toInteger());
  const bool has_head =
      decoded.kind == Kind::kResponse || decoded.kind == Kind::kStreamStart;
  if (has_head && (decoded.response.status < kMinStatus ||
                   decoded.response.status > kMaxStatus)) {
    return Fail(ResultCode::kBadMessage, "reply has no valid status");
  }
  decoded.response.headers = DecodeHeaders(map[QLatin1String("headers")]);
  decoded.response.body = StringOf(map[QLatin1String("body")]);
  decoded.version = StringOf(map[QLatin1String("version")]);
  return decoded;
}

}  // namespace firmoor::details
