#ifndef FIRMOOR_PROCESS_CLUSTER_H_
#define FIRMOOR_PROCESS_CLUSTER_H_

#include <QJsonObject>
#include <QProcess>
#include <QTemporaryDir>
#include <functional>
#include <ios>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "http/http_fetch.h"
#include "support/raw_socket.h"

namespace firmoor {

/// Bearer token of the test workspace.
constexpr const char* kTestToken = "test-token";

/// An availability zone of a test cluster.
struct TestZone {
  std::string name;
  std::string region;
  int daemons = 1;
  int engines = 0;
  int plains = 0;
};

/// What a test cluster is made of.
struct ClusterShape {
  std::vector<TestZone> zones = {{"east", "home", 1, 1, 1},
                                 {"west", "home", 1, 1, 1}};
  std::vector<std::string> engine_options;
  std::map<std::string, std::string> settings;  ///< "section.key" to value.
  QJsonObject configuration;  ///< Merged into the default one.
  bool relay = false;         ///< Lets zones be cut.
  bool traces = false;        ///< Daemons record their decisions.
};

/// One exchange with a daemon or a stand-in, in the background.
class Exchange {
 public:
  Exchange(const Endpoint& to, HttpRequest request, int timeout_ms = 30'000);
  [[nodiscard]] bool done() const { return result_.has_value(); }
  [[nodiscard]] const HttpFetchResult& result() const { return *result_; }
  bool Wait(int timeout_ms = 30'000);
  /// What has arrived so far.
  [[nodiscard]] const std::string& body() const { return body_; }
  void Leave() { call_.reset(); }

 private:
  std::optional<HttpFetchResult> result_;
  HttpResponse answer_;
  std::string body_;
  std::unique_ptr<HttpCall> call_;
};

/// A cluster of separate processes on loopback: platform, engines, plain
/// services and daemons. Everything is ended by process id in the destructor.
class Cluster {
 public:
  /// One process of the cluster.
  struct Node {
    std::string name;
    std::string zone;
    std::string region;
    Endpoint endpoint;   ///< Callers, or the stand-in itself.
    Endpoint operators;  ///< Of a daemon.
    Endpoint observe;    ///< Of a daemon.
    Endpoint peers;      ///< Of a daemon.
    Endpoint peers_advertised;
    QStringList arguments;
    std::string program;
    std::unique_ptr<QProcess> process;
  };

  explicit Cluster(ClusterShape shape);
  ~Cluster();

  /// Waits until all daemons are ready, in force of the configuration and
  /// aware of each other.
  bool WaitReady();
  /// The steps of it that a test may want by themselves: all upstreams answer,
  /// and the first configuration is stored.
  bool WaitUpstreams();
  bool PatchFirst();

  [[nodiscard]] Node& daemon(std::size_t i) { return *daemons_.at(i); }
  [[nodiscard]] Node& engine(std::size_t i) { return *engines_.at(i); }
  [[nodiscard]] Node& plain(std::size_t i) { return *plains_.at(i); }
  [[nodiscard]] std::size_t daemon_count() const { return daemons_.size(); }
  [[nodiscard]] std::size_t engine_count() const { return engines_.size(); }
  [[nodiscard]] std::size_t plain_count() const { return plains_.size(); }

  void Start(Node* node);
  void Kill(Node* node);       ///< SIGKILL.
  void Terminate(Node* node);  ///< SIGTERM.
  void Freeze(Node* node);     ///< SIGSTOP.
  void Thaw(Node* node);       ///< SIGCONT.
  bool WaitEnded(Node* node, int timeout_ms = 30'000);

  /// POST /control of a stand-in.
  void Control(const Endpoint& standin, const QJsonObject& what);
  void ControlPlatform(const QJsonObject& what);
  QJsonObject GetJson(const Endpoint& from, const std::string& path);
  QJsonObject Status(std::size_t daemon);
  [[nodiscard]] const Endpoint& platform() const { return platform_->endpoint; }

  /// Cuts all traffic between two zones, or a zone from the platform.
  void CutZones(const std::string& a, const std::string& b);
  void CutPlatform(const std::string& zone);
  void Heal();

  /// Publishes the VM list, with these ids left out or marked as leaving.
  void PublishVms(const std::set<std::string>& gone = {},
                  const std::set<std::string>& leaving = {});

  /// Requests with the token of the test workspace.
  HttpRequest Booking(const std::string& key, const std::string& work,
                      const std::string& act = "",
                      const std::string& body = "saturday") const;
  HttpRequest Lookup(const std::string& act = "") const;
  HttpRequest Completion(const std::string& prompt, int tokens, bool stream,
                         bool async = false) const;
  HttpRequest Question(const std::string& location, bool stream = false,
                       int last_event = 0) const;
  /// `count` requests at once.
  std::vector<std::unique_ptr<Exchange>> Send(std::size_t daemon, int count,
                                              const HttpRequest& request);
  HttpFetchResult Ask(std::size_t daemon, const HttpRequest& request);

  /// Applies a merge patch; the status and the body of the answer.
  HttpResponse Patch(std::size_t daemon, std::int64_t base,
                     const QJsonObject& merge, const std::string& id);
  std::int64_t VersionAt(std::size_t daemon);

  /// Where a daemon records its decisions.
  [[nodiscard]] std::string TraceFile(std::size_t daemon) const;

  /// Runs of one piece of work over all plain services.
  int RunsOf(const std::string& work);
  /// Runs of all pieces of work, also those of upstreams that were killed.
  const std::map<std::string, int>& JournalledRuns();
  /// Whether this piece of work has run.
  bool HasRun(const std::string& work);
  /// The most runs of any piece of work.
  int MostRuns();
  /// Sum of a counter over all engines.
  std::int64_t EngineTotal(const char* counter);
  /// Broken invariants over all reachable daemons.
  std::int64_t BrokenInvariants();

 private:
  Node* AddNode(std::vector<std::unique_ptr<Node>>* list, std::string name,
                std::string zone, std::string region, std::string program);
  void AddDaemon(const TestZone& zone, std::size_t zone_index, int index);
  void WriteSettings(const Node& node);
  [[nodiscard]] std::string TraceFileOf(const Node& node) const;
  void StartRelay();
  void SendCuts();
  Endpoint PlatformFor(const std::string& zone) const;

  ClusterShape shape_;
  QTemporaryDir directory_;
  std::map<std::string, int> journal_;  ///< Runs by work, as far as read.
  std::streamoff journal_read_ = 0;
  std::unique_ptr<Node> platform_;
  std::unique_ptr<Node> relay_;
  std::vector<std::unique_ptr<Node>> daemons_;
  std::vector<std::unique_ptr<Node>> engines_;
  std::vector<std::unique_ptr<Node>> plains_;
  std::map<std::string, Endpoint> platform_routes_;
  std::vector<QJsonObject> cuts_;
};

/// Text of the tokens in a stream of events, in order.
std::vector<std::string> StreamedWords(const std::string& body);

/// Words that the engine stand-in gives for `prompt`.
std::vector<std::string> ExpectedWords(const std::string& prompt, int tokens);

/// Outcome header of an answer.
std::string OutcomeOf(const HttpFetchResult& result);

/// Number of result code in an answer, 0 when it has none.
int CodeOf(const HttpFetchResult& result);

}  // namespace firmoor

#endif  // FIRMOOR_PROCESS_CLUSTER_H_
