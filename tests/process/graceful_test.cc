#include <doctest/doctest.h>

#include <QJsonArray>
#include <QTimer>

#include "cluster.h"

namespace firmoor {
namespace {

/// Callers that keep a cluster busy through a balancer that follows
/// readiness, and count what went wrong.
class Load {
 public:
  explicit Load(Cluster* cluster) : cluster_(cluster) {
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { Step(); });
    QObject::connect(&probe_, &QTimer::timeout, &probe_, [this] { Probe(); });
    ready_.assign(cluster->daemon_count(), true);
    probes_.resize(cluster->daemon_count());
  }
  void Start() {
    timer_.start(10);
    probe_.start(20);
  }
  void Stop() {
    timer_.stop();
    WaitUntil([this] { return Open() == 0; });
    Reap();
    probe_.stop();
  }
  [[nodiscard]] int sent() const { return sent_; }
  [[nodiscard]] int failed() const { return failed_; }
  [[nodiscard]] const std::string& first_failure() const { return failure_; }

 private:
  struct Running {
    std::unique_ptr<Exchange> exchange;
    std::string kind;
  };

  void Step() {
    Reap();
    for (std::size_t tries = 0; tries < ready_.size(); ++tries) {
      turn_ = (turn_ + 1) % ready_.size();
      if (ready_[turn_]) break;
    }
    const auto name = "load-" + std::to_string(sent_);
    const auto& to = cluster_->daemon(turn_).endpoint;
    const auto kind = sent_++ % 3;
    if (kind == 0) {
      Add("lookup", to, cluster_->Lookup("late:20"));
    } else if (kind == 1) {
      Add("booking", to, cluster_->Booking(name, name, "late:100"));
    } else {
      Add("stream", to, cluster_->Completion(name, 30, true));
    }
  }

  void Add(const char* kind, const Endpoint& to, const HttpRequest& request) {
    running_.push_back({std::make_unique<Exchange>(to, request), kind});
  }

  void Probe() {
    for (std::size_t i = 0; i < probes_.size(); ++i) {
      if (probes_[i] && !probes_[i]->done()) continue;
      if (probes_[i]) {
        ready_[i] = probes_[i]->result().answer.status == 200;
      }
      probes_[i] =
          std::make_unique<Exchange>(cluster_->daemon(i).observe,
                                     HttpRequest{"GET", "/ready", {}, {}}, 500);
    }
  }

  [[nodiscard]] std::size_t Open() const {
    std::size_t open = 0;
    for (const auto& running : running_) {
      open += running.exchange->done() ? 0 : 1;
    }
    return open;
  }

  void Reap() {
    std::erase_if(running_, [this](const Running& running) {
      if (!running.exchange->done()) return false;
      const auto& result = running.exchange->result();
      bool good =
          result.end == HttpCallEnd::kComplete && result.answer.status == 200;
      if (running.kind == "stream") {
        good = good && result.answer.body.ends_with("data: [DONE]\n\n") &&
               StreamedWords(result.answer.body).size() == 30;
      }
      if (!good) {
        ++failed_;
        if (failure_.empty()) {
          failure_ = running.kind + " end " +
                     std::to_string(static_cast<int>(result.end)) + " " +
                     result.answer.body;
        }
      }
      return true;
    });
  }

  Cluster* cluster_;
  QTimer timer_;
  QTimer probe_;
  std::vector<Running> running_;
  std::vector<bool> ready_;
  std::vector<std::unique_ptr<Exchange>> probes_;
  std::size_t turn_ = 0;
  int sent_ = 0;
  int failed_ = 0;
  std::string failure_;
};

std::string LocationOf(const HttpFetchResult& result) {
  return std::string(HeaderValue(result.answer.headers, "Location"));
}

ClusterShape ThreeDaemons() {
  ClusterShape shape;
  shape.zones = {{"east", "home", 2, 1, 1}, {"west", "home", 1, 1, 1}};
  return shape;
}

/// Tells the first daemon to stop when the stream has its first tokens.
void StopInStream(Cluster* cluster, const Exchange& stream) {
  CAPTURE(stream.body());
  REQUIRE(WaitUntil([&] { return StreamedWords(stream.body()).size() > 20; }));
  cluster->Terminate(&cluster->daemon(0));
}

}  // namespace

