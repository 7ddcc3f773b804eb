// Stand-ins of the platform's store, cloud API, replicas and callers, and the
// start of the gateway, for the cases of the review. POSIX sockets and threads
// only, all on loopback addresses.
#ifndef REVIEW_COMMON_STANDINS_HPP_
#define REVIEW_COMMON_STANDINS_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using SteadyClock = std::chrono::steady_clock;

inline double Seconds() {
  static const auto start = SteadyClock::now();
  return std::chrono::duration<double>(SteadyClock::now() - start).count();
}

inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Whether the case plays its disruption (TROUBLE is not "0").
inline bool IsTroubled() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::strcmp(value, "0") != 0;
}

/// Writes what was sent, answered and run to record.txt, with the time in s.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void Line(const char* format, ...) {
    const std::lock_guard lock(mutex_);
    char text[1'024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%8.3f %s\n", Seconds(), text);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};

/// The case cannot run.
[[noreturn]] inline void CannotRun(const std::string& why) {
  Record::Get().Line("cannot run: %s", why.c_str());
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  std::exit(2);
}

// ---------------------------------------------------------------- sockets

inline sockaddr_in Loopback(std::uint16_t port,
                            const std::string& address = "127.0.0.1") {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(port);
  inet_pton(AF_INET, address.c_str(), &result.sin_addr);
  return result;
}

inline int Listen(std::uint16_t* port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  auto address = Loopback(*port);
  const bool bound = bind(descriptor, reinterpret_cast<sockaddr*>(&address),
                          sizeof(address)) == 0;
  if (!bound || listen(descriptor, 1'024) != 0) CannotRun("no port to listen");
  socklen_t length = sizeof(address);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
  *port = ntohs(address.sin_port);
  return descriptor;
}

/// A port below those that the system gives to outgoing connections.
inline std::uint16_t FreePort() {
  static std::mutex mutex;
  const std::lock_guard lock(mutex);
  static unsigned next = static_cast<unsigned>(getpid()) * 37;
  for (int i = 0; i < 10'000; ++i) {
    const auto port = static_cast<std::uint16_t>(18'000 + next++ % 14'000);
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = Loopback(port);
    const bool is_free = bind(descriptor, reinterpret_cast<sockaddr*>(&address),
                              sizeof(address)) == 0;
    close(descriptor);
    if (is_free) return port;
  }
  CannotRun("no free port");
}

inline int Connect(std::uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = Loopback(port);
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (connect(descriptor, reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

inline bool SendAll(int descriptor, std::string_view bytes) {
  while (!bytes.empty()) {
    const auto sent =
        send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

/// Closes with a reset.
inline void Reset(int descriptor) {
  const linger reset{1, 0};
  setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  close(descriptor);
}

struct Message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool is_complete = false;

  [[nodiscard]] std::string Header(const char* name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name) == 0) return value;
    }
    return "";
  }
  [[nodiscard]] std::string Method() const {
    return first_line.substr(0, first_line.find(' '));
  }
  [[nodiscard]] std::string Target() const {
    const auto from = first_line.find(' ') + 1;
    return first_line.substr(from, first_line.find(' ', from) - from);
  }
  [[nodiscard]] int Status() const {
    const auto from = first_line.find(' ');
    return from == std::string::npos ? 0 : std::atoi(first_line.c_str() + from);
  }
};

/// Reads HTTP/1.1 messages from a connection.
class Reader {
 public:
  explicit Reader(int descriptor) : descriptor_(descriptor) {}

  /// A message; none if the connection closed before its first byte or nothing
  /// arrived in time. A message that was cut is not complete.
  std::optional<Message> Read(int timeout_ms, bool is_response = false) {
    deadline_ = SteadyClock::now() + std::chrono::milliseconds(timeout_ms);
    timed_out_ = false;
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill()) {
        if (buffer_.empty()) return std::nullopt;
        return Message{};
      }
    }
    Message message;
    ParseHead(buffer_.substr(0, end), &message);
    buffer_.erase(0, end + 4);
    if (strcasecmp(message.Header("Transfer-Encoding").c_str(), "chunked") ==
        0) {
      message.is_complete = ReadChunks(&message.body);
      return message;
    }
    const auto length = message.Header("Content-Length");
    if (length.empty()) {
      message.is_complete = !is_response;
      return message;
    }
    const auto size = std::strtoull(length.c_str(), nullptr, 10);
    while (buffer_.size() < size) {
      if (!Fill()) {
        message.body = buffer_;
        return message;
      }
    }
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    message.is_complete = true;
    return message;
  }
  /// Whether the last read ended since nothing arrived in time.
  [[nodiscard]] bool timed_out() const { return timed_out_; }

 private:
  bool Fill() {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                          deadline_ - SteadyClock::now())
                          .count();
    pollfd entry{descriptor_, POLLIN, 0};
    if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0) {
      timed_out_ = true;
      return false;
    }
    char bytes[65'536];
    const auto count = recv(descriptor_, bytes, sizeof(bytes), 0);
    if (count <= 0) return false;
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
  bool ReadChunks(std::string* body) {
    for (;;) {
      std::size_t end = 0;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill()) return false;
      }
      const auto size = std::strtoull(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < end + 2 + size + 2) {
        if (!Fill()) return false;
      }
      body->append(buffer_, end + 2, size);
      buffer_.erase(0, end + 2 + size + 2);
      if (size == 0) return true;
    }
  }
  static void ParseHead(const std::string& head, Message* message) {
    std::size_t from = 0;
    bool is_first = true;
    while (from <= head.size()) {
      auto to = head.find("\r\n", from);
      if (to == std::string::npos) to = head.size();
      const auto line = head.substr(from, to - from);
      from = to + 2;
      if (std::exchange(is_first, false)) {
        message->first_line = line;
        continue;
      }
      const auto colon = line.find(':');
      if (colon == std::string::npos) continue;
      auto value = line.substr(colon + 1);
      while (!value.empty() && value.front() == ' ') value.erase(0, 1);
      message->headers.emplace_back(line.substr(0, colon), value);
    }
  }

  int descriptor_;
  std::string buffer_;
  SteadyClock::time_point deadline_;
  bool timed_out_ = false;
};

