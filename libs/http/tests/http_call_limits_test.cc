#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "http/body_budget.h"
#include "http/http_fetch.h"
#include "support/raw_socket.h"

namespace firmoor {
namespace {

constexpr HttpCallTimeouts kTimeouts{Duration(1'000), Duration(1'000),
                                     Duration(1'000)};
constexpr std::uint64_t kLimitBytes = 100 * 1024;
constexpr TimePoint kStart{Duration(1'000'000)};

/// A response head with `fields`, and then the same bytes without end.
struct EndlessUpstream {
  RawUpstream upstream;
  QTimer feed;

  EndlessUpstream(std::string head, std::string repeated)
      : upstream([this, head = std::move(head),
                  repeated = std::move(repeated)](auto& connection) {
          auto* socket = connection.socket;
          socket->write(QByteArray::fromStdString(head));
          QObject::connect(&feed, &QTimer::timeout, socket, [socket, repeated] {
            if (socket->bytesToWrite() > 64 * 1024) return;
            socket->write(QByteArray::fromStdString(repeated));
          });
          feed.start(0);
        }) {}
};

struct Fetch {
  std::optional<HttpFetchResult> result;
  std::unique_ptr<HttpCall> call;

  explicit Fetch(const Endpoint& to, const std::string& method = "GET") {
    HttpFetchOptions options;
    options.max_body_bytes = kLimitBytes;
    call = HttpFetch(
        to, {method, "/", {}, {}}, kTimeouts, nullptr,
        [this](HttpFetchResult end) { result = std::move(end); },
        std::move(options));
  }
  HttpCallEnd WaitEnd() {
    REQUIRE(WaitUntil([&] { return result.has_value(); }));
    CHECK(result->may_have_been_sent);
    return result->end;
  }
};

const std::string kBlock(16 * 1024, 'x');

}  // namespace

// Guards against an announced length that is reserved: the allocation failed
// and ended the process with all its requests (review/1).
TEST_CASE("a response that announces a length") {
  SUBCASE("beyond all memory ends its call, not the process") {
    for (const char* length :
         {"1000000000000000", "4611686018427387904", "9223372036854775807"}) {
      EndlessUpstream upstream("HTTP/1.1 200 OK\r\nContent-Length: " +
                                   std::string(length) + "\r\n\r\n",
                               kBlock);
      SUBCASE("when the body is collected") {
        Fetch fetch(upstream.upstream.Address());
        CHECK(fetch.WaitEnd() == HttpCallEnd::kTooLarge);
        CHECK(fetch.result->answer.body.empty());
      }
      SUBCASE("when the body is passed on as it arrives") {
        std::size_t received = 0;
        bool ended = false;
        auto call =
            HttpCall::Builder(upstream.upstream.Address(), {"GET", "/", {}, {}})
                .Timeouts(kTimeouts)
                .OnBody(
                    [&](std::string_view bytes) { received += bytes.size(); })
                .OnEnd([&](HttpCallEnd) { ended = true; })
                .Start();
        CHECK(WaitUntil([&] { return received > kLimitBytes; }));
        CHECK_FALSE(ended);
      }
    }
  }
  SUBCASE("of a body that a HEAD response does not have is complete") {
    RawUpstream upstream([](auto& connection) {
      connection.socket->write(
          "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000000\r\n\r\n");
    });
    Fetch fetch(upstream.Address(), "HEAD");
    CHECK(fetch.WaitEnd() == HttpCallEnd::kComplete);
  }
  SUBCASE("at the limit arrives whole") {
    RawUpstream upstream([](auto& connection) {
      connection.socket->write(
          "HTTP/1.1 200 OK\r\nContent-Length: " +
          QByteArray::number(static_cast<qulonglong>(kLimitBytes)) +
          "\r\n\r\n" + QByteArray(static_cast<qsizetype>(kLimitBytes), 'x'));
    });
    Fetch fetch(upstream.Address());
    CHECK(fetch.WaitEnd() == HttpCallEnd::kComplete);
    CHECK(fetch.result->answer.body.size() == kLimitBytes);
  }
}

// Guards against interim responses without end that hold a caller's request:
// each read of them restarted the time of the first byte.
TEST_CASE("interim responses do not begin a response") {
  EndlessUpstream upstream("", "HTTP/1.1 100 Continue\r\n\r\n");
  const auto started = MonotonicNow();
  Fetch fetch(upstream.upstream.Address());
  CHECK(fetch.WaitEnd() == HttpCallEnd::kTimedOut);
  CHECK(MonotonicNow() - started < kTimeouts.first_byte * 2);
}

// Guards against responses without end that are kept until memory runs out.
TEST_CASE("a response without end is not kept beyond a limit") {
  const std::string head = "HTTP/1.1 500 Failed\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  SUBCASE("in a body that ends with its connection") {
    EndlessUpstream upstream(head + "\r\n", kBlock);
    Fetch fetch(upstream.upstream.Address());
    CHECK(fetch.WaitEnd() == HttpCallEnd::kTooLarge);
    CHECK(fetch.result->answer.body.size() <= kLimitBytes + 64 * 1024);
  }
  SUBCASE("in chunks") {
    EndlessUpstream upstream(chunked, "4000\r\n" + kBlock + "\r\n");
    Fetch fetch(upstream.upstream.Address());
    CHECK(fetch.WaitEnd() == HttpCallEnd::kTooLarge);
    CHECK(fetch.result->answer.body.size() <= kLimitBytes + 64 * 1024);
  }
  SUBCASE("in a chunk's extension") {
    EndlessUpstream upstream(chunked + "5;name=", kBlock);
    Fetch fetch(upstream.upstream.Address());
    CHECK(fetch.WaitEnd() == HttpCallEnd::kMalformed);
  }
  SUBCASE("in one field of a trailer") {
    EndlessUpstream upstream(chunked + "0\r\nname: ", kBlock);
    Fetch fetch(upstream.upstream.Address());
    CHECK(fetch.WaitEnd() == HttpCallEnd::kMalformed);
  }
  SUBCASE("in many fields of a trailer") {
    EndlessUpstream upstream(chunked + "0\r\n", "name: " + kBlock + "\r\n");
    Fetch fetch(upstream.upstream.Address());
    CHECK(fetch.WaitEnd() == HttpCallEnd::kMalformed);
  }
  SUBCASE("in its head") {
    EndlessUpstream upstream(head, "name: " + kBlock + "\r\n");
    Fetch fetch(upstream.upstream.Address());
    CHECK(fetch.WaitEnd() == HttpCallEnd::kMalformed);
  }
}

// Guards against large bodies that together take the memory of the process.
TEST_CASE("bodies that are collected share a budget") {
  const auto budget =
      std::make_shared<BodyBudget>(BodyBudget::Limits{100, 50, 20});
  SUBCASE("and each has a limit of its own") {
    BodyBudget::Share body(budget);
    CHECK(body.Grow(70, kStart));
    CHECK_FALSE(body.Grow(31, kStart));
    CHECK(budget->shared_bytes_in_use() == 50);
    CHECK(body.Grow(30, kStart));
    CHECK_FALSE(body.Grow(1, kStart));
  }
  SUBCASE("that large ones cannot take from small ones") {
    BodyBudget::Share large(budget);
    REQUIRE(large.Grow(70, kStart));
    BodyBudget::Share exempt(budget);
    REQUIRE(exempt.Grow(21, kStart));
    BodyBudget::Share small(budget);
    CHECK(small.Grow(20, kStart));
    CHECK_FALSE(small.Grow(1, kStart));
  }
  SUBCASE("and go beyond it one at a time") {
    BodyBudget::Share large(budget);
    REQUIRE(large.Grow(70, kStart));
    auto first = std::make_unique<BodyBudget::Share>(budget);
    BodyBudget::Share second(budget);
    CHECK(first->Grow(30, kStart));
    CHECK_FALSE(second.Grow(30, kStart));
    CHECK(first->Grow(30, kStart));
    SUBCASE("until that one ends") { first.reset(); }
    SUBCASE("and only while nothing is passed on that may free some") {
      first->StartDelivery(
          [&first] {
            first.reset();
            return true;
          },
          kStart);
      CHECK_FALSE(second.Grow(30, kStart));
      CHECK(second.Grow(30, kStart + BodyBudget::kMinStall));
      CHECK(first == nullptr);
    }
    CHECK(second.Grow(30, kStart));
  }
  SUBCASE("that a body gives back at its end") {
    {
      BodyBudget::Share large(budget);
      REQUIRE(large.Grow(70, kStart));
    }
    CHECK(budget->shared_bytes_in_use() == 0);
    BodyBudget::Share next(budget);
    CHECK(next.Grow(70, kStart));
  }
  SUBCASE("and a size that overflows is refused") {
    BodyBudget::Share body(budget);
    REQUIRE(body.Grow(1, kStart));
    CHECK_FALSE(body.Grow(static_cast<std::size_t>(-1), kStart));
  }
}

// Guards against responses that fill the memory of the process while their
// receivers do not read: they were in no budget once they were passed on.
TEST_CASE("a body that is passed on stays in the budget until it is taken") {
  const auto budget =
      std::make_shared<BodyBudget>(BodyBudget::Limits{100, 50, 20});
  // Large bodies by their name, as a connection holds them.
  std::map<std::string, std::unique_ptr<BodyBudget::Share>> held;
  std::set<std::string> reading;  // Though the budget was not told of it.
  const auto pass_on = [&](const std::string& name, TimePoint now) {
    auto share = std::make_unique<BodyBudget::Share>(budget);
    REQUIRE(share->Grow(45, now));
    const auto give_way = [&held, &reading, name] {
      return !reading.contains(name) && held.erase(name) > 0;
    };
    share->StartDelivery(give_way, now);
    held[name] = std::move(share);
  };
  pass_on("first", kStart);
  pass_on("second", kStart + Duration(500));
  BodyBudget::Share next(budget);

  SUBCASE("and is kept from others while its receiver reads") {
    held["first"]->OnTaken(kStart + Duration(1'000));
    CHECK_FALSE(next.Grow(45, kStart + Duration(1'400)));
    CHECK(held.size() == 2);
    CHECK(budget->gave_way() == 0);
  }
  SUBCASE("but gives way when its receiver takes nothing") {
    SUBCASE("the one first that has taken nothing for longest") {
      CHECK(next.Grow(45, kStart + Duration(1'400)));
      CHECK_FALSE(held.contains("first"));
      CHECK(held.contains("second"));
      CHECK(budget->gave_way() == 1);
    }
    SUBCASE("unless it has taken bytes after all") {
      reading = {"first"};
      CHECK_FALSE(next.Grow(45, kStart + Duration(1'400)));
      CHECK(held.size() == 2);
      CHECK(next.Grow(45, kStart + Duration(1'600)));
      CHECK(held.contains("first"));
    }
    SUBCASE("and as many as are needed") {
      CHECK(next.Grow(70, kStart + Duration(5'000)));
      CHECK(held.empty());
      CHECK(budget->shared_bytes_in_use() == 50);
    }
    SUBCASE("not for a body that needs nothing of what all share") {
      CHECK(next.Grow(20, kStart + Duration(5'000)));
      CHECK(held.size() == 2);
    }
  }
  SUBCASE("and counts beyond the limit if it arrived whole") {
    next.Take(90, kStart + Duration(600));
    CHECK(budget->shared_bytes_in_use() == 120);
    BodyBudget::Share small(budget);
    CHECK(small.Grow(20, kStart + Duration(600)));
    CHECK_FALSE(small.Grow(1, kStart + Duration(600)));
  }
  CHECK(budget->shared_bytes_in_use() <= 120);
}

}  // namespace firmoor
