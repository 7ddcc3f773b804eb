// Stand-ins of the platform's store and API, of replicas and of clients, and
// the gateway as a separate process, on loopback addresses and the real clock.
// They follow PROTOCOL.md; where it is silent, they behave like sound programs.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace kit {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kStart = Clock::now();
inline long Ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               kStart)
      .count();
}
inline long long WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void Sleep(long ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// ---- record.txt -----------------------------------------------------------
inline FILE* g_record = nullptr;
inline std::mutex g_record_mutex;
__attribute__((format(printf, 1, 2))) inline void Note(const char* format,
                                                       ...) {
  const std::lock_guard lock(g_record_mutex);
  if (!g_record) g_record = stdout;
  fprintf(g_record, "%8ld ms  ", Ms());
  va_list args;
  va_start(args, format);
  vfprintf(g_record, format, args);
  va_end(args);
  fputc('\n', g_record);
  fflush(g_record);
}

/// Ends the script with 2: the case could not run.
[[noreturn]] inline void CannotRun(const char* why) {
  Note("cannot run: %s", why);
  exit(2);
}

// ---- sockets --------------------------------------------------------------
inline int Listen(int* port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(*port));
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  socklen_t length = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  *port = ntohs(address.sin_port);
  return fd;
}

/// A port that is free now, below those that connections get, so that none of
/// them takes it before the gateway listens.
inline int FreePort() {
  constexpr int kFirst = 12'000;
  constexpr int kCount = 18'000;
  static int next = static_cast<int>(getpid() * 37L % kCount);
  for (int tries = 0; tries < 1'000; ++tries) {
    int port = kFirst + next++ % kCount;
    const int fd = Listen(&port);
    if (fd < 0) continue;
    close(fd);
    return port;
  }
  CannotRun("no free port");
}

inline int Connect(int port, long timeout_ms = 1000) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  const int flags = fcntl(fd, F_GETFL);
  fcntl(fd, F_SETFL, flags | O_NONBLOCK);
  connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
  pollfd waiting{fd, POLLOUT, 0};
  int error = ETIMEDOUT;
  if (poll(&waiting, 1, static_cast<int>(timeout_ms)) == 1) {
    socklen_t length = sizeof error;
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length);
  }
  if (error != 0) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, flags);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    const auto sent =
        send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (sent <= 0) return false;
    at += static_cast<std::size_t>(sent);
  }
  return true;
}

/// Closes a connection by a reset.
inline void Reset(int fd) {
  const linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close(fd);
}

// ---- HTTP -----------------------------------------------------------------
struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
  bool complete = false;
  [[nodiscard]] std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  [[nodiscard]] std::string Method() const {
    return first_line.substr(0, first_line.find(' '));
  }
  [[nodiscard]] std::string Target() const {
    const auto from = first_line.find(' ');
    if (from == std::string::npos) return "";
    return first_line.substr(from + 1,
                             first_line.find(' ', from + 1) - from - 1);
  }
  [[nodiscard]] int Status() const {
    return first_line.size() > 12 ? atoi(first_line.c_str() + 9) : 0;
  }
};

/// A connection with what was read ahead.
struct Stream {
  int fd = -1;
  std::string buffer;
  bool was_reset = false;