/// Accepts connections and serves each in a thread of its own. The handler
/// returns false to close the connection.
class Server {
 public:
  using Handler = std::function<bool(int descriptor, const Message& request)>;

  void Start(Handler handler, std::uint16_t port = 0) {
    port_ = port;
    handler_ = std::move(handler);
    listener_ = Listen(&port_);
    std::thread([this] {
      for (;;) {
        const int connection =
            accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) return;
        const int on = 1;
        setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread([this, connection] { Serve(connection); }).detach();
      }
    }).detach();
  }
  [[nodiscard]] std::uint16_t port() const { return port_; }
  /// New connections are refused from now on.
  void Stop() {
    shutdown(listener_, SHUT_RDWR);
    close(listener_);
  }

 private:
  void Serve(int connection) {
    Reader reader(connection);
    for (;;) {
      const auto request = reader.Read(120'000);
      if (!request || !request->is_complete) break;
      if (!handler_(connection, *request)) break;
    }
    close(connection);
  }

  std::uint16_t port_ = 0;
  int listener_ = -1;
  Handler handler_;
};

inline std::string Answer(int status, const std::string& body,
                          const std::string& headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string JsonAnswer(int status, const std::string& body) {
  return Answer(status, body, "Content-Type: application/json\r\n");
}

// ------------------------------------------------------------------ store

/// The platform's metadata store: lists, watches, conditional writes.
class Store {
 public:
  void Start() {
    server_.Start([this](int connection, const Message& request) {
      return Handle(connection, request);
    });
  }
  [[nodiscard]] std::uint16_t port() const { return server_.port(); }

  /// A write of the operator or of a replica; `spec` is JSON.
  std::int64_t Put(const std::string& kind, const std::string& name,
                   const std::string& spec) {
    const std::lock_guard lock(mutex_);
    return Change(kind, name, spec);
  }
  void Remove(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex_);
    Delete(kind, name);
  }

 private:
  struct Object {
    std::int64_t revision = 0;
    std::string spec;
  };
  struct Event {
    std::int64_t revision = 0;
    std::string kind;
    bool deleted = false;
    std::string object;
  };

  static std::string Encode(const std::string& name, const Object& object) {
    return "{\"metadata\":{\"name\":\"" + name +
           "\",\"revision\":" + std::to_string(object.revision) +
           ",\"created\":1},\"spec\":" + object.spec + ",\"status\":null}";
  }
  std::int64_t Change(const std::string& kind, const std::string& name,
                      const std::string& spec) {
    auto& object = kinds_[kind][name];
    if (object.revision > 0 && object.spec == spec) return object.revision;
    object = {++revision_, spec};
    events_.push_back({revision_, kind, false, Encode(name, object)});
    changed_.notify_all();
    return revision_;
  }
  void Delete(const std::string& kind, const std::string& name) {
    const auto found = kinds_[kind].find(name);
    if (found == kinds_[kind].end()) return;
    found->second.revision = ++revision_;
    events_.push_back({revision_, kind, true, Encode(name, found->second)});
    kinds_[kind].erase(found);
    changed_.notify_all();
  }
  static std::string Query(const std::string& target, const std::string& name) {
    const auto query = target.find('?');
    if (query == std::string::npos) return "";
    const auto at = target.find(name + "=", query);
    if (at == std::string::npos) return "";
    const auto from = at + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
  }
  /// Value of a field in compact JSON as the gateway writes it.
  static std::string Field(const std::string& json, const std::string& name) {
    const auto at = json.find("\"" + name + "\":");
    if (at == std::string::npos) return "";
    auto from = at + name.size() + 3;
    if (json[from] == '"') {
      return json.substr(from, json.find('"', from + 1) + 1 - from);
    }
    return json.substr(from, json.find_first_of(",}", from) - from);
  }

  bool Handle(int connection, const Message& request) {
    const auto target = request.Target();
    auto path = target.substr(0, target.find('?'));
    const std::string prefix = "/objects/";
    if (path.rfind(prefix, 0) != 0) {
      return SendAll(connection, JsonAnswer(404, "{}"));
    }
    path.erase(0, prefix.size());
    const auto slash = path.find('/');
    const auto kind = path.substr(0, slash);
    const auto name = slash == std::string::npos ? "" : path.substr(slash + 1);
    const auto method = request.Method();
    if (method == "GET" && name.empty()) {
      const auto watch = Query(target, "watch");
      return SendAll(
          connection,
          JsonAnswer(200,
                     watch.empty()
                         ? List(kind)
                         : Watch(kind, std::stoll(watch),
                                 std::atoi(Query(target, "wait_ms").c_str()))));
    }
    const std::lock_guard lock(mutex_);
    auto& objects = kinds_[kind];
    if (method == "GET") {
      const auto found = objects.find(name);
      return SendAll(connection,
                     found == objects.end()
                         ? JsonAnswer(404, "{}")
                         : JsonAnswer(200, Encode(name, found->second)));
    }
    if (method == "POST") {
      auto created = Field(request.body, "name");
      created = created.size() < 2 ? "" : created.substr(1, created.size() - 2);
      if (objects.count(created) > 0) {
        return SendAll(connection,
                       JsonAnswer(409, Encode(created, objects[created])));
      }
      Change(kind, created, Field(request.body, "spec"));
      return SendAll(connection,
                     JsonAnswer(201, Encode(created, objects[created])));
    }
    if (method == "PUT") {
      const auto found = objects.find(name);
      if (found == objects.end()) {
        return SendAll(connection, JsonAnswer(404, "{}"));
      }
      const auto revision = Field(request.body, "revision");
      if (!revision.empty() && std::stoll(revision) != found->second.revision) {
        return SendAll(connection,
                       JsonAnswer(409, Encode(name, found->second)));
      }
      Change(kind, name, Field(request.body, "spec"));
      return SendAll(connection, JsonAnswer(200, Encode(name, objects[name])));
    }
    return SendAll(connection, JsonAnswer(404, "{}"));
  }
  std::string List(const std::string& kind) {
    const std::lock_guard lock(mutex_);
    std::string items;
    for (const auto& [name, object] : kinds_[kind]) {
      items += (items.empty() ? "" : ",") + Encode(name, object);
    }
    return "{\"items\":[" + items +
           "],\"truncated\":false,\"store_revision\":" +
           std::to_string(revision_) + "}";
  }
  std::string Watch(const std::string& kind, std::int64_t after, int wait_ms) {
    std::unique_lock lock(mutex_);
    const auto collect = [&] {
      std::string events;
      for (const auto& event : events_) {
        if (event.kind != kind || event.revision <= after) continue;
        events +=
            (events.empty() ? "" : ",") +
            ("{\"deleted\":" + std::string(event.deleted ? "true" : "false") +
             ",\"object\":" + event.object + "}");
      }
      return events;
    };
    std::string events;
    changed_.wait_for(lock, std::chrono::milliseconds(wait_ms), [&] {
      events = collect();
      return !events.empty();
    });
    return "{\"events\":[" + events +
           "],\"store_revision\":" + std::to_string(revision_) + "}";
  }

  Server server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::int64_t revision_ = 100;
  std::map<std::string, std::map<std::string, Object>> kinds_;
  std::vector<Event> events_;
};

