#ifndef FIRMOOR_SUPPORT_RELAY_H_
#define FIRMOOR_SUPPORT_RELAY_H_

#include <QObject>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "http/message.h"

class QTcpServer;

namespace firmoor {

/// What a relay does to the connections of a route.
enum class RelayHarm {
  kNone,
  kSilent,        ///< No byte either way and no close; new ones stay silent.
  kSilentToward,  ///< Bytes toward the target are kept back.
  kSilentBack,    ///< Bytes from the target are kept back.
  kDelayed,       ///< Bytes arrive `kRelayDelay` later.
  kPaused,        ///< As if the target's host paused: no byte either way and no
                  ///< close; all goes on afterwards.
};

/// A round trip between regions and some queueing.
constexpr Duration kRelayDelay{150};

/// Passes TCP connections on and harms them on demand, to stand for a network
/// between processes. Runs in the caller's event loop. Not thread-safe.
class Relay {
 public:
  Relay();
  ~Relay();

  /// Listens for `route`; port 0 takes a free port. Returns the port, 0 when
  /// the endpoint cannot be had.
  std::uint16_t AddRoute(const std::string& route, const Endpoint& listen,
                         const Endpoint& target);

  /// Replaces the harms: by route and prefix of the source's address ("" for
  /// all sources). Connections that were silent are closed when they heal;
  /// those that were paused go on.
  struct Rule {
    std::string route;
    std::string source;
    RelayHarm harm = RelayHarm::kSilent;

    bool operator==(const Rule&) const = default;
  };
  void SetRules(std::vector<Rule> rules);

  /// Resets the open connections of `route`.
  void Reset(const std::string& route);
  /// Listens for `route` no longer. Its open connections stay.
  void RemoveRoute(const std::string& route);

  struct Hooks {
    /// Bytes are about to be passed on to the target of a route.
    std::function<void(const std::string& route, std::string_view bytes)>
        on_passed_toward;
  };
  void SetHooks(Hooks hooks) { hooks_ = std::move(hooks); }

 private:
  struct Pair;

  void Accept(QTcpServer* listener, const std::string& route,
              const Endpoint& target);
  [[nodiscard]] RelayHarm HarmOf(const Pair& pair) const;
  void Move(const std::shared_ptr<Pair>& pair);
  void Pass(const std::shared_ptr<Pair>& pair, bool toward);
  void OnLeft(const std::shared_ptr<Pair>& pair);
  /// After a pause.
  void GoOn(const std::shared_ptr<Pair>& pair);
  static void Close(const std::shared_ptr<Pair>& pair);
  static void Abort(const std::shared_ptr<Pair>& pair);

  Hooks hooks_;
  QObject context_;
  std::map<std::string, QTcpServer*> listeners_;  ///< By route.
  std::vector<std::shared_ptr<Pair>> pairs_;
  std::vector<Rule> rules_;
};

}  // namespace firmoor

#endif  // FIRMOOR_SUPPORT_RELAY_H_