  /// Reads more; false at the end, a reset or the time-out.
  bool Fill(long until_ms) {
    const long left = until_ms - Ms();
    pollfd waiting{fd, POLLIN, 0};
    if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) != 1) {
      return false;
    }
    char bytes[65536];
    const auto count = recv(fd, bytes, sizeof bytes, 0);
    if (count < 0) was_reset = true;
    if (count <= 0) return false;
    buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
  bool FillTo(std::size_t size, long until_ms) {
    while (buffer.size() < size) {
      if (!Fill(until_ms)) return false;
    }
    return true;
  }
  bool Line(std::string* line, long until_ms) {
    std::size_t end;
    while ((end = buffer.find("\r\n")) == std::string::npos) {
      if (!Fill(until_ms)) return false;
    }
    *line = buffer.substr(0, end);
    buffer.erase(0, end + 2);
    return true;
  }
  /// Reads a message; what has arrived of the body stays in it if it ends
  /// early.
  bool Read(Message* message, long until_ms, bool is_response = false,
            bool without_body = false) {
    *message = {};
    if (!Line(&message->first_line, until_ms)) return false;
    std::string line;
    while (true) {
      if (!Line(&line, until_ms)) return false;
      if (line.empty()) break;
      const auto colon = line.find(':');
      std::string name = line.substr(0, colon);
      for (auto& c : name) c = static_cast<char>(tolower(c));
      auto value = line.substr(colon + 1);
      while (!value.empty() && value.front() == ' ') value.erase(0, 1);
      message->headers[name] = value;
    }
    if (without_body) return message->complete = true;
    if (message->Header("transfer-encoding") == "chunked") {
      while (true) {
        if (!Line(&line, until_ms)) return false;
        const auto size = strtoul(line.c_str(), nullptr, 16);
        const bool is_whole = FillTo(size + 2, until_ms);
        message->body += buffer.substr(0, std::min(size, buffer.size()));
        if (!is_whole) return false;
        buffer.erase(0, size + 2);
        if (size == 0) return message->complete = true;
      }
    }
    const auto length = message->Header("content-length");
    if (!length.empty()) {
      const auto size = strtoul(length.c_str(), nullptr, 10);
      const bool is_whole = FillTo(size, until_ms);
      message->body = buffer.substr(0, size);
      if (!is_whole) return false;
      buffer.erase(0, size);
      return message->complete = true;
    }
    if (is_response) {
      while (Fill(until_ms)) {
      }
      message->body = std::exchange(buffer, {});
      return message->complete = !was_reset;
    }
    return message->complete = true;
  }
};