/// The platform's cloud API: accepts every call.
class Cloud {
 public:
  void Start() {
    server_.Start([](int connection, const Message&) {
      return SendAll(connection, JsonAnswer(200, "{}"));
    });
  }
  [[nodiscard]] std::uint16_t port() const { return server_.port(); }

 private:
  Server server_;
};

// --------------------------------------------------------------- replicas

/// A replica: runs requests, echoes their id and signs its answers.
class Replica {
 public:
  /// Serves a request that the replica runs; returns false to close.
  using Run = std::function<bool(Replica& self, int connection,
                                 const Message& request)>;

  Replica(Store* store, std::string id, std::string service, std::string zone,
          int slots)
      : store_(store),
        id_(std::move(id)),
        service_(std::move(service)),
        zone_(std::move(zone)),
        slots_(slots) {}

  void Start(Run run) {
    run_ = std::move(run);
    server_.Start([this](int connection, const Message& request) {
      return Handle(connection, request);
    });
    Register("ready");
  }
  void Register(const std::string& state) const {
    store_->Put(
        "servers", id_,
        "{\"service\":\"" + service_ + "\",\"addr\":\"127.0.0.1:" +
            std::to_string(server_.port()) + "\",\"zone\":\"" + zone_ +
            "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots_) +
            ",\"state\":\"" + state + "\",\"cold_left_ms\":0,\"seq\":1}");
  }
  /// Ends: refuses connections; the handler closes those that are open.
  void Exit() {
    store_->Remove("servers", id_);
    server_.Stop();
  }
  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] std::uint16_t port() const { return server_.port(); }
  /// Headers of an answer of the replica itself.
  [[nodiscard]] std::string Signed(const Message& request) const {
    return "X-Request-Id: " + request.Header("X-Request-Id") +
           "\r\nX-Replica-Seal: " + id_ + "." + request.Header("X-Request-Id") +
           "\r\n";
  }
  /// Answers as a sound replica.
  bool AnswerSoundly(int connection, const Message& request,
                     int work_ms) const {
    SleepMs(work_ms);
    return SendAll(connection,
                   Answer(200, std::string(800, 'b'), Signed(request)));
  }

 private:
  bool Handle(int connection, const Message& request) {
    const auto target = request.Target();
    if (target == "/health") {
      return SendAll(connection,
                     Answer(200, "", "X-Replica-Id: " + id_ + "\r\n"));
    }
    if (target == "/report") {
      return SendAll(
          connection,
          JsonAnswer(200,
                     "{\"stage\":\"mixed\",\"models\":[],\"busy\":false,"
                     "\"seq\":1,\"queued\":0,\"active\":1,\"kv_used\":100,"
                     "\"kv_total\":500000,\"handles\":0}"));
    }
    const auto expected = request.Header("X-Expect-Replica");
    if (!expected.empty() && expected != id_) {
      return SendAll(connection,
                     Answer(421, "", "X-Replica-Id: " + id_ + "\r\n"));
    }
    Record::Get().Line("run %s at %s", request.Header("X-Request-Id").c_str(),
                       id_.c_str());
    return run_(*this, connection, request);
  }

  Store* store_;
  std::string id_;
  std::string service_;
  std::string zone_;
  int slots_;
  Server server_;
  Run run_;
};