TEST_CASE("a rolling restart of all daemons under load fails no request") {
  auto shape = ThreeDaemons();
  shape.settings["times.balancer_wait_ms"] = "300";
  Cluster cluster(shape);
  REQUIRE(cluster.WaitReady());
  Load load(&cluster);
  load.Start();
  RunFor(1'000);
  for (std::size_t i = 0; i < cluster.daemon_count(); ++i) {
    auto* node = &cluster.daemon(i);
    cluster.Terminate(node);
    REQUIRE(cluster.WaitEnded(node));
    CHECK(node->process->exitCode() == 0);
    cluster.Start(node);
    REQUIRE(WaitUntil([&] { return cluster.Status(i).value("ready").toBool(); },
                      10'000));
    RunFor(500);
  }
  load.Stop();
  CHECK(load.sent() > 100);
  CAPTURE(load.first_failure());
  CHECK(load.failed() == 0);
  CHECK(cluster.MostRuns() <= 1);
  CHECK(cluster.BrokenInvariants() == 0);
}

TEST_CASE("accepted work survives the reclaim of an entry VM") {
  Cluster cluster(ThreeDaemons());
  REQUIRE(cluster.WaitReady());
  const std::string prompt = "consent letter";

  SUBCASE("asynchronous: another daemon goes on and answers for it") {
    std::vector<std::string> locations;
    for (int i = 0; i < 5; ++i) {
      const auto accepted = cluster.Ask(
          0, cluster.Completion(prompt + std::to_string(i), 400, false, true));
      REQUIRE(accepted.answer.status == 202);
      locations.push_back(LocationOf(accepted));
    }
    RunFor(300);
    cluster.Terminate(&cluster.daemon(0));
    REQUIRE(cluster.WaitEnded(&cluster.daemon(0), 5'000));
    for (int i = 0; i < 5; ++i) {
      HttpFetchResult answer;
      REQUIRE(WaitUntil(
          [&] {
            answer =
                cluster.Ask(2, cluster.Question(locations[std::size_t(i)]));
            return answer.answer.status != 202;
          },
          20'000));
      CHECK(answer.answer.status == 200);
      std::string expected;
      for (const auto& word : ExpectedWords(prompt + std::to_string(i), 400)) {
        expected += word;
      }
      CHECK(answer.answer.body.find(expected) != std::string::npos);
    }
  }
  SUBCASE("asynchronous: the heir is reclaimed too, and then the next") {
    const auto accepted =
        cluster.Ask(0, cluster.Completion(prompt, 600, false, true));
    REQUIRE(accepted.answer.status == 202);
    for (std::size_t i : {0U, 1U}) {
      RunFor(300);
      cluster.Terminate(&cluster.daemon(i));
      REQUIRE(cluster.WaitEnded(&cluster.daemon(i), 8'000));
    }
    HttpFetchResult answer;
    REQUIRE(WaitUntil(
        [&] {
          answer = cluster.Ask(2, cluster.Question(LocationOf(accepted)));
          return answer.answer.status != 202;
        },
        20'000));
    CHECK(answer.answer.status == 200);
    CHECK(answer.answer.body.find(ExpectedWords(prompt, 600).back()) !=
          std::string::npos);
  }
  SUBCASE("streaming and long: the caller is pointed to where it goes on") {
    Exchange stream(cluster.daemon(0).endpoint,
                    cluster.Completion(prompt, 1'500, true));
    StopInStream(&cluster, stream);
    REQUIRE(cluster.WaitEnded(&cluster.daemon(0), 10'000));
    REQUIRE(stream.Wait());
    CHECK(stream.result().end == HttpCallEnd::kComplete);
    const auto& body = stream.result().answer.body;
    REQUIRE(body.find("event: moved") != std::string::npos);
    auto words = StreamedWords(body);
    const auto at = body.find("/v1/requests/");
    const auto location = body.substr(at, body.find('"', at) - at);
    const auto rest = cluster.Ask(
        2, cluster.Question(location, true, static_cast<int>(words.size())));
    const auto more = StreamedWords(rest.answer.body);
    words.insert(words.end(), more.begin(), more.end());
    CHECK(words == ExpectedWords(prompt, 1'500));
    CHECK(rest.answer.body.ends_with("data: [DONE]\n\n"));
  }
  SUBCASE("a second notice in the middle of the drain hands over at once") {
    Exchange stream(cluster.daemon(0).endpoint,
                    cluster.Completion(prompt, 1'500, true));
    StopInStream(&cluster, stream);
    RunFor(300);
    cluster.Terminate(&cluster.daemon(0));
    REQUIRE(cluster.WaitEnded(&cluster.daemon(0), 3'500));
    REQUIRE(stream.Wait());
    CHECK(stream.result().answer.body.find("event: moved") !=
          std::string::npos);
  }
  SUBCASE("a booking in flight ends here and is recorded") {
    Exchange booking(cluster.daemon(0).endpoint,
                     cluster.Booking("k", "w", "late:1500"));
    REQUIRE(WaitUntil([&] { return cluster.RunsOf("w") == 1; }));
    cluster.Terminate(&cluster.daemon(0));
    REQUIRE(booking.Wait());
    CHECK(booking.result().answer.status == 200);
    REQUIRE(cluster.WaitEnded(&cluster.daemon(0)));
    const auto again = cluster.Ask(2, cluster.Booking("k", "w"));
    CHECK(again.answer.body == booking.result().answer.body);
    CHECK(cluster.RunsOf("w") == 1);
  }
  SUBCASE("an asynchronous booking is handed over or ended, once") {
    auto request = cluster.Booking("k", "w", "late:500");
    request.headers.push_back({"Prefer", "respond-async"});
    const auto accepted = cluster.Ask(0, request);
    REQUIRE(accepted.answer.status == 202);
    cluster.Terminate(&cluster.daemon(0));
    REQUIRE(cluster.WaitEnded(&cluster.daemon(0)));
    HttpFetchResult answer;
    REQUIRE(WaitUntil([&] {
      answer = cluster.Ask(2, cluster.Question(LocationOf(accepted)));
      return answer.answer.status != 202;
    }));
    CHECK(answer.answer.status == 200);
    CHECK(cluster.RunsOf("w") == 1);
  }
}

// Guards against the answer "unknown request" for accepted work whose daemon
// only stood still: it was given as soon as the daemon did not answer a peer.
TEST_CASE("accepted work is not called unknown while its daemon stands still") {
  Cluster cluster(ThreeDaemons());
  REQUIRE(cluster.WaitReady());
  const auto accepted =
      cluster.Ask(0, cluster.Completion("consent letter", 200, false, true));
  REQUIRE(accepted.answer.status == 202);
  const auto question = cluster.Question(LocationOf(accepted));
  cluster.Freeze(&cluster.daemon(0));

  SUBCASE("for a moment: the question is answered when it goes on") {
    Exchange asked(cluster.daemon(2).endpoint, question);
    RunFor(700);
    CHECK_FALSE(asked.done());
    cluster.Thaw(&cluster.daemon(0));
    REQUIRE(asked.Wait());
    const auto status = asked.result().answer.status;
    CAPTURE(status);
    CHECK((status == 200 || status == 202));
  }
  SUBCASE("until its peers take it for dead: the caller is told to ask again") {
    REQUIRE(WaitUntil([&] {
      return cluster.Status(2).value("members").toArray().size() == 1;
    }));
    const auto asked = cluster.Ask(2, question);
    CHECK(asked.answer.status == 502);
    CHECK(asked.answer.body.find("peer-unreachable") != std::string::npos);
    CHECK_FALSE(HeaderValue(asked.answer.headers, "Retry-After").empty());
    cluster.Thaw(&cluster.daemon(0));
  }
  HttpFetchResult answer;
  CHECK(WaitUntil([&] {
    answer = cluster.Ask(2, question);
    return answer.answer.status == 200;
  }));
}

// Guards against requests that ended without an answer: the daemon stopped at
// the end of its drain while their callers waited.
TEST_CASE("requests left at the end of a drain are answered") {
  ClusterShape shape;
  shape.zones = {{"east", "home", 1, 1, 1}};
  shape.settings["times.drain_ms"] = "1500";
  shape.configuration = {
      {"services",
       QJsonObject{{"desk", QJsonObject{{"upstream_concurrency", 1}}}}}};
  Cluster cluster(shape);
  REQUIRE(cluster.WaitReady());
  auto* daemon = &cluster.daemon(0);

  SUBCASE("that were sent: whether they ran is unknown") {
    Exchange booking(daemon->endpoint, cluster.Booking("", "w", "silent"));
    REQUIRE(WaitUntil([&] { return cluster.RunsOf("w") == 1; }));
    cluster.Terminate(daemon);
    REQUIRE(booking.Wait(5'000));
    CHECK(booking.result().end == HttpCallEnd::kComplete);
    CHECK(CodeOf(booking.result()) == 3003);
    CHECK(OutcomeOf(booking.result()) == "unknown");
  }
  SUBCASE("that were not sent: they did not run") {
    Exchange first(daemon->endpoint, cluster.Booking("", "w", "silent"));
    REQUIRE(WaitUntil([&] { return cluster.RunsOf("w") == 1; }));
    Exchange second(daemon->endpoint, cluster.Booking("", "w2"));
    Exchange keyed(daemon->endpoint, cluster.Booking("k", "w3"));
    REQUIRE(WaitUntil(
        [&] { return cluster.Status(0).value("in_work").toInteger() == 3; }));
    cluster.Terminate(daemon);
    for (auto* exchange : {&second, &keyed}) {
      REQUIRE(exchange->Wait(5'000));
      CHECK(exchange->result().end == HttpCallEnd::kComplete);
      CHECK(CodeOf(exchange->result()) == 2004);
    }
    CHECK(OutcomeOf(second.result()) == "not-run");
    // An earlier request with the key may have run.
    CHECK(OutcomeOf(keyed.result()) == "unknown");
    CHECK_FALSE(cluster.HasRun("w2"));
    CHECK_FALSE(cluster.HasRun("w3"));
  }
  SUBCASE("that were sent with a key: the outcome is recorded") {
    Exchange booking(daemon->endpoint, cluster.Booking("k", "w", "silent"));
    REQUIRE(WaitUntil([&] { return cluster.RunsOf("w") == 1; }));
    cluster.Terminate(daemon);
    REQUIRE(booking.Wait(5'000));
    CHECK(CodeOf(booking.result()) == 3003);
    REQUIRE(cluster.WaitEnded(daemon));
    cluster.Start(daemon);
    REQUIRE(WaitUntil([&] { return cluster.Status(0)["ready"].toBool(); }));
    CHECK(CodeOf(cluster.Ask(0, cluster.Booking("k", "w"))) == 4003);
    CHECK(cluster.RunsOf("w") == 1);
    cluster.Terminate(daemon);
  }
  SUBCASE("streams: the caller is told that its stream is not whole") {
    Exchange stream(daemon->endpoint,
                    cluster.Completion("consent letter", 1'500, true));
    REQUIRE(
        WaitUntil([&] { return StreamedWords(stream.body()).size() > 20; }));
    cluster.Terminate(daemon);
    REQUIRE(stream.Wait(5'000));
    CHECK(stream.result().end == HttpCallEnd::kComplete);
    CHECK(stream.body().find("event: error") != std::string::npos);
    CHECK(stream.body().find("upstream-unknown") != std::string::npos);
  }
  REQUIRE(cluster.WaitEnded(daemon, 3'000));
  CHECK(daemon->process->exitCode() == 0);
}

// Guards against requests that were reset on their way: a daemon closed idle
// connections when its drain began.
TEST_CASE("connected callers are served while a daemon drains") {
  ClusterShape shape;
  shape.zones = {{"east", "home", 1, 1, 1}};
  Cluster cluster(shape);
  REQUIRE(cluster.WaitReady());
  auto* daemon = &cluster.daemon(0);
  RawClient caller(daemon->endpoint);
  const auto send = [](RawClient* from, const std::string& headers = "") {
    from->Send(
        "GET /services/desk/schedule HTTP/1.1\r\nHost: h\r\n"
        "Authorization: Bearer " +
        std::string(kTestToken) + "\r\n" + headers + "\r\n");
  };
  const auto stop_listening = [&] {
    cluster.Terminate(daemon);
    REQUIRE(WaitUntil([&] {
      return cluster.Ask(0, {"GET", "/", {}, {}}).end ==
             HttpCallEnd::kNotConnected;
    }));
  };
  send(&caller);
  REQUIRE(caller.WaitFor("GET /schedule run 1"));

  SUBCASE("on an idle connection") {
    stop_listening();
    RunFor(200);
    send(&caller);
    CHECK(caller.WaitFor("Connection: close"));
    CHECK(caller.Received().find("GET /schedule run 2") != std::string::npos);
    CHECK(caller.WaitClosed(500));
    CHECK(cluster.WaitEnded(daemon, 1'500));
  }
  SUBCASE("but do not keep an idle daemon with an idle connection") {
    stop_listening();
    CHECK(cluster.WaitEnded(daemon, 2'500));  // Of 6 s.
    CHECK(caller.WaitClosed(100));
  }
  SUBCASE("unless their request needs another daemon later") {
    stop_listening();
    send(&caller, "Prefer: respond-async\r\n");
    CHECK(caller.WaitFor("Firmoor-Code: 2004"));
    CHECK(cluster.RunsOf("") == 1);
  }
  SUBCASE("beside other work, until that is handed over") {
    Exchange booking(daemon->endpoint, cluster.Booking("", "w", "late:4300"));
    REQUIRE(WaitUntil([&] { return cluster.RunsOf("w") == 1; }));
    RawClient second(daemon->endpoint);
    stop_listening();
    RunFor(2'000);
    send(&caller);
    CHECK(caller.WaitFor("run 2"));
    RunFor(1'600);
    send(&second);
    CHECK(second.WaitFor("Firmoor-Code: 2004"));
    CHECK(second.Received().find("not-run") != std::string::npos);
    REQUIRE(booking.Wait());
    CHECK(booking.result().answer.status == 200);
  }
  REQUIRE(cluster.WaitEnded(daemon));
  CHECK(daemon->process->exitCode() == 0);
}

}  // namespace firmoor