inline std::string Answer(int status, const std::string& headers,
                          const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " S\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections; each has a thread that calls `serve` until it returns.
class Server {
 public:
  using Serve = std::function<void(Stream*)>;
  explicit Server(Serve serve, int port = 0)
      : serve_(std::move(serve)), port_(port) {
    Open();
  }
  ~Server() { Close(); }
  [[nodiscard]] int port() const { return port_; }
  [[nodiscard]] std::string Address() const {
    return "127.0.0.1:" + std::to_string(port_);
  }
  void Open() {
    listener_ = Listen(&port_);
    if (listener_ < 0) CannotRun("cannot listen");
    std::thread([this, listener = listener_] {
      while (true) {
        const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          if (errno == EINTR || errno == ECONNABORTED) continue;
          return;
        }
        const int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        {
          const std::lock_guard lock(mutex_);
          open_.insert(fd);
        }
        std::thread([this, fd] {
          Stream stream;
          stream.fd = fd;
          serve_(&stream);
          const std::lock_guard lock(mutex_);
          if (open_.erase(fd) > 0) close(fd);
        }).detach();
      }
    }).detach();
  }
  /// Refuses new connections.
  void StopListening() {
    if (listener_ < 0) return;
    shutdown(listener_, SHUT_RDWR);
    close(std::exchange(listener_, -1));
  }
  /// Ends as a process that is killed: connections are closed by the kernel.
  void Close(bool by_reset = false) {
    StopListening();
    const std::lock_guard lock(mutex_);
    for (const int fd : open_) {
      if (by_reset) {
        const linger now{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
      }
      shutdown(fd, SHUT_RDWR);
    }
  }

 private:
  Serve serve_;
  int port_ = 0;
  int listener_ = -1;
  std::mutex mutex_;
  std::set<int> open_;
};

/// A relay before a server. An open connection can be made silent for good: no
/// byte passes any more, and neither end is closed.
class Relay {
 public:
  explicit Relay(int to)
      : to_(to), server_([this](Stream* stream) { Serve(stream); }) {}
  [[nodiscard]] std::string Address() const { return server_.Address(); }
  [[nodiscard]] int port() const { return server_.port(); }
  /// Silences the open connections whose last request begins with `request`.
  int Silence(const std::string& request) {
    const std::lock_guard lock(mutex_);
    int count = 0;
    for (const auto& link : links_) {
      if (link->last_request.rfind(request, 0) != 0 || link->is_silent) {
        continue;
      }
      link->is_silent = true;
      ++count;
      Note("a connection goes silent, its last request: %s",
           link->last_request.c_str());
    }
    return count;
  }

 private:
  struct Link {
    std::atomic<bool> is_silent{false};
    std::string last_request;
  };
  void Serve(Stream* stream) {
    const int other = Connect(to_);
    if (other < 0) return;
    const auto link = std::make_shared<Link>();
    {
      const std::lock_guard lock(mutex_);
      links_.insert(link);
    }
    while (true) {
      pollfd both[] = {{stream->fd, POLLIN, 0}, {other, POLLIN, 0}};
      if (link->is_silent) {
        Sleep(50);
        continue;
      }
      if (poll(both, 2, 20) <= 0) continue;
      if (link->is_silent) continue;
      char bytes[65536];
      const bool is_call = both[0].revents != 0;
      const auto count =
          recv(is_call ? stream->fd : other, bytes, sizeof bytes, 0);
      if (count <= 0) break;
      const std::string text(bytes, static_cast<std::size_t>(count));
      if (is_call) {
        const std::lock_guard lock(mutex_);
        link->last_request = text.substr(0, text.find('\r'));
      }
      if (!SendAll(is_call ? other : stream->fd, text)) break;
    }
    close(other);
    const std::lock_guard lock(mutex_);
    links_.erase(link);
  }
  int to_;
  std::mutex mutex_;
  std::set<std::shared_ptr<Link>> links_;
  Server server_;
};

// ---- JSON -----------------------------------------------------------------
/// The text of a member's value in an object, at any depth; "" if missing.
inline std::string Member(const std::string& text, const std::string& name) {
  const auto key = "\"" + name + "\"";
  auto at = text.find(key);
  if (at == std::string::npos) return "";
  at = text.find(':', at + key.size()) + 1;
  while (at < text.size() && text[at] == ' ') ++at;
  int depth = 0;
  bool in_string = false;
  auto end = at;
  for (; end < text.size(); ++end) {
    const char c = text[end];
    if (in_string) {
      if (c == '\\') ++end;
      if (c == '"') in_string = false;
      continue;
    }
    if (c == '"') in_string = true;
    if (c == '{' || c == '[') ++depth;
    if (c == '}' || c == ']') {
      if (depth == 0) break;
      --depth;
    }
    if (c == ',' && depth == 0) break;
  }
  return text.substr(at, end - at);
}
inline std::string Unquoted(std::string text) {
  if (text.size() >= 2 && text.front() == '"') {
    text = text.substr(1, text.size() - 2);
  }
  return text;
}

// ---- the platform's store -------------------------------------------------
class Store {
 public:
  Store() : server_([this](Stream* stream) { Serve(stream); }) {}
  [[nodiscard]] std::string Address() const { return server_.Address(); }
  Server& server() { return server_; }

  /// Writes an object as the operator or a replica does. `spec` is kept as its
  /// writer sent it. Returns the revision.
  long Put(const std::string& kind, const std::string& name,
           const std::string& spec) {
    const std::lock_guard lock(mutex_);
    return PutLocked(kind, name, spec);
  }
  void Remove(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex_);
    const auto found = objects_[kind].find(name);
    if (found == objects_[kind].end()) return;
    const auto object = found->second;
    objects_[kind].erase(found);
    events_.push_back({++revision_, kind, name, object, true});
    changed_.notify_all();
  }
  std::string Spec(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex_);
    const auto found = objects_[kind].find(name);
    return found == objects_[kind].end() ? "" : found->second.spec;
  }

  /// What happens to a call before it is executed (`true`: as usual; `false`:
  /// the connection is closed by a reset), and to its answer.
  std::function<bool(const Message&)> before;
  std::function<bool(const Message&, const std::string&)> after;
  std::atomic<int> calls{0};

 private:
  struct Object {
    long revision = 0;
    std::string spec;
  };
  struct Event {
    long revision;
    std::string kind, name;
    Object object;
    bool deleted;
  };
  long PutLocked(const std::string& kind, const std::string& name,
                 const std::string& spec) {
    auto& object = objects_[kind][name];
    if (object.revision > 0 && object.spec == spec) return object.revision;
    object = {++revision_, spec};
    events_.push_back({revision_, kind, name, object, false});
    changed_.notify_all();
    return revision_;
  }
  static std::string Text(const std::string& name, const Object& object) {
    return "{\"metadata\":{\"name\":\"" + name +
           "\",\"revision\":" + std::to_string(object.revision) +
           ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" +
           object.spec + ",\"status\":null}";
  }
  static std::string Json(int status, const std::string& body) {
    return Answer(status, "Content-Type: application/json\r\n", body);
  }
  std::string Execute(const Message& call) {
    const auto target = call.Target();
    const auto path = target.substr(0, target.find('?'));
    const auto query =
        path.size() < target.size() ? target.substr(path.size() + 1) : "";
    const auto value = [&](const std::string& name) -> std::string {
      const auto at = ("&" + query).find("&" + name + "=");
      if (at == std::string::npos) return "";
      const auto from = at + name.size() + 1;
      return query.substr(from, query.find('&', from) - from);
    };
    if (path.rfind("/objects/", 0) != 0) return Json(404, "{}");
    const auto rest = path.substr(9);
    const auto slash = rest.find('/');
    const auto kind = rest.substr(0, slash);
    auto name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    std::unique_lock lock(mutex_);
    auto& objects = objects_[kind];
    if (call.Method() == "GET" && !name.empty()) {
      const auto found = objects.find(name);
      return found == objects.end() ? Json(404, "{}")
                                    : Json(200, Text(name, found->second));
    }
    if (call.Method() == "GET" && !value("watch").empty()) {
      const long since = atol(value("watch").c_str());
      const auto news = [&] {
        std::string list;
        for (const auto& event : events_) {
          if (event.kind != kind || event.revision <= since) continue;
          list += (list.empty() ? "" : ",") +
                  std::string("{\"deleted\":") +
                  (event.deleted ? "true" : "false") +
                  ",\"object\":" + Text(event.name, event.object) + "}";
        }
        return list;
      };
      changed_.wait_for(
          lock, std::chrono::milliseconds(atol(value("wait_ms").c_str())),
          [&] { return !news().empty(); });
      return Json(200, "{\"events\":[" + news() + "],\"store_revision\":" +
                           std::to_string(revision_) + "}");
    }
    if (call.Method() == "GET") {
      std::string list;
      for (const auto& [key, object] : objects) {
        if (key <= value("after")) continue;
        list += (list.empty() ? "" : ",") + Text(key, object);
      }
      return Json(200, "{\"items\":[" + list +
                           "],\"truncated\":false,\"store_revision\":" +
                           std::to_string(revision_) + "}");
    }
    const auto metadata = Member(call.body, "metadata");
    const auto expected = Member(metadata, "revision");
    if (call.Method() == "POST") {
      name = Unquoted(Member(metadata, "name"));
      if (objects.contains(name)) return Json(409, Text(name, objects[name]));
      PutLocked(kind, name, Member(call.body, "spec"));
      return Json(201, Text(name, objects[name]));
    }
    if (call.Method() != "PUT") return Json(404, "{}");
    const auto found = objects.find(name);
    if (found == objects.end()) return Json(404, "{}");
    if (!expected.empty() && atol(expected.c_str()) != found->second.revision) {
      return Json(409, Text(name, found->second));
    }
    PutLocked(kind, name, Member(call.body, "spec"));
    return Json(200, Text(name, objects[name]));
  }
  void Serve(Stream* stream) {
    Message call;
    while (stream->Read(&call, Ms() + 120'000)) {
      ++calls;
      if (before && !before(call)) return Reset2(stream);
      const auto answer = Execute(call);
      if (after && !after(call, answer)) return Reset2(stream);
      if (!SendAll(stream->fd, answer)) return;
    }
  }
  static void Reset2(Stream* stream) {
    const linger now{1, 0};
    setsockopt(stream->fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  long revision_ = 100;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::vector<Event> events_;
  Server server_;
};

// ---- the platform's API ---------------------------------------------------
class Cloud {
 public:
  struct Call {
    long at;
    std::string path, holder, body;
    long fence;
  };
  Cloud() : server_([this](Stream* stream) { Serve(stream); }) {}
  [[nodiscard]] std::string Address() const { return server_.Address(); }
  std::vector<Call> Calls() {
    const std::lock_guard lock(mutex_);
    return calls_;
  }
  std::function<bool(const Message&)> before;  ///< `false`: closed, no answer.

 private:
  void Serve(Stream* stream) {
    Message call;
    while (stream->Read(&call, Ms() + 120'000)) {
      {
        const std::lock_guard lock(mutex_);
        calls_.push_back({Ms(), call.Target(), call.Header("x-duty-holder"),
                          call.body, atol(call.Header("x-fence-token").c_str())});
      }
      Note("cloud: %s by %s token %s %s", call.Target().c_str(),
           call.Header("x-duty-holder").c_str(),
           call.Header("x-fence-token").c_str(), call.body.c_str());
      if (before && !before(call)) return;
      if (!SendAll(stream->fd, Answer(200, "", ""))) return;
    }
  }
  std::mutex mutex_;
  std::vector<Call> calls_;
  Server server_;
};

// ---- replicas -------------------------------------------------------------
struct Run {
  long at = 0;
  std::string request, replica;
  Message message;
};

class Replica {
 public:
  /// Handles a request that runs; returns whether the connection is kept.
  using Handle = std::function<bool(Stream*, const Message&)>;
  Replica(Store* store, std::string id, std::string service, Handle handle,
          int port = 0, std::string zone = "ub-east")
      : store_(store),
        id_(std::move(id)),
        service_(std::move(service)),
        zone_(std::move(zone)),
        handle_(std::move(handle)),
        server_([this](Stream* stream) { Serve(stream); }, port) {}
  [[nodiscard]] const std::string& id() const { return id_; }
  Server& server() { return server_; }
  void Register(const std::string& state = "ready") {
    store_->Put("servers", id_, Entry(state));
  }
  [[nodiscard]] std::string Entry(const std::string& state) const {
    return "{\"service\":\"" + service_ + "\",\"addr\":\"" + server_.Address() +
           "\",\"zone\":\"" + zone_ +
           "\",\"version\":\"v1\",\"slots\":6,\"state\":\"" + state +
           "\",\"cold_left_ms\":0,\"born\":" + std::to_string(born_) +
           ",\"seq\":" + std::to_string(++seq_) + "}";
  }
  std::vector<Run> Runs() {
    const std::lock_guard lock(mutex_);
    return runs_;
  }
  std::string Seal(const Message& request) const {
    return "X-Request-Id: " + request.Header("x-request-id") +
           "\r\nX-Replica-Seal: seal." + id_ + "\r\n";
  }

 private:
  void Serve(Stream* stream) {
    Message request;
    while (stream->Read(&request, Ms() + 120'000)) {
      const auto target = request.Target();
      if (request.Method() == "GET" && target == "/report") {
        if (!SendAll(stream->fd,
                     Answer(200, "Content-Type: application/json\r\n",
                            "{\"stage\":\"mixed\",\"models\":[],\"busy\":false,"
                            "\"seq\":1,\"queued\":0,\"active\":0,\"kv_used\":0,"
                            "\"kv_total\":90000,\"handles\":0,\"born\":" +
                                std::to_string(born_) + "}"))) {
          return;
        }
        continue;
      }
      if (request.Method() == "GET" && target == "/health") {
        SendAll(stream->fd, Answer(200, "X-Replica-Id: " + id_ + "\r\n", ""));
        continue;
      }
      const auto expected = request.Header("x-expect-replica");
      if (!expected.empty() && expected != id_) {
        SendAll(stream->fd,
                Answer(421, "X-Not-Run: 1\r\nX-Replica-Id: " + id_ + "\r\n",
                       ""));
        continue;
      }
      {
        const std::lock_guard lock(mutex_);
        runs_.push_back({Ms(), request.Header("x-request-id"), id_, request});
      }
      Note("replica %s runs %s (%s)", id_.c_str(),
           request.Header("x-request-id").c_str(), target.c_str());
      if (!handle_(stream, request)) return;
    }
  }
  Store* store_;
  std::string id_, service_, zone_;
  long long born_ = WallMs();
  mutable std::atomic<int> seq_{0};
  Handle handle_;
  std::mutex mutex_;
  std::vector<Run> runs_;
  Server server_;
};

// ---- the gateway ----------------------------------------------------------
inline std::string Env(const char* name, const char* fallback) {
  const char* value = getenv(name);
  return value ? value : fallback;
}

class Gateway {
 public:
  Gateway(std::string name, std::string folder, const std::string& store,
          const std::string& cloud, std::string zone = "ub-east",
          double memory_mb = 260)
      : name_(std::move(name)), folder_(std::move(folder)) {
    front_ = FreePort();
    ready_ = FreePort();
    peers_ = FreePort();
    metrics_ = FreePort();
    FILE* file = fopen(SettingsFile().c_str(), "w");
    if (!file) CannotRun("no folder for the settings");
    // platform/settings.toml.in with the bounds of the site tsagaan-sam.
    fprintf(file,
            "daemon = \"%s\"\navailability_zone = \"%s\"\n[regions]\n"
            "\"ub-east\" = \"ulaanbaatar\"\n\"ub-west\" = \"ulaanbaatar\"\n"
            "\"dk-central\" = \"darkhan\"\n[listen]\n"
            "callers = \"127.0.0.1:%d\"\nready = \"127.0.0.1:%d\"\n"
            "peers = \"127.0.0.1:%d\"\nmetrics = \"127.0.0.1:%d\"\n"
            "[vm]\ncores = 0.25\nmemory_mb = %g\n[platform]\n"
            "object_api = \"%s\"\ncloud_api = \"%s\"\nreports_usage = true\n"
            "orders_upstreams = true\n[times]\nkey_revocation_ms = 5000\n"
            "drain_ms = 8000\nupstream_stay_ms = 2500\nlease_ms = 3000\n"
            "usage_window_ms = 5000\n[retries]\nratio = 0.2\nburst = 56\n"
            "[quotas]\nwindow_ms = 8000\nslack = 190000\n",
            name_.c_str(), zone.c_str(), front_, ready_, peers_, metrics_,
            memory_mb, store.c_str(), cloud.c_str());
    fclose(file);
  }
  ~Gateway() { Kill(); }

  void Start(bool first = true) {
    const auto log = folder_ + "/" + name_ + ".log";
    const auto program = Env("GATEWAY", "target/platform/firmoor-gateway");
    const auto settings = SettingsFile();
    const std::string first_start =
        std::string("FIRMOOR_FIRST_START=") + (first ? "true" : "false");
    const std::string path = "PATH=" + Env("PATH", "/usr/bin:/bin");
    const char* const arguments[] = {program.c_str(), "--settings",
                                     settings.c_str(), nullptr};
    const char* const environment[] = {"QT_NO_GLIB=1", first_start.c_str(),
                                       path.c_str(), nullptr};
    const int out =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(out, 1);
      dup2(out, 2);
      execve(program.c_str(), const_cast<char* const*>(arguments),
             const_cast<char* const*>(environment));
      _exit(127);
    }
    close(out);
    Note("%s started, process %d", name_.c_str(), pid_);
  }
  [[nodiscard]] bool IsReady() const {
    Stream stream;
    stream.fd = Connect(ready_, 500);
    if (stream.fd < 0) return false;
    SendAll(stream.fd, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    Message answer;
    const bool read = stream.Read(&answer, Ms() + 1000, true);
    close(stream.fd);
    return read && answer.Status() == 200;
  }
  bool WaitReady(long timeout_ms = 15'000) const {
    const long until = Ms() + timeout_ms;
    while (Ms() < until) {
      if (IsReady()) return true;
      Sleep(100);
    }
    return false;
  }
  void Signal(int number) const {
    if (pid_ > 0) kill(pid_, number);
  }
  /// Whether the process still runs; notes how it ended.
  bool IsRunning() {
    if (pid_ <= 0) return false;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == 0) return true;
    Note("%s ended: %s %d", name_.c_str(),
         WIFSIGNALED(status) ? "signal" : "code",
         WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
    signal_ = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    pid_ = -1;
    return false;
  }
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  /// A figure of /proc/PID/status in MB, e.g. VmHWM.
  [[nodiscard]] double MemoryMb(const char* field) const {
    FILE* file =
        fopen(("/proc/" + std::to_string(pid_) + "/status").c_str(), "r");
    if (!file) return 0;
    char line[256];
    double kb = 0;
    while (fgets(line, sizeof line, file)) {
      if (strncmp(line, field, strlen(field)) == 0) {
        kb = atof(line + strlen(field) + 1);
      }
    }
    fclose(file);
    return kb / 1024;
  }
  [[nodiscard]] int front() const { return front_; }
  [[nodiscard]] int peers() const { return peers_; }
  [[nodiscard]] pid_t pid() const { return pid_; }
  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] std::string SettingsFile() const {
    return folder_ + "/" + name_ + ".toml";
  }

 private:
  std::string name_, folder_;
  int front_, ready_, peers_, metrics_;
  pid_t pid_ = -1;
  int signal_ = 0;
};

// ---- clients --------------------------------------------------------------
struct Outcome {
  std::string id;
  long sent = 0, answered = 0;
  int status = 0;        ///< 0: no whole head.
  bool complete = false;
  bool was_reset = false;
  Message answer;
};

inline std::string NewId() {
  static std::atomic<unsigned> next{1};
  char text[32];
  snprintf(text, sizeof text, "%08x%08x", next++, 0x5eed0000U);
  return text;
}

inline std::string RequestText(const std::string& method,
                               const std::string& target, const std::string& id,
                               long deadline_ms, const std::string& body,
                               const std::string& headers = "") {
  return method + " " + target + " HTTP/1.1\r\nHost: h.example\r\n" +
         "X-Request-Id: " + id +
         "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" +
         headers +
         (method == "GET"
              ? ""
              : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         "\r\n" + body;
}

/// One attempt of a client on a new connection.
inline Outcome Ask(int port, const std::string& method,
                   const std::string& target, long deadline_ms,
                   const std::string& body = "",
                   const std::string& headers = "") {
  Outcome outcome;
  outcome.id = NewId();
  outcome.sent = Ms();
  Stream stream;
  stream.fd = Connect(port);
  if (stream.fd < 0) return outcome;
  SendAll(stream.fd,
          RequestText(method, target, outcome.id, deadline_ms, body, headers));
  outcome.complete =
      stream.Read(&outcome.answer, Ms() + deadline_ms + 500, true);
  outcome.status = outcome.answer.Status();
  outcome.was_reset = stream.was_reset;
  outcome.answered = Ms();
  close(stream.fd);
  return outcome;
}

// ---- scripts --------------------------------------------------------------
struct Script {
  std::string folder;   ///< For settings and logs.
  bool trouble = true;  ///< Whether the disruption is brought about.
  /// Arguments: the file that the record is written to, and 0 or 1.
  Script(int argc, char** argv) {
    signal(SIGPIPE, SIG_IGN);
    if (argc != 3) CannotRun("usage: PROGRAM RECORD 0|1");
    g_record = fopen(argv[1], "w");
    if (!g_record) CannotRun("the record cannot be written");
    folder = Env("WORK", "");
    if (folder.empty()) CannotRun("WORK names no temporary folder");
    trouble = std::string(argv[2]) != "0";
    Note("with%s the disruption", trouble ? "" : "out");
  }
};

inline std::string Route(const std::string& name, const std::string& prefix,
                         const std::string& kind, const std::string& service,
                         int timeout_ms, int goal_ms, int attempts,
                         const std::string& more = "") {
  return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"path_prefix\":\"" +
         prefix + "\",\"kind\":\"" + kind +
         "\",\"timeout_ms\":" + std::to_string(timeout_ms) +
         ",\"goal_ms\":" + std::to_string(goal_ms) +
         ",\"priority\":2,\"service\":\"" + service +
         "\",\"max_attempts\":" + std::to_string(attempts) +
         ",\"public\":true" + more + "}";
}
inline std::string Config(long version, const std::string& routes,
                          const std::string& services,
                          const std::string& tenants = "") {
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes +
         "],\"services\":[" + services +
         "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[" +
         tenants + "]}";
}
inline std::string PlainService(const std::string& name) {
  return "{\"name\":\"" + name +
         "\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\","
         "\"tls\":false}";
}

}  // namespace kit