// ---------------------------------------------------------------- gateway

/// A machine that runs the gateway with the command of the deploy file.
class Machine {
 public:
  Machine(std::string name, std::string directory, std::uint16_t store,
          std::uint16_t cloud)
      : name_(std::move(name)), directory_(std::move(directory)) {
    front_ = FreePort();
    ready_ = FreePort();
    const auto text =
        "daemon = \"" + name_ +
        "\"\navailability_zone = \"ub-east\"\n\n[regions]\n"
        "\"ub-east\" = \"ulaanbaatar\"\n\"ub-west\" = \"ulaanbaatar\"\n"
        "\"dk-central\" = \"darkhan\"\n\n[listen]\n"
        "callers = \"127.0.0.1:" +
        std::to_string(front_) +
        "\"\nready = \"127.0.0.1:" + std::to_string(ready_) +
        "\"\npeers = \"127.0.0.1:" + std::to_string(FreePort()) +
        "\"\nmetrics = \"127.0.0.1:" + std::to_string(FreePort()) +
        "\"\n\n[vm]\ncores = 0.25\n\n[platform]\nobject_api = \"127.0.0.1:" +
        std::to_string(store) +
        "\"\ncloud_api = \"127.0.0.1:" + std::to_string(cloud) +
        "\"\nreports_usage = true\norders_upstreams = true\n\n[times]\n"
        "key_revocation_ms = 5000\ndrain_ms = 8000\nupstream_stay_ms = 2500\n"
        "lease_ms = 3000\nusage_window_ms = 5000\n\n[retries]\nratio = 0.2\n"
        "burst = 56\n\n[quotas]\nwindow_ms = 8000\nslack = 190000\n";
    settings_ = directory_ + "/" + name_ + ".toml";
    std::FILE* file = std::fopen(settings_.c_str(), "w");
    if (file == nullptr) CannotRun("no temporary directory");
    std::fputs(text.c_str(), file);
    std::fclose(file);
  }
  ~Machine() { Kill(); }

