#include "dissemination/relay_messages.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <QCborArray>
#include <QCborMap>
#include <QCborValue>
#include <string>

namespace firmoor {
namespace {

template <typename T>
bool IsRefused(const QByteArray& bytes) {
  return std::holds_alternative<Error>(
      Capture([&] { return T::Decode(bytes); }));
}

KindChange Change(const QString& text) {
  return {{"name", QJsonObject{{"text", text}, {"number", 7}}}, false};
}

}  // namespace

TEST_CASE("what daemons tell each other comes back as it was sent") {
  const RelayRequest ask{"servers", 77, Duration(500)};
  CHECK(std::get<RelayRequest>(Capture(
            [&] { return RelayRequest::Decode(ask.Encode()); })) == ask);
  const RelayResponse answer{
      true, 80, Duration(300), {{"a", "bytes", false}, {"b", {}, true}}};
  CHECK(std::get<RelayResponse>(Capture(
            [&] { return RelayResponse::Decode(answer.Encode()); })) == answer);
}

TEST_CASE("objects come back as they were") {
  for (const auto& text : {QString("short"), QString(5'000, 'x')}) {
    const auto change = Change(text);
    const auto decoded =
        Capture([&] { return DecodeChange(EncodeChange(change)); });
    CHECK(std::get<KindChange>(decoded) == change);
  }
  SUBCASE("and a large one is small on its way (large configuration)") {
    CHECK(EncodeChange(Change(QString(50'000, 'x'))).bytes.size() < 1'000);
  }
}

TEST_CASE("messages that are malformed are refused") {
  for (const auto* bytes : {"", "x", "\xa0"}) {
    CHECK(IsRefused<RelayRequest>(bytes));
    CHECK(IsRefused<RelayResponse>(bytes));
    CHECK(std::holds_alternative<Error>(Capture([&] {
      return DecodeChange({"a", bytes, false});
    })));
  }
  // A block that claims to unpack to 4 GB, and one that ends too soon.
  for (const auto& block :
       {QByteArray("z\xff\xff\xff\xff rest", 10), QByteArray("z\x00\x00", 3)}) {
    CHECK(std::holds_alternative<Error>(Capture([&] {
      return DecodeChange({"a", block, false});
    })));
  }
}

TEST_CASE("no bytes bring the decoders down") {
  rc::check([](const std::string& text) {
    const auto bytes = QByteArray::fromStdString(text);
    Capture([&] { return RelayRequest::Decode(bytes); });
    Capture([&] { return RelayResponse::Decode(bytes); });
    Capture([&] { return DecodeChange({"a", bytes, false}); });
    Capture([&] { return DecodeChange({"a", "z" + bytes, false}); });
  });
}

}  // namespace firmoor
