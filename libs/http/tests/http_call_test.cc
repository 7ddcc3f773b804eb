#include "http/http_call.h"

#include <doctest/doctest.h>
#include <sys/socket.h>

#include <QTimer>
#include <cstring>
#include <optional>
#include <string>

#include "support/raw_socket.h"

namespace firmoor {
namespace {

constexpr HttpCallTimeouts kTimes{Duration(300), Duration(300), Duration(300)};

struct Exchange {
  std::optional<HttpFetchResult> result;
  std::unique_ptr<HttpCall> call;

  Exchange(const Endpoint& to, HttpRequest request,
           HttpConnectionPool* pool = nullptr) {
    call = HttpFetch(to, std::move(request), kTimes, pool,
                     [this](HttpFetchResult end) { result = std::move(end); });
  }
  bool Wait() {
    return WaitUntil([&] { return result.has_value(); });
  }
};

HttpRequest Make(std::string method, std::string body = "") {
  return {std::move(method), "/book", {}, std::move(body)};
}

void Answer(RawUpstream::Connection& connection, const char* body) {
  connection.socket->write(
      QByteArray("HTTP/1.1 200 OK\r\nContent-Length: ") +
      QByteArray::number(static_cast<qsizetype>(std::strlen(body))) +
      "\r\n\r\n" + body);
}

}  // namespace

TEST_CASE("an upstream that closes a connection after reading a request") {
  RawUpstream upstream([](auto& connection) {
    if (connection.requests == 1 &&
        connection.received.find("Connection: close") == std::string::npos) {
      Answer(connection, "ok");
    } else {
      connection.socket->disconnectFromHost();
    }
  });
  HttpConnectionPool pool;
  Exchange first(upstream.Address(), {"GET", "/", {}, {}}, &pool);
  REQUIRE(first.Wait());
  REQUIRE(first.result->end == HttpCallEnd::kComplete);

  SUBCASE("sees a POST once, on a fresh connection") {
    Exchange post(upstream.Address(), Make("POST", "x"));
    REQUIRE(post.Wait());
    RunFor(100);
    CHECK(post.result->end == HttpCallEnd::kNoResponse);
    CHECK(post.result->may_have_been_sent);
    CHECK(upstream.Requests() == 2);
    CHECK(upstream.Connections() == 2);
  }
  SUBCASE("sees a POST without a body once") {
    Exchange post(upstream.Address(), Make("POST"));
    REQUIRE(post.Wait());
    RunFor(100);
    CHECK(post.result->end == HttpCallEnd::kNoResponse);
    CHECK(upstream.Requests() == 2);
  }
  SUBCASE("sees DELETE and PATCH once each") {
    for (const char* method : {"DELETE", "PATCH"}) {
      Exchange call(upstream.Address(), Make(method));
      REQUIRE(call.Wait());
      CHECK(call.result->end == HttpCallEnd::kNoResponse);
    }
    RunFor(100);
    CHECK(upstream.Requests() == 3);
  }
  SUBCASE("sees a GET on the kept connection once; the caller decides") {
    Exchange get(upstream.Address(), Make("GET"), &pool);
    REQUIRE(get.Wait());
    CHECK(get.result->end == HttpCallEnd::kNoResponse);
    CHECK(upstream.Requests() == 2);
    CHECK(upstream.Connections() == 1);
  }
}

TEST_CASE("a redirect is passed through and not followed") {
  RawUpstream upstream([](auto& connection) {
    connection.socket->write(
        "HTTP/1.1 307 Temporary Redirect\r\nLocation: /again\r\n"
        "Content-Length: 0\r\n\r\n");
  });
  Exchange post(upstream.Address(), Make("POST", "x"));
  REQUIRE(post.Wait());
  CHECK(post.result->answer.status == 307);
  CHECK(HeaderValue(post.result->answer.headers, "location") == "/again");
  CHECK(upstream.Requests() == 1);
}

TEST_CASE("more streams to one upstream than six run side by side") {
  RawUpstream upstream([](auto& connection) {
    connection.socket->write(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n");
  });
  std::vector<std::unique_ptr<Exchange>> streams;
  streams.reserve(20);
  for (int i = 0; i < 20; ++i) {
    streams.push_back(
        std::make_unique<Exchange>(upstream.Address(), Make("POST", "x")));
  }
  CHECK(WaitUntil([&] { return upstream.Requests() == 20; }, 1'000));
}

TEST_CASE("a caller can tell what became of its request") {
  SUBCASE("refused connection: no byte left") {
    Endpoint closed;
    {
      RawUpstream gone([](auto&) {});
      closed = gone.Address();
    }
    Exchange call(closed, Make("POST", "x"));
    REQUIRE(call.Wait());
    CHECK(call.result->end == HttpCallEnd::kNotConnected);
    CHECK_FALSE(call.result->may_have_been_sent);
  }
  SUBCASE("silence after the request") {
    RawUpstream upstream([](auto&) {});
    Exchange call(upstream.Address(), Make("POST", "x"));
    REQUIRE(call.Wait());
    CHECK(call.result->end == HttpCallEnd::kTimedOut);
    CHECK(call.result->may_have_been_sent);
  }
  SUBCASE("answer cut short") {
    RawUpstream upstream([](auto& connection) {
      connection.socket->write(
          "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
      connection.socket->disconnectFromHost();
    });
    Exchange call(upstream.Address(), Make("GET"));
    REQUIRE(call.Wait());
    CHECK(call.result->end == HttpCallEnd::kTruncated);
  }
  SUBCASE("answer that is no HTTP") {
    RawUpstream upstream(
        [](auto& connection) { connection.socket->write("nonsense\r\n\r\n"); });
    Exchange call(upstream.Address(), Make("GET"));
    REQUIRE(call.Wait());
    CHECK(call.result->end == HttpCallEnd::kMalformed);
  }
  SUBCASE("answer that stalls in the middle") {
    RawUpstream upstream([](auto& connection) {
      connection.socket->write(
          "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    });
    Exchange call(upstream.Address(), Make("GET"));
    REQUIRE(call.Wait());
    CHECK(call.result->end == HttpCallEnd::kTimedOut);
  }
}

TEST_CASE("an answer that trickles is bounded as a whole") {
  // A byte each 50 ms is never silence.
  RawUpstream upstream([](auto& connection) {
    connection.socket->write("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n");
    auto* timer = new QTimer(connection.socket);
    QObject::connect(timer, &QTimer::timeout, connection.socket,
                     [socket = connection.socket] { socket->write("x"); });
    timer->start(50);
  });
  std::optional<HttpFetchResult> result;
  auto times = kTimes;
  SUBCASE("and given up at its end") {
    times.whole = Duration(500);
    const auto call =
        HttpFetch(upstream.Address(), Make("GET"), times, nullptr,
                  [&](HttpFetchResult end) { result = std::move(end); });
    REQUIRE(WaitUntil([&] { return result.has_value(); }, 1'000));
    CHECK(result->end == HttpCallEnd::kTimedOut);
  }
  SUBCASE("but goes on where it has none, as streams do") {
    const auto call =
        HttpFetch(upstream.Address(), Make("GET"), times, nullptr,
                  [&](HttpFetchResult end) { result = std::move(end); });
    RunFor(800);
    CHECK_FALSE(result);
  }
}

TEST_CASE("an answer never reaches a call that did not ask for it") {
  // The upstream sends a second, unasked answer on the kept connection.
  RawUpstream upstream([](auto& connection) {
    Answer(connection, connection.requests == 1 ? "one" : "two");
    if (connection.requests == 1) Answer(connection, "unasked");
  });
  HttpConnectionPool pool;
  Exchange first(upstream.Address(), Make("GET"), &pool);
  REQUIRE(first.Wait());
  CHECK(first.result->answer.body == "one");
  RunFor(50);
  Exchange second(upstream.Address(), Make("GET"), &pool);
  REQUIRE(second.Wait());
  CHECK(second.result->answer.body != "unasked");
}

TEST_CASE("an answer whose end is that of its connection") {
  bool reset = false;
  RawUpstream upstream([&](auto& connection) {
    connection.socket->write("HTTP/1.1 200 OK\r\n\r\nhalf or whole");
    connection.socket->flush();
    QTimer::singleShot(30, connection.socket, [&, s = connection.socket] {
      if (!reset) return s->disconnectFromHost();
      const linger now{1, 0};
      setsockopt(static_cast<int>(s->socketDescriptor()), SOL_SOCKET, SO_LINGER,
                 &now, sizeof(now));
      s->abort();
    });
  });

  SUBCASE("is whole when the connection was closed in good order") {
    Exchange call(upstream.Address(), Make("GET"));
    REQUIRE(call.Wait());
    CHECK(call.result->end == HttpCallEnd::kComplete);
  }
  SUBCASE("is incomplete when the connection was reset") {
    reset = true;
    Exchange call(upstream.Address(), Make("GET"));
    REQUIRE(call.Wait());
    CHECK(call.result->end == HttpCallEnd::kTruncated);
  }
}

TEST_CASE("a kept connection is given up") {
  HttpConnectionPool pool;
  int connections = 0;

  SUBCASE("when the server announces to close it soon") {
    RawUpstream upstream([&](auto& connection) {
      connections += connection.requests == 1 ? 1 : 0;
      connection.socket->write(
          "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\n"
          "Content-Length: 0\r\n\r\n");
    });
    for (int i = 0; i < 2; ++i) {
      Exchange call(upstream.Address(), Make("GET"), &pool);
      REQUIRE(call.Wait());
    }
    CHECK(connections == 2);
  }
  SUBCASE("when bytes arrived on it that nobody asked for") {
    RawUpstream upstream([&](auto& connection) {
      connections += connection.requests == 1 ? 1 : 0;
      Answer(connection, "one");
      connection.socket->flush();
      QTimer::singleShot(10, connection.socket,
                         [s = connection.socket] { s->write("HTTP/1.1 2"); });
    });
    for (int i = 0; i < 2; ++i) {
      Exchange call(upstream.Address(), Make("GET"), &pool);
      REQUIRE(call.Wait());
      CHECK(call.result->answer.body == "one");
      RunFor(50);
    }
    CHECK(connections == 2);
  }
}

TEST_CASE("an interim answer is not the answer") {
  RawUpstream upstream([](auto& connection) {
    connection.socket->write("HTTP/1.1 100 Continue\r\n\r\n");
    Answer(connection, "real");
  });
  Exchange call(upstream.Address(), Make("POST", "x"));
  REQUIRE(call.Wait());
  CHECK(call.result->answer.status == 200);
  CHECK(call.result->answer.body == "real");
}

}  // namespace firmoor