  /// The platform starts the process.
  void Start() {
    const char* binary = std::getenv("GATEWAY");
    if (binary == nullptr || access(binary, X_OK) != 0) {
      CannotRun("the gateway is not built");
    }
    const auto log = directory_ + "/" + name_ + ".log";
    const bool is_first = std::exchange(was_started_, true) == false;
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      setenv("QT_NO_GLIB", "1", 1);
      setenv("FIRMOOR_FIRST_START", is_first ? "true" : "false", 1);
      execl(binary, binary, "--settings", settings_.c_str(), nullptr);
      _exit(127);
    }
    Record::Get().Line("start %s pid %d", name_.c_str(), pid_.load());
  }
  void WaitReady() const {
    for (int i = 0; i < 200; ++i) {
      const int connection = Connect(ready_);
      if (connection >= 0) {
        SendAll(connection, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        Reader reader(connection);
        const auto answer = reader.Read(500, true);
        close(connection);
        if (answer && answer->Status() == 200) return;
      }
      SleepMs(50);
    }
    CannotRun("the gateway is not ready within 10 s");
  }
  /// How the process ended, if it did by itself or was killed.
  std::optional<int> Ended() {
    if (pid_ <= 0) return std::nullopt;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
    pid_ = -1;
    return status;
  }
  void Signal(int number) const {
    if (pid_ > 0) kill(pid_, number);
  }
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  /// Resident memory of the process in MB.
  [[nodiscard]] double MemoryMb() const {
    if (pid_ <= 0) return 0;
    const auto path = "/proc/" + std::to_string(pid_) + "/statm";
    std::FILE* file = std::fopen(path.c_str(), "r");
    if (file == nullptr) return 0;
    long total = 0;
    long resident = 0;
    const int read = std::fscanf(file, "%ld %ld", &total, &resident);
    std::fclose(file);
    return read == 2 ? static_cast<double>(resident) *
                           static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6
                     : 0;
  }
  [[nodiscard]] std::uint16_t front() const { return front_; }
  [[nodiscard]] std::uint16_t ready() const { return ready_; }
  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] bool IsRunning() const { return pid_ > 0; }

 private:
  std::string name_;
  std::string directory_;
  std::string settings_;
  std::uint16_t front_ = 0;
  std::uint16_t ready_ = 0;
  std::atomic<pid_t> pid_{-1};
  bool was_started_ = false;
};

