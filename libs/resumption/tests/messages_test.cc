#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <QCborArray>
#include <QCborMap>
#include <QCborValue>
#include <string>
#include <variant>

#include "resumption/record_messages.h"

namespace firmoor {
namespace {

template <typename Message>
std::variant<Message, Error> Read(const QByteArray& bytes) {
  return Capture([&] { return Message::Decode(bytes); });
}

template <typename Message>
bool IsBad(const QByteArray& bytes) {
  const auto decoded = Read<Message>(bytes);
  const auto* error = std::get_if<Error>(&decoded);
  return error != nullptr && error->code == ResultCode::kBadMessage;
}

template <typename Message>
bool RoundTrips(const Message& message) {
  const auto decoded = Read<Message>(message.Encode());
  const auto* result = std::get_if<Message>(&decoded);
  return result != nullptr && *result == message;
}

rc::Gen<std::string> AnyName() {
  return rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
}

rc::Gen<std::string> AnyKey() { return rc::gen::nonEmpty(AnyName()); }

Duration AnyTime() { return Duration(*rc::gen::inRange(0, 1'000'000)); }

QByteArray Cbor(const QCborMap& map) { return QCborValue(map).toCbor(); }

}  // namespace

TEST_CASE("daemons understand each other's messages") {
  SUBCASE("records") {
    CHECK(RoundTrips(RecordBatch{}));
    CHECK(rc::check("any batch", [] {
      RecordBatch batch;
      const auto count = *rc::gen::inRange(0, 5);
      for (int i = 0; i < count; ++i) {
        batch.records.push_back({*AnyKey(), *AnyName(), *AnyName(), AnyTime()});
      }
      RC_ASSERT(RoundTrips(batch));
    }));
  }
  SUBCASE("questions") {
    CHECK(rc::check("any question", [] {
      RC_ASSERT(RoundTrips(RecordQuery{*AnyKey(), *AnyName(), AnyTime()}));
    }));
  }
  SUBCASE("replies") {
    CHECK(rc::check("any reply", [] {
      RecordReply reply;
      reply.is_found = *rc::gen::arbitrary<bool>();
      reply.is_ambiguous = *rc::gen::arbitrary<bool>();
      reply.service = *AnyName();
      reply.version = *AnyName();
      reply.age = AnyTime();
      reply.is_confident = *rc::gen::arbitrary<bool>();
      reply.sees_several = *rc::gen::arbitrary<bool>();
      reply.only_version = *AnyName();
      reply.earlier_version = *AnyName();
      RC_ASSERT(RoundTrips(reply));
    }));
  }
}

TEST_CASE("a daemon rejects messages that it cannot read") {
  SUBCASE("records without a key or with a lifetime below 0") {
    const auto batch = [](const QCborArray& record) {
      return Cbor({{"records", QCborArray{record}}});
    };
    CHECK_FALSE(IsBad<RecordBatch>(batch({"k", "s", "v", 0})));
    CHECK(IsBad<RecordBatch>(batch({"", "s", "v", 1})));
    CHECK(IsBad<RecordBatch>(batch({"k", "s", "v", -1})));
    CHECK(IsBad<RecordBatch>(batch({"k", "s", "v"})));
    CHECK(IsBad<RecordBatch>(batch({1, "s", "v", 1})));
  }
  SUBCASE("questions without a key or a time") {
    CHECK_FALSE(IsBad<RecordQuery>(Cbor({{"key", "k"}, {"horizon", 0}})));
    CHECK(IsBad<RecordQuery>(Cbor({{"key", "k"}})));
    CHECK(IsBad<RecordQuery>(Cbor({{"key", "k"}, {"horizon", -1}})));
    CHECK(IsBad<RecordQuery>(Cbor({{"horizon", 1}})));
  }
  SUBCASE("replies that do not say whether there is a record") {
    CHECK_FALSE(IsBad<RecordReply>(Cbor({{"found", false}})));
    CHECK(IsBad<RecordReply>(Cbor({})));
    CHECK(IsBad<RecordReply>(Cbor({{"found", 1}})));
  }
  SUBCASE("any bytes, without an end of the process") {
    CHECK(rc::check("are read or rejected", [](const std::string& text) {
      const auto bytes = QByteArray::fromStdString(text);
      const auto batch = Read<RecordBatch>(bytes);
      const auto query = Read<RecordQuery>(bytes);
      const auto reply = Read<RecordReply>(bytes);
      RC_ASSERT(!batch.valueless_by_exception());
      RC_ASSERT(!query.valueless_by_exception());
      RC_ASSERT(!reply.valueless_by_exception());
    }));
    CHECK(rc::check("also the damaged ones of a batch", [] {
      auto bytes = RecordBatch{{{"key", "s", "v", Duration(9)}}}.Encode();
      const auto at = *rc::gen::inRange(0, static_cast<int>(bytes.size()));
      bytes[at] = static_cast<char>(*rc::gen::inRange(0, 256));
      const auto decoded = Read<RecordBatch>(bytes);
      const auto* batch = std::get_if<RecordBatch>(&decoded);
      if (batch == nullptr) return;
      for (const auto& record : batch->records) {
        RC_ASSERT(!record.key.empty());
        RC_ASSERT(record.lifetime >= Duration(0));
      }
    }));
  }
}

}  // namespace firmoor
