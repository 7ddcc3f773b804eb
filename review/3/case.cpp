// Once-only requests whose body, by its framing, cannot be told from a further
// request. The rule UNASKED counts requests that a replica runs though no
// caller sent them, and those that run with another body.
#include "../common/standins.hpp"

namespace review {
namespace {

constexpr int kRequests = 10;

class Case {
 public:
  int Play(const std::string& record) {
    Record::Get().Open(record);
    store_.Start();
    cloud_.Start();
    store_.Put("config", "main", Configuration(1));
    for (int i = 1; i <= 3; ++i) {
      replicas_.push_back(std::make_unique<Replica>(
          &store_, "i-desk-" + std::to_string(i), "desk", "ub-east", 6));
      replicas_.back()->Start(
          [this](Replica& self, int connection, const Message& request) {
            OnRun(request);
            return self.AnswerSoundly(connection, request, 30);
          });
    }
    Machine machine("front-1", directory_.path(), store_.port(), cloud_.port());
    machine.Start();
    machine.WaitReady();
    SleepMs(1'500);
    int answered = 0;
    for (int i = 0; i < kRequests; ++i) answered += Send(machine.front(), i);
    char text[200];
    std::snprintf(text, sizeof(text),
                  "sent %d, answered with 2xx %d, ran %d, ran though nobody "
                  "sent them %d, ran with another body %d",
                  kRequests, answered, ran_.load(), unasked_.load(),
                  changed_.load());
    std::puts(text);
    Record::Get().Line("%s", text);
    // Without trouble all requests run; with it they may be refused.
    if (!IsTroubled() && ran_ < kRequests) return 2;
    return unasked_ + changed_ > 0 ? 1 : 0;
  }
  void RemoveFiles() const { directory_.Remove(); }

 private:
  /// The body of a caller's request: by chance or by intent, a request.
  static std::string BodyOf(int number) {
    return "GET /look/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: inner-" +
           std::to_string(number) +
           "\r\nX-Deadline-Ms: 2500\r\nApi-Key: key1\r\n\r\n";
  }
  /// Returns whether it was answered with 2xx.
  bool Send(std::uint16_t port, int number) {
    const auto id = "outer-" + std::to_string(number);
    const auto body = BodyOf(number);
    char size[20];
    std::snprintf(size, sizeof(size), "%zx", body.size());
    const std::string head =
        "POST /pay/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id +
        "\r\nX-Deadline-Ms: 2500\r\nApi-Key: key1\r\n";
    const std::string request =
        IsTroubled() ? head + "Transfer-Encoding: gzip\r\n\r\n" + body
                     : head + "Transfer-Encoding: chunked\r\n\r\n" + size +
                           "\r\n" + body + "\r\n0\r\n\r\n";
    Record::Get().Line("send %s, one request on a new connection", id.c_str());
    const int connection = Connect(port);
    SendAll(connection, request);
    Reader reader(connection);
    bool is_success = false;
    while (const auto answer = reader.Read(1'000, true)) {
      Record::Get().Line("answer %d to %s", answer->Status(),
                         answer->Header("X-Request-Id").c_str());
      is_success = is_success || answer->Status() / 100 == 2;
    }
    close(connection);
    return is_success;
  }
  void OnRun(const Message& request) {
    ++ran_;
    const auto id = request.Header("X-Request-Id");
    const bool is_unasked = id.rfind("outer-", 0) != 0;
    unasked_ += is_unasked;
    const bool is_changed =
        !is_unasked && request.body != BodyOf(std::atoi(id.c_str() + 6));
    changed_ += is_changed;
    if (is_unasked) Record::Get().Line("UNASKED: nobody sent %s", id.c_str());
    if (is_changed) {
      Record::Get().Line("UNASKED: %s ran with a body of %zu bytes", id.c_str(),
                         request.body.size());
    }
  }

  TemporaryDirectory directory_;
  Store store_;
  Cloud cloud_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::atomic<int> ran_{0};
  std::atomic<int> unasked_{0};
  std::atomic<int> changed_{0};
};

}  // namespace
}  // namespace review

int main(int, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  // Not deleted, since threads of the stand-ins still use it.
  auto* played = new review::Case;
  const int result = played->Play(argv[1]);
  played->RemoveFiles();
  std::fflush(nullptr);
  std::_Exit(result);
}