/// A directory for settings and logs, removed at the end unless KEEP is set.
class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    char path[] = "/tmp/review-XXXXXX";
    if (mkdtemp(path) == nullptr) CannotRun("no temporary directory");
    path_ = path;
  }
  void Remove() const {
    if (std::getenv("KEEP") != nullptr) return;
    const auto command = "rm -rf '" + path_ + "'";
    if (std::system(command.c_str()) != 0) return;
  }
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// ---------------------------------------------------------------- callers

/// How a request of a caller ended.
enum class End { kAnswered, kClosed, kTimedOut, kNotConnected };

struct Result {
  End end = End::kNotConnected;
  Message answer;
  bool was_kept = false;  ///< An earlier request was answered there.
  double took_s = 0;
};

/// A caller that keeps its connection as long as it may.
class Caller {
 public:
  explicit Caller(std::uint16_t port) : port_(port) {}
  ~Caller() { Close(); }

  Result Send(const std::string& method, const std::string& path,
              const std::string& id, int deadline_ms, int wait_ms,
              const std::string& headers = "") {
    Result result;
    if (descriptor_ < 0) {
      descriptor_ = Connect(port_);
      reader_.emplace(descriptor_);
      kept_ = false;
    }
    if (descriptor_ < 0) return result;
    result.was_kept = kept_;
    const std::string body = method == "POST" ? "{\"a\":1}" : "";
    const auto from = Seconds();
    SendAll(descriptor_,
            method + " " + path + " HTTP/1.1\r\nHost: h.example\r\n" +
                "X-Request-Id: " + id + "\r\nX-Deadline-Ms: " +
                std::to_string(deadline_ms) + "\r\nApi-Key: key1\r\n" +
                headers + "Content-Length: " + std::to_string(body.size()) +
                "\r\n\r\n" + body);
    const auto answer = reader_->Read(wait_ms, true);
    result.took_s = Seconds() - from;
    if (answer && answer->is_complete) {
      result.end = End::kAnswered;
      result.answer = *answer;
      kept_ = true;
      if (answer->Header("Connection") == "close") Close();
      return result;
    }
    result.end = reader_->timed_out() ? End::kTimedOut : End::kClosed;
    if (answer) result.answer = *answer;
    Close();
    return result;
  }
  void Close() {
    if (descriptor_ >= 0) close(descriptor_);
    descriptor_ = -1;
  }

 private:
  std::uint16_t port_;
  int descriptor_ = -1;
  std::optional<Reader> reader_;
  bool kept_ = false;
};

inline const char* NameOf(End end) {
  constexpr const char* kNames[] = {"answered", "closed", "timed-out",
                                    "not-connected"};
  return kNames[static_cast<int>(end)];
}

/// Callers that look up and book in turn on kept connections, and what became
/// of their requests.
class DeskCallers {
 public:
  /// The request of this or another caller ran at a sound replica.
  void OnSoundRun(const Message& request) {
    const std::lock_guard lock(mutex_);
    sound_.insert(request.Header("X-Request-Id"));
  }
  void Start(const Machine& machine, int count) {
    for (int i = 0; i < count; ++i) {
      threads_.emplace_back([this, port = machine.front(),
                             name = machine.name() + "-" + std::to_string(i)] {
        Run(port, name);
      });
    }
  }
  void Stop() {
    stopped_ = true;
    for (auto& thread : threads_) thread.join();
  }
  [[nodiscard]] int answered() const { return answered_; }
  /// Requests on kept connections that ran at a sound replica and whose
  /// connection closed without an answer.
  [[nodiscard]] int lost() const { return lost_; }
  /// Counts a request that got no answer.
  void OnNoAnswer(const std::string& id, const Result& result) {
    const bool ran = RanSoundly(id);
    const bool has_begun = !result.answer.first_line.empty();
    const bool is_lost =
        result.end == End::kClosed && result.was_kept && ran && !has_begun;
    lost_ += is_lost;
    Record::Get().Line("%s %s kept %d at-sound-replica %d answer-begun %d%s",
                       NameOf(result.end), id.c_str(), result.was_kept, ran,
                       has_begun, is_lost ? " LOST" : "");
  }

