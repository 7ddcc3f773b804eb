#include "http/http_call.h"

#include <doctest/doctest.h>
#include <sys/socket.h>

#include <QTimer>
#include <cstring>
#include <optional>
#include <string>

#include "http/http_fetch.h"
#include "support/raw_socket.h"

namespace firmoor {
namespace {

constexpr HttpCallTimeouts kTimeouts{Duration(300), Duration(300),
                                     Duration(300)};

struct Exchange {
  std::optional<HttpFetchResult> result;
  std::unique_ptr<HttpCall> call;

  Exchange(const Endpoint& to, HttpRequest request,
           HttpConnectionPool* pool = nullptr) {
    call = HttpFetch(to, std::move(request), kTimeouts, pool,
                     [this](HttpFetchResult end) { result = std::move(end); });
  }
  bool Wait() {
    return WaitUntil([&] { return result.has_value(); });
  }
};

HttpRequest Make(std::string method, std::string body = "") {
  return {std::move(method), "/book", {}, std::move(body)};
}

void Respond(RawUpstream::Connection& connection, const char* body) {
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
      Respond(connection, "ok");
    } else {
      connection.socket->disconnectFromHost();
    }
  });
  HttpConnectionPool pool;
  Exchange first(upstream.Address(), {"GET", "/", {}, {}}, &pool);
  REQUIRE(first.Wait());
  REQUIRE(first.result->end == HttpCallEnd::kComplete);

  SUBCASE("receives a POST once, on a new connection") {
    Exchange post(upstream.Address(), Make("POST", "x"));
    REQUIRE(post.Wait());
    RunFor(100);
    CHECK(post.result->end == HttpCallEnd::kNoResponse);
    CHECK(post.result->may_have_been_sent);
    CHECK(upstream.Requests() == 2);
    CHECK(upstream.Connections() == 2);
  }
  SUBCASE("receives a POST without a body once") {
    Exchange post(upstream.Address(), Make("POST"));
    REQUIRE(post.Wait());
    RunFor(100);
    CHECK(post.result->end == HttpCallEnd::kNoResponse);
    CHECK(upstream.Requests() == 2);
  }
  SUBCASE("receives DELETE and PATCH once each") {
    for (const char* method : {"DELETE", "PATCH"}) {
      Exchange call(upstream.Address(), Make(method));
      REQUIRE(call.Wait());
      CHECK(call.result->end == HttpCallEnd::kNoResponse);
    }
    RunFor(100);
    CHECK(upstream.Requests() == 3);
  }
  SUBCASE("receives a GET on the pooled connection once, without a retry") {
    Exchange get(upstream.Address(), Make("GET"), &pool);
    REQUIRE(get.Wait());
    CHECK(get.result->end == HttpCallEnd::kNoResponse);
    CHECK(upstream.Requests() == 2);
    CHECK(upstream.Connections() == 1);
  }
}

