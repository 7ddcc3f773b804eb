#ifndef FIRMOOR_DISSEMINATION_KIND_RELAY_H_
#define FIRMOOR_DISSEMINATION_KIND_RELAY_H_

#include <QByteArray>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/time.h"
#include "http/message.h"
#include "peer/peer_node.h"
#include "platform/kind_store.h"
#include "platform/store_era.h"

namespace firmoor {

/// Reads the platform's store in a large fleet and relays its changes to other
/// daemons. Lists and calls that need a linearizable answer go to the store.
/// Long polls for changes go to the configured source daemons, and to the store
/// when the sources do not respond or are stale. Answers the long polls of
/// other daemons from the changes read so far. Runs in the event loop.
class KindRelay : public KindStore {
 public:
  /// A kind of objects whose changes are relayed between daemons.
  struct Kind {
    std::string name;
    /// Responses of a source whose last contact with the store is older are
    /// rejected; none when the age of the data is checked by other means.
    std::optional<Duration> max_staleness;

    bool operator==(const Kind&) const = default;
  };
  /// Sends an encoded `RelayRequest` to another daemon, as `PeerNode::Call`.
  using CallPeer = std::function<void(const Endpoint&, const QByteArray&,
                                      Duration timeout, PeerNode::Done)>;

  class Builder {
   public:
    /// `store` must outlive the relay.
    explicit Builder(KindStore* store);
    ~Builder();
    Builder& Kind(KindRelay::Kind kind);
    Builder& Peers(CallPeer call);
    Builder& Log(EventLog* log);
    /// The era of `store`, which also rises when other daemons tell of a later
    /// one. Must outlive the relay. Without it, the relay knows only the eras
    /// of what it has read.
    Builder& Era(StoreEra* era);
    std::unique_ptr<KindRelay> Build();

   private:
    friend class KindRelay;
    struct Impl;
    std::shared_ptr<Impl> impl_;
  };

  ~KindRelay() override;

  /// Sets the daemons to read from, in order of preference; empty: this daemon
  /// reads the store.
  void SetSources(const std::vector<Endpoint>& sources);

  /// Age of the last contact with the store about `kind`, directly or through
  /// other daemons: all earlier changes are known. None before the first.
  [[nodiscard]] std::optional<Duration> StoreContactAge(
      const std::string& kind) const;

  /// Longest long poll at another daemon. Each level of the distribution tree
  /// adds at most this much to the age of what is known of the store.
  static constexpr Duration kMaxWait{500};

  /// Longest age of a contact while the sources respond: what they may have,
  /// and the time until their next response.
  static constexpr Duration MaxContactAge(Duration max_staleness) {
    return max_staleness + kMaxWait;
  }

  /// Handles an encoded `RelayRequest` of another daemon. `reply` runs when
  /// there are changes or the wait has ended, possibly within this call; it
  /// gets an empty message when the request is refused.
  void Serve(const QByteArray& request, const PeerNode::Reply& reply);

  void List(const std::string& kind,
            std::function<void(KindListing)> done) override;
  void WaitForChanges(const std::string& kind, StoreVersion version,
                      Duration wait,
                      std::function<void(KindChanges)> done) override;

 private:
  explicit KindRelay(std::shared_ptr<Builder::Impl> impl);

  std::shared_ptr<Builder::Impl> impl_;
};

}  // namespace firmoor

#endif  // FIRMOOR_DISSEMINATION_KIND_RELAY_H_