 private:
  bool RanSoundly(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return sound_.count(id) > 0;
  }
  void Run(std::uint16_t port, const std::string& name) {
    Caller caller(port);
    for (int i = 0; !stopped_; ++i) {
      const auto id = name + "-" + std::to_string(i);
      const bool looks = i % 2 == 0;
      const auto result =
          caller.Send(looks ? "GET" : "POST", looks ? "/look/1" : "/pay/1", id,
                      2'500, 3'500);
      if (result.end == End::kAnswered) {
        answered_ += result.answer.Status() == 200;
        Record::Get().Line("answer %s %d", id.c_str(), result.answer.Status());
      } else {
        OnNoAnswer(id, result);
        SleepMs(100);
      }
      SleepMs(50);
    }
  }

  std::mutex mutex_;
  std::set<std::string> sound_;
  std::atomic<bool> stopped_{false};
  std::atomic<int> answered_{0};
  std::atomic<int> lost_{0};
  std::vector<std::thread> threads_;
};

/// Restarts processes that have ended, half a second later, as the platform
/// does. Returns how many have ended.
inline int RestartEnded(const std::vector<std::unique_ptr<Machine>>& machines) {
  int ends = 0;
  for (const auto& machine : machines) {
    const auto status = machine->Ended();
    if (!status) continue;
    ++ends;
    Record::Get().Line(
        "%s ended: %s %d", machine->name().c_str(),
        WIFSIGNALED(*status) ? "signal" : "exit code",
        WIFSIGNALED(*status) ? WTERMSIG(*status) : WEXITSTATUS(*status));
    SleepMs(500);
    machine->Start();
  }
  return ends;
}

/// The operator's configuration of the cases: bookings as on tsagaan-sam.
inline std::string Configuration(int version) {
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":["
         "{\"name\":\"draft\",\"host\":\"h.example\",\"path_prefix\":\"/draft/"
         "\",\"kind\":\"stream\",\"timeout_ms\":12000,\"goal_ms\":1200,"
         "\"priority\":0,\"service\":\"assist\",\"max_attempts\":2,"
         "\"public\":false,\"sticky\":true,\"resumable\":true,"
         "\"gap_target_ms\":500},"
         "{\"name\":\"pay\",\"host\":\"h.example\",\"path_prefix\":\"/pay/\","
         "\"kind\":\"non_idempotent\",\"timeout_ms\":1200,\"goal_ms\":250,"
         "\"priority\":0,\"service\":\"desk\",\"max_attempts\":2,"
         "\"public\":false,\"sticky\":false},"
         "{\"name\":\"look\",\"host\":\"h.example\",\"path_prefix\":\"/look/\","
         "\"kind\":\"idempotent\",\"timeout_ms\":1200,\"goal_ms\":250,"
         "\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,"
         "\"public\":false,\"sticky\":false}],"
         "\"services\":[{\"name\":\"assist\",\"health_path\":\"/health\","
         "\"max_conns\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{"
         "\"slots\":64,\"kv_capacity\":585269,\"kv_token_bytes\":18432,"
         "\"link_mbps\":180000.0,\"moves\":true,\"backups\":true,\"stride\":3,"
         "\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,"
         "\"models\":[{\"name\":\"m\"}]}},"
         "{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":110,"
         "\"protocol\":\"h1\",\"tls\":false}],"
         "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
         "\"tenants\":[{\"name\":\"salon\",\"api_keys\":[\"key1\"],"
         "\"priority\":1,\"unit\":\"tokens\",\"plain_tokens\":200,"
         "\"rate_per_s\":1750000,\"burst\":1750000}]}";
}

}  // namespace review

#endif  // REVIEW_COMMON_STANDINS_HPP_
