// A replica announces an answer of 10^15 bytes and sends bytes until its caller
// closes. The rule LOST counts requests on kept connections that ran at sound
// replicas and whose connections closed without an answer.
#include "../common/standins.hpp"

namespace review {
namespace {

constexpr double kRunSeconds = 15;
constexpr int kCallersPerMachine = 12;
constexpr int kWorkMs = 30;
// `garble` on tsagaan-sam: share 0.35 of the replicas (one of three), x 0.02 of
// their answers, for 5.5 s.
constexpr double kTroubleStartsAt = 4;
constexpr double kTroubleSeconds = 5.5;
constexpr int kAnswersPerSpoiledOne = 50;
constexpr int kLostAllowed = 3;

class Case {
 public:
  int Play(const std::string& record) {
    Record::Get().Open(record);
    store_.Start();
    cloud_.Start();
    store_.Put("config", "main", Configuration(1));
    StartReplicas();
    std::vector<std::unique_ptr<Machine>> machines;
    for (const auto* name : {"front-1", "front-2"}) {
      machines.push_back(std::make_unique<Machine>(
          name, directory_.path(), store_.port(), cloud_.port()));
      machines.back()->Start();
    }
    for (const auto& machine : machines) machine->WaitReady();
    SleepMs(1'500);
    for (const auto& machine : machines) {
      callers_.Start(*machine, kCallersPerMachine);
    }
    trouble_starts_at_ = Seconds() + kTroubleStartsAt;
    const double ends_at = Seconds() + kRunSeconds;
    int ends = 0;
    while (Seconds() < ends_at) {
      ends += RestartEnded(machines);
      SleepMs(20);
    }
    callers_.Stop();
    char text[200];
    std::snprintf(text, sizeof(text),
                  "answered %d, lost %d (allowed %d), spoiled answers %d, "
                  "processes that ended by themselves %d",
                  callers_.answered(), callers_.lost(), kLostAllowed,
                  spoiled_.load(), ends);
    std::puts(text);
    Record::Get().Line("%s", text);
    if (callers_.answered() < 100) return 2;
    return callers_.lost() > kLostAllowed ? 1 : 0;
  }
  void RemoveFiles() const { directory_.Remove(); }

 private:
  void StartReplicas() {
    for (int i = 1; i <= 3; ++i) {
      replicas_.push_back(std::make_unique<Replica>(
          &store_, "i-desk-" + std::to_string(i), "desk", "ub-east", 6));
      const bool may_spoil = i == 3;
      replicas_.back()->Start([this, may_spoil](Replica& self, int connection,
                                                const Message& request) {
        const bool spoils = may_spoil && IsInTrouble() &&
                            ++answers_ % kAnswersPerSpoiledOne == 0;
        if (spoils) return SendWithoutEnd(self, connection, request);
        if (!may_spoil) callers_.OnSoundRun(request);
        return self.AnswerSoundly(connection, request, kWorkMs);
      });
    }
  }
  [[nodiscard]] bool IsInTrouble() const {
    const double since = Seconds() - trouble_starts_at_;
    return IsTroubled() && since >= 0 && since < kTroubleSeconds;
  }
  bool SendWithoutEnd(const Replica& self, int connection,
                      const Message& request) {
    ++spoiled_;
    Record::Get().Line("spoil %s at %s", request.Header("X-Request-Id").c_str(),
                       self.id().c_str());
    SleepMs(kWorkMs);
    SendAll(connection, "HTTP/1.1 200 OK\r\n" + self.Signed(request) +
                            "Content-Length: 1000000000000000\r\n\r\n");
    while (SendAll(connection, std::string(1'000, 'x'))) SleepMs(10);
    return false;
  }

  TemporaryDirectory directory_;
  Store store_;
  Cloud cloud_;
  DeskCallers callers_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::atomic<double> trouble_starts_at_{1e9};
  std::atomic<int> answers_{0};
  std::atomic<int> spoiled_{0};
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
