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

namespace firmoor {

/// The platform's store as a daemon of a large fleet reads it: lists and
/// questions that must be exact go to the store itself, waits for changes to
/// the daemons that it was told to read from, and to the store when these are
/// silent or have not heard of it lately. Answers such waits of other daemons
/// from what it has read. Lives in the event loop.
class KindRelay : public KindStore {
 public:
  /// A kind that daemons read from one another.
  struct Kind {
    std::string name;
    /// A source that has not heard of the store for so long is not believed;
    /// none when something else proves the age of what is held.
    std::optional<Duration> max_staleness;

    bool operator==(const Kind&) const = default;
  };
  /// Calls another daemon with an ask, as `PeerNode::Call`.
  using CallPeer = std::function<void(const Endpoint&, const QByteArray&,
                                      Duration timeout, PeerNode::Done)>;

  /// Collects the properties of a relay.
  class Builder {
   public:
    /// `store` outlives the relay.
    explicit Builder(KindStore* store);
    ~Builder();
    Builder& Kind(KindRelay::Kind kind);
    Builder& Peers(CallPeer call);
    Builder& Log(EventLog* log);
    std::unique_ptr<KindRelay> Build();

   private:
    friend class KindRelay;
    struct Impl;
    std::shared_ptr<Impl> impl_;
  };

  ~KindRelay() override;

  /// Whom this daemon reads from, the preferred one first; empty: the store.
  void SetSources(const std::vector<Endpoint>& sources);

  /// Answers the ask of another daemon, perhaps later.
  void Serve(const QByteArray& request, const PeerNode::Reply& reply);

  void List(const std::string& kind,
            std::function<void(KindListing)> done) override;
  void WaitForChanges(const std::string& kind, std::int64_t revision,
                      Duration wait,
                      std::function<void(KindChanges)> done) override;

 private:
  explicit KindRelay(std::shared_ptr<Builder::Impl> impl);

  std::shared_ptr<Builder::Impl> impl_;
};

}  // namespace firmoor

#endif  // FIRMOOR_DISSEMINATION_KIND_RELAY_H_