TEST_CASE("a redirect is returned to the caller and not followed") {
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

TEST_CASE("more than six streams to one upstream run concurrently") {
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

TEST_CASE("the end of a call tells how the exchange failed") {
  SUBCASE("refused connection: no byte was sent") {
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
  SUBCASE("no response to the request") {
    RawUpstream upstream([](auto&) {});
    Exchange call(upstream.Address(), Make("POST", "x"));
    REQUIRE(call.Wait());
    CHECK(call.result->end == HttpCallEnd::kTimedOut);
    CHECK(call.result->may_have_been_sent);
  }
  SUBCASE("truncated response") {
    RawUpstream upstream([](auto& connection) {
      connection.socket->write(
          "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
      connection.socket->disconnectFromHost();
    });
    Exchange call(upstream.Address(), Make("GET"));
    REQUIRE(call.Wait());
    CHECK(call.result->end == HttpCallEnd::kTruncated);
  }
  SUBCASE("response that is not HTTP") {
    RawUpstream upstream(
        [](auto& connection) { connection.socket->write("nonsense\r\n\r\n"); });
    Exchange call(upstream.Address(), Make("GET"));
    REQUIRE(call.Wait());
    CHECK(call.result->end == HttpCallEnd::kMalformed);
  }
  SUBCASE("response that stalls halfway") {
    RawUpstream upstream([](auto& connection) {
      connection.socket->write(
          "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    });
    Exchange call(upstream.Address(), Make("GET"));
    REQUIRE(call.Wait());
    CHECK(call.result->end == HttpCallEnd::kTimedOut);
  }
}

TEST_CASE("the total time-out applies to a slow response") {
  // One byte every 50 ms never exceeds the idle time-out.
  RawUpstream upstream([](auto& connection) {
    connection.socket->write("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n");
    auto* timer = new QTimer(connection.socket);
    QObject::connect(timer, &QTimer::timeout, connection.socket,
                     [socket = connection.socket] { socket->write("x"); });
    timer->start(50);
  });
  std::optional<HttpFetchResult> result;
  auto timeouts = kTimeouts;
  SUBCASE("and ends the call when it expires") {
    timeouts.total = Duration(500);
    const auto call =
        HttpFetch(upstream.Address(), Make("GET"), timeouts, nullptr,
                  [&](HttpFetchResult end) { result = std::move(end); });
    REQUIRE(WaitUntil([&] { return result.has_value(); }, 1'000));
    CHECK(result->end == HttpCallEnd::kTimedOut);
  }
  SUBCASE("but does not end a call that has none, such as a stream") {
    const auto call =
        HttpFetch(upstream.Address(), Make("GET"), timeouts, nullptr,
                  [&](HttpFetchResult end) { result = std::move(end); });
    RunFor(800);
    CHECK_FALSE(result);
  }
}

// Guards against a call that gives up on a silent upstream though its owner has
// nothing better to do than to wait.
TEST_CASE("a call to a silent upstream lasts as long as its owner wants") {
  int questions = 0;
  int patience = 100;
  std::optional<HttpCallEnd> end;
  std::string body;
  HttpCallTimeouts timeouts{Duration(300), Duration(100), Duration(100)};
  const auto start = [&](const RawUpstream& upstream) {
    return HttpCall::Builder(upstream.Address(), Make("GET"))
        .Timeouts(timeouts)
        .EndIfSilent([&] { return ++questions > patience; })
        .OnBody([&](std::string_view bytes) { body += bytes; })
        .OnEnd([&](HttpCallEnd ended) { end = ended; })
        .Start();
  };
  RawUpstream late_head([](auto& connection) {
    QTimer::singleShot(450, connection.socket,
                       [&connection] { Respond(connection, "ok"); });
  });
  RawUpstream late_rest([](auto& connection) {
    connection.socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no");
    QTimer::singleShot(450, connection.socket,
                       [s = connection.socket] { s->write("k"); });
  });

  SUBCASE("before the response") {
    const auto call = start(late_head);
    REQUIRE(WaitUntil([&] { return end.has_value(); }));
    CHECK(*end == HttpCallEnd::kComplete);
    CHECK(questions >= 3);
  }
  SUBCASE("within the response") {
    const auto call = start(late_rest);
    REQUIRE(WaitUntil([&] { return end.has_value(); }));
    CHECK(*end == HttpCallEnd::kComplete);
    CHECK(body == "ok");
    CHECK(questions >= 3);
  }
  SUBCASE("and no longer") {
    patience = 1;
    const auto call = start(late_rest);
    REQUIRE(WaitUntil([&] { return end.has_value(); }, 400));
    CHECK(*end == HttpCallEnd::kTimedOut);
    CHECK(questions == 2);
  }
  SUBCASE("within its total time") {
    timeouts.total = Duration(300);
    const auto call = start(late_rest);
    REQUIRE(WaitUntil([&] { return end.has_value(); }, 400));
    CHECK(*end == HttpCallEnd::kTimedOut);
  }
}

// Guards against a stream that is taken for silent, and sent to a second
// upstream, since its own caller reads slowly: the pause begins within the read
// whose end starts the idle time-out.
TEST_CASE("a call that is paused by the receiver of its bytes") {
  RawUpstream upstream([](auto& connection) {
    connection.socket->write(
        "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\npart");
  });
  std::optional<HttpCallEnd> end;
  std::string received;
  std::unique_ptr<HttpCall> call;
  call = HttpCall::Builder(upstream.Address(), {"GET", "/", {}, {}})
             .Timeouts({Duration(300), Duration(300), Duration(100)})
             .OnBody([&](std::string_view bytes) {
               received += bytes;
               call->SetPaused(true);
             })
             .OnEnd([&](HttpCallEnd ended) { end = ended; })
             .Start();
  REQUIRE(WaitUntil([&] { return !received.empty(); }));
  RunFor(500);
  REQUIRE_FALSE(end);

  SUBCASE("has its time-out again when it is read again") {
    call->SetPaused(false);
    CHECK(WaitUntil([&] { return end.has_value(); }, 1'000));
    CHECK(end == HttpCallEnd::kTimedOut);
  }
  SUBCASE("gets the rest when it is read again") {
    call->SetPaused(false);
    upstream.At(0).socket->write("rest");
    CHECK(WaitUntil([&] { return received == "partrest"; }, 1'000));
  }
}

TEST_CASE("an unsolicited response never reaches a later call") {
  // The upstream sends a second, unsolicited response on the pooled connection.
  RawUpstream upstream([](auto& connection) {
    Respond(connection, connection.requests == 1 ? "one" : "two");
    if (connection.requests == 1) Respond(connection, "unasked");
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

TEST_CASE("a response delimited by the close of its connection") {
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

  SUBCASE("is complete when the connection was closed in order") {
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

TEST_CASE("a pooled connection is discarded") {
  HttpConnectionPool pool;
  int connections = 0;

  SUBCASE("when the server announces that it will close it") {
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
  SUBCASE("when unsolicited bytes arrived on it") {
    RawUpstream upstream([&](auto& connection) {
      connections += connection.requests == 1 ? 1 : 0;
      Respond(connection, "one");
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

TEST_CASE("an interim response is not the final response") {
  RawUpstream upstream([](auto& connection) {
    connection.socket->write("HTTP/1.1 100 Continue\r\n\r\n");
    Respond(connection, "real");
  });
  Exchange call(upstream.Address(), Make("POST", "x"));
  REQUIRE(call.Wait());
  CHECK(call.result->answer.status == 200);
  CHECK(call.result->answer.body == "real");
}

}  // namespace firmoor
