#include "serving/request_record.h"

#include <QCborArray>
#include <QCborValue>

namespace firmoor {
namespace {

constexpr qsizetype kRecordFields = 12;
constexpr qsizetype kProgressFields = 5;
constexpr qsizetype kAnswerFields = 3;

QByteArray Bytes(const std::string& text) {
  return QByteArray::fromStdString(text);
}

QCborArray EncodeStrings(const std::vector<std::string>& strings) {
  QCborArray array;
  for (const auto& text : strings) array.append(Bytes(text));
  return array;
}

std::vector<std::string> DecodeStrings(const QCborArray& array) {
  std::vector<std::string> strings;
  for (const auto& item : array) {
    strings.push_back(item.toByteArray().toStdString());
  }
  return strings;
}

QCborArray EncodeHeaders(const HttpHeaders& headers) {
  QCborArray array;
  for (const auto& header : headers) {
    array.append(Bytes(header.name));
    array.append(Bytes(header.value));
  }
  return array;
}

HttpHeaders DecodeHeaders(const QCborArray& array) {
  HttpHeaders headers;
  const auto strings = DecodeStrings(array);
  for (std::size_t i = 0; i + 1 < strings.size(); i += 2) {
    headers.push_back({strings[i], strings[i + 1]});
  }
  return headers;
}

QCborArray EncodeAnswer(const HttpResponse& answer) {
  return {answer.status, EncodeHeaders(answer.headers), Bytes(answer.body)};
}

HttpResponse DecodeAnswer(const QCborArray& array) {
  return {static_cast<int>(array.at(0).toInteger()),
          DecodeHeaders(array.at(1).toArray()),
          array.at(2).toByteArray().toStdString()};
}

std::string TextAt(const QCborArray& array, qsizetype i) {
  return array.at(i).toByteArray().toStdString();
}

}  // namespace

QByteArray RequestRecord::Encode() const {
  const QCborArray array{Bytes(id),
                         Bytes(workspace),
                         Bytes(request.method),
                         Bytes(request.target),
                         EncodeHeaders(request.headers),
                         Bytes(request.body),
                         async,
                         static_cast<int>(phase),
                         EncodeStrings(tokens),
                         static_cast<qint64>(time_left.count()),
                         QCborArray{claim_held, earlier_unknown},
                         EncodeAnswer(answer)};
  return QCborValue(array).toCbor();
}

Result<RequestRecord> RequestRecord::Decode(const QByteArray& bytes) {
  const auto array = QCborValue::fromCbor(bytes).toArray();
  if (array.size() != kRecordFields) {
    return Fail(ResultCode::kBadMessage,
                "a request record must have 12 fields");
  }
  RequestRecord record;
  record.id = TextAt(array, 0);
  record.workspace = TextAt(array, 1);
  record.request = {TextAt(array, 2), TextAt(array, 3),
                    DecodeHeaders(array.at(4).toArray()), TextAt(array, 5)};
  record.async = array.at(6).toBool();
  record.phase = static_cast<RequestPhase>(array.at(7).toInteger());
  record.tokens = DecodeStrings(array.at(8).toArray());
  record.time_left = Duration(array.at(9).toInteger());
  record.claim_held = array.at(10).toArray().at(0).toBool();
  record.earlier_unknown = array.at(10).toArray().at(1).toBool();
  record.answer = DecodeAnswer(array.at(11).toArray());
  return record;
}

QByteArray RequestProgress::Encode() const {
  // Behind the answer, where earlier builds do not look.
  auto fields_of_answer = EncodeAnswer(answer);
  if (time_left) {
    fields_of_answer.append(static_cast<qint64>(time_left->count()));
  }
  const QCborArray array{found, Bytes(workspace), EncodeStrings(tokens), done,
                         fields_of_answer};
  return QCborValue(array).toCbor();
}

Result<RequestProgress> RequestProgress::Decode(const QByteArray& bytes) {
  const auto array = QCborValue::fromCbor(bytes).toArray();
  if (array.size() != kProgressFields) {
    return Fail(ResultCode::kBadMessage,
                "a request progress message must have 5 fields");
  }
  RequestProgress progress;
  progress.found = array.at(0).toBool();
  progress.workspace = TextAt(array, 1);
  progress.tokens = DecodeStrings(array.at(2).toArray());
  progress.done = array.at(3).toBool();
  const auto answer = array.at(4).toArray();
  progress.answer = DecodeAnswer(answer);
  if (answer.size() > kAnswerFields) {
    progress.time_left = Duration(answer.at(kAnswerFields).toInteger());
  }
  return progress;
}

}  // namespace firmoor
