#include "dissemination/kind_relay.h"

#include <QRandomGenerator>
#include <QTimer>
#include <algorithm>
#include <list>
#include <map>
#include <set>
#include <utility>

#include "base/text.h"
#include "dissemination/change_log.h"
#include "dissemination/relay_messages.h"
#include "dissemination/source_selector.h"

namespace firmoor {
namespace {

using Done = std::function<void(KindChanges)>;

// Added to the long poll for the response: a round trip between availability
// zones and the delay of a busy daemon.
constexpr Duration kResponseMargin{400};
// A daemon that others read from contacts the store again when its last contact
// is older than this. A growing `store_contact_age` in its responses then tells
// them that it has lost the store.
constexpr Duration kStoreContactInterval{700};
// Over which the daemons that read from others spread their lists after the
// store has returned: news of it reach the whole fleet within milliseconds, and
// all daemons are to agree within a second.
constexpr Duration kListSpread{400};
// Exceeds the fan-out of the tree, because daemons whose source has failed fall
// back to this one until the tree is rebuilt.
constexpr std::size_t kMaxPendingRequests = 32;
// More removals than a fleet sees in a few minutes.
constexpr std::size_t kMaxTombstones = 1'024;

}  // namespace

struct KindRelay::Builder::Impl
    : std::enable_shared_from_this<KindRelay::Builder::Impl> {
  /// A long poll of another daemon that has not been answered yet.
  struct PendingRequest {
    std::uint64_t id = 0;
    RelayVersion version;
    PeerNode::Reply reply;
  };
  struct KindState {
    KindRelay::Kind kind;
    ChangeLog log{kMaxTombstones};
    SourceSelector selector;
    /// Last contact with the store, directly or through other daemons.
    std::optional<TimePoint> store_contact_at;
    bool is_refreshing = false;  ///< `RefreshStoreContact` is in progress.
    std::list<PendingRequest> pending_requests;
  };
  /// A call of `WaitForChanges` on this daemon.
  struct LocalWait {
    std::string kind;
    StoreVersion version;
    Duration wait{0};
    Done done;
    std::set<Endpoint> tried = {};  ///< Sources that were asked in vain.
  };

  KindStore* store = nullptr;
  CallPeer call_peer;
  EventLog* log = nullptr;
  StoreEra* era = nullptr;
  std::map<std::string, KindState> kinds;
  bool has_returned = false;  ///< The store, since this daemon started.
  std::vector<Endpoint> sources;
  std::uint64_t next_request_id = 1;
  QObject context;

  KindState* Find(const std::string& kind);
  /// The latest era that was heard of.
  [[nodiscard]] std::int64_t LatestEra(const KindState& state) const {
    const auto known = era == nullptr ? 0 : era->current();
    return std::max(known, state.log.version().era);
  }
  void OnEraRise();
  /// How long to wait before a list.
  [[nodiscard]] Duration ListDelay(const KindState& state) const;
  void ListNow(const std::string& kind,
               const std::function<void(KindListing)>& done);
  void QueryNextSource(const LocalWait& wait);
  void QueryStore(const LocalWait& wait, Duration max_wait);
  void QueryDaemon(const Endpoint& daemon, const LocalWait& wait);
  void OnStoreResult(const LocalWait& wait, const KindChanges& changes);
  void OnDaemonResult(const Endpoint& daemon, const LocalWait& wait,
                      PeerStatus status, const QByteArray& bytes);
  /// The response of a source; none when it failed, is malformed or is stale.
  [[nodiscard]] std::optional<RelayResponse> DecodeUsable(
      const KindState& state, PeerStatus status, const QByteArray& bytes);
  void ApplyResponse(const LocalWait& wait, const RelayResponse& response);
  /// Whether the log has an answer, or will not have one however long the
  /// request waits.
  [[nodiscard]] bool IsAnswerable(const KindState& state,
                                  const RelayVersion& version) const;
  /// Changes after `version`, none if it cannot be said which these are.
  [[nodiscard]] std::optional<std::vector<EncodedChange>> ChangesSince(
      const KindState& state, const RelayVersion& version) const;
  void Respond(const KindState& state, const PendingRequest& request) const;
  /// Answers the pending requests for which the log now has changes.
  void RespondToUpdated(KindState* state);
  /// Contacts the store on behalf of the daemons that read from this one,
  /// unless the last contact is recent.
  void RefreshStoreContact(KindState* state);
  void LogSourceEvent(const Endpoint& daemon, const std::string& kind,
                      const char* event) const;
};

KindRelay::Builder::Impl::KindState* KindRelay::Builder::Impl::Find(
    const std::string& kind) {
  const auto found = kinds.find(kind);
  return found == kinds.end() ? nullptr : &found->second;
}

void KindRelay::Builder::Impl::OnEraRise() {
  has_returned = true;
  for (auto& [name, state] : kinds) {
    // All of them are of an earlier era or do not tell theirs.
    for (const auto& request : std::exchange(state.pending_requests, {})) {
      Respond(state, request);
    }
  }
}

void KindRelay::Builder::Impl::LogSourceEvent(const Endpoint& daemon,
                                              const std::string& kind,
                                              const char* event) const {
  if (log == nullptr) return;
  log->Write(event,
             {{"source", Text(daemon.ToString())}, {"kind", Text(kind)}});
}

void KindRelay::Builder::Impl::QueryNextSource(const LocalWait& wait) {
  auto* state = Find(wait.kind);
  const auto now = MonotonicNow();
  const auto choice = state == nullptr ? SourceSelector::Choice{}
                                       : state->selector.Next(now, wait.tried);
  switch (choice.target) {
    case SourceSelector::Target::kDaemon:
      return QueryDaemon(choice.daemon, wait);
    case SourceSelector::Target::kStore:
      // A short wait when there are sources, so that they are tried again soon.
      return QueryStore(
          wait, sources.empty() ? wait.wait : std::min(wait.wait, kMaxWait));
    case SourceSelector::Target::kNone:
      // Deferred, since callbacks never run inside the call.
      QMetaObject::invokeMethod(
          &context, [done = wait.done] { done({}); }, Qt::QueuedConnection);
      return;
  }
}

void KindRelay::Builder::Impl::QueryStore(const LocalWait& wait,
                                          Duration max_wait) {
  store->WaitForChanges(
      wait.kind, wait.version, max_wait,
      [weak = weak_from_this(), wait](const KindChanges& changes) {
        if (const auto self = weak.lock()) self->OnStoreResult(wait, changes);
      });
}

void KindRelay::Builder::Impl::OnStoreResult(const LocalWait& wait,
                                             const KindChanges& changes) {
  if (auto* state = Find(wait.kind)) {
    const bool is_available = changes.status != StoreStatus::kUnavailable;
    state->selector.OnStoreResult(is_available, MonotonicNow());
    const bool is_of_log = changes.version.era == state->log.version().era;
    if (changes.status == StoreStatus::kOk && is_of_log) {
      state->store_contact_at = MonotonicNow();
      std::vector<EncodedChange> encoded;
      for (const auto& change : changes.changes) {
        encoded.push_back(EncodeChange(change));
      }
      state->log.ApplyChanges(changes.version, encoded);
      RespondToUpdated(state);
    }
  }
  wait.done(changes);
}

void KindRelay::Builder::Impl::QueryDaemon(const Endpoint& daemon,
                                           const LocalWait& wait) {
  const auto max_wait = std::min(wait.wait, kMaxWait);
  const RelayRequest request{wait.kind, wait.version, max_wait};
  call_peer(daemon, request.Encode(), max_wait + kResponseMargin,
            [weak = weak_from_this(), daemon, wait](PeerStatus status,
                                                    const QByteArray& bytes) {
              const auto self = weak.lock();
              if (self) self->OnDaemonResult(daemon, wait, status, bytes);
            });
}

std::optional<RelayResponse> KindRelay::Builder::Impl::DecodeUsable(
    const KindState& state, PeerStatus status, const QByteArray& bytes) {
  if (status != PeerStatus::kOk || bytes.isEmpty()) return std::nullopt;
  const auto decoded = Capture([&] { return RelayResponse::Decode(bytes); });
  if (const auto* error = std::get_if<Error>(&decoded)) {
    if (log != nullptr) {
      log->Write("relay-answer-bad", {{"reason", Text(error->message)}});
    }
    return std::nullopt;
  }
  const auto& response = std::get<RelayResponse>(decoded);
  // A source that tells no era may hold what a returned store does not.
  if (has_returned && !response.version.era) return std::nullopt;
  const auto& max_staleness = state.kind.max_staleness;
  if (max_staleness && response.available &&
      response.store_contact_age > *max_staleness) {
    return std::nullopt;
  }
  return response;
}

void KindRelay::Builder::Impl::OnDaemonResult(const Endpoint& daemon,
                                              const LocalWait& wait,
                                              PeerStatus status,
                                              const QByteArray& bytes) {
  auto* state = Find(wait.kind);
  const auto response = DecodeUsable(*state, status, bytes);
  state->selector.OnDaemonResult(daemon, response.has_value(), MonotonicNow());
  if (!response) {
    LogSourceEvent(daemon, wait.kind, "source-lost");
    auto next = wait;
    next.tried.insert(daemon);
    return QueryNextSource(next);
  }
  const auto told = response->version.Within(wait.version.era).era;
  if (era != nullptr) era->Observe(told);
  if (std::max(told, LatestEra(*state)) > wait.version.era) {
    return wait.done({StoreStatus::kHistoryGone, {told, 0}, {}});
  }
  // The log of the source does not reach back to the version, or not yet to its
  // era: reads the store once, without waiting.
  if (!response->available || told < wait.version.era) {
    return QueryStore(wait, Duration(0));
  }
  ApplyResponse(wait, *response);
}

void KindRelay::Builder::Impl::ApplyResponse(const LocalWait& wait,
                                             const RelayResponse& response) {
  const auto version = response.version.Within(wait.version.era);
  KindChanges changes{StoreStatus::kOk, version, {}};
  changes.is_direct = false;
  for (const auto& encoded : response.changes) {
    const auto decoded = Capture([&] { return DecodeChange(encoded); });
    if (const auto* error = std::get_if<Error>(&decoded)) {
      if (log != nullptr) {
        log->Write("relay-answer-bad", {{"object", Text(encoded.name)},
                                        {"reason", Text(error->message)}});
      }
      return QueryStore(wait, Duration(0));
    }
    changes.changes.push_back(std::get<KindChange>(decoded));
  }
  auto* state = Find(wait.kind);
  state->store_contact_at = MonotonicNow() - response.store_contact_age;
  state->log.ApplyChanges(version, response.changes);
  RespondToUpdated(state);
  wait.done(changes);
}

bool KindRelay::Builder::Impl::IsAnswerable(const KindState& state,
                                            const RelayVersion& version) const {
  const auto log_era = state.log.version().era;
  const auto latest_era = LatestEra(state);
  const auto requested = version.Within(latest_era);
  if (state.log.IsEmpty() || requested.era < latest_era) return true;
  // The list of the requested era is on its way.
  if (requested.era > log_era) return false;
  return !state.log.Covers(requested) || state.log.HasChangesSince(requested);
}

std::optional<std::vector<EncodedChange>>
KindRelay::Builder::Impl::ChangesSince(const KindState& state,
                                       const RelayVersion& version) const {
  const bool is_obsolete = state.log.version().era < LatestEra(state);
  if (!state.store_contact_at || is_obsolete) return std::nullopt;
  // Within an era a reader may be ahead of the log. Without one, its revision
  // may be of an era that is over.
  const bool is_of_earlier_era =
      !version.era && version.revision > state.log.version().revision;
  if (is_of_earlier_era) return std::nullopt;
  return state.log.ChangesSince(version.Within(LatestEra(state)));
}

void KindRelay::Builder::Impl::Respond(const KindState& state,
                                       const PendingRequest& request) const {
  RelayResponse response;
  response.version = StoreVersion{LatestEra(state), 0};
  auto changes = ChangesSince(state, request.version);
  response.available = changes.has_value();
  if (response.available) {
    response.version.revision =
        std::max(state.log.version().revision, request.version.revision);
    response.store_contact_age =
        std::max(MonotonicNow() - *state.store_contact_at, Duration(0));
    response.changes = std::move(*changes);
  }
  request.reply(response.Encode());
}

void KindRelay::Builder::Impl::RespondToUpdated(KindState* state) {
  for (auto request = state->pending_requests.begin();
       request != state->pending_requests.end();) {
    if (!IsAnswerable(*state, request->version)) {
      ++request;
      continue;
    }
    Respond(*state, *request);
    request = state->pending_requests.erase(request);
  }
}

void KindRelay::Builder::Impl::RefreshStoreContact(KindState* state) {
  const bool is_recent =
      state->store_contact_at &&
      MonotonicNow() - *state->store_contact_at < kStoreContactInterval;
  const bool reads_store =
      sources.empty() && state->kind.max_staleness.has_value();
  if (is_recent || !reads_store || state->log.IsEmpty()) return;
  if (std::exchange(state->is_refreshing, true)) return;
  QueryStore({state->kind.name, state->log.version(), Duration(0),
              [weak = weak_from_this(), state](const KindChanges&) {
                if (!weak.expired()) state->is_refreshing = false;
              }},
             Duration(0));
}

Duration KindRelay::Builder::Impl::ListDelay(const KindState& state) const {
  const bool is_after_return =
      !state.log.IsEmpty() && state.log.version().era < LatestEra(state);
  if (sources.empty() || !is_after_return) return Duration(0);
  return Duration(QRandomGenerator::global()->bounded(
      static_cast<int>(kListSpread.count())));
}

void KindRelay::Builder::Impl::ListNow(
    const std::string& kind, const std::function<void(KindListing)>& done) {
  store->List(
      kind, [weak = weak_from_this(), kind, done](const KindListing& listing) {
        const auto self = weak.lock();
        if (!self) return;
        auto* state = self->Find(kind);
        if (state != nullptr && listing.status == StoreStatus::kOk) {
          state->store_contact_at = MonotonicNow();
          std::vector<EncodedChange> objects;
          for (const auto& object : listing.objects) {
            objects.push_back(EncodeChange({object, false}));
          }
          state->log.ApplySnapshot(listing.version, objects);
          self->RespondToUpdated(state);
        }
        done(listing);
      });
}

KindRelay::Builder::Builder(KindStore* store)
    : impl_(std::make_shared<Impl>()) {
  impl_->store = store;
}

KindRelay::Builder::~Builder() = default;

KindRelay::Builder& KindRelay::Builder::Kind(KindRelay::Kind kind) {
  const auto name = kind.name;
  impl_->kinds[name].kind = std::move(kind);
  return *this;
}

KindRelay::Builder& KindRelay::Builder::Peers(CallPeer call) {
  impl_->call_peer = std::move(call);
  return *this;
}

KindRelay::Builder& KindRelay::Builder::Log(EventLog* log) {
  impl_->log = log;
  return *this;
}

KindRelay::Builder& KindRelay::Builder::Era(StoreEra* era) {
  impl_->era = era;
  return *this;
}

std::unique_ptr<KindRelay> KindRelay::Builder::Build() {
  if (impl_->era != nullptr) {
    impl_->era->AddHandler(
        [weak = std::weak_ptr(impl_)](std::int64_t, std::int64_t) {
          if (const auto self = weak.lock()) self->OnEraRise();
        });
  }
  return std::unique_ptr<KindRelay>(new KindRelay(std::move(impl_)));
}

KindRelay::KindRelay(std::shared_ptr<Builder::Impl> impl)
    : impl_(std::move(impl)) {}

KindRelay::~KindRelay() = default;

void KindRelay::SetSources(const std::vector<Endpoint>& sources) {
  if (sources == impl_->sources) return;
  impl_->sources = sources;
  for (auto& [name, state] : impl_->kinds) state.selector.SetSources(sources);
  if (impl_->log == nullptr) return;
  impl_->log->Write(
      "reads-from",
      {{"source", Text(sources.empty() ? "store" : sources[0].ToString())},
       {"other", Text(sources.size() > 1 ? sources[1].ToString() : "")}});
}

std::optional<Duration> KindRelay::StoreContactAge(
    const std::string& kind) const {
  const auto* state = impl_->Find(kind);
  if (state == nullptr || !state->store_contact_at) return std::nullopt;
  return MonotonicNow() - *state->store_contact_at;
}

void KindRelay::Serve(const QByteArray& request, const PeerNode::Reply& reply) {
  const auto decoded = Capture([&] { return RelayRequest::Decode(request); });
  const auto* error = std::get_if<Error>(&decoded);
  auto* state = error == nullptr
                    ? impl_->Find(std::get<RelayRequest>(decoded).kind)
                    : nullptr;
  if (state == nullptr ||
      state->pending_requests.size() >= kMaxPendingRequests) {
    if (impl_->log != nullptr) {
      impl_->log->Write(
          "relay-ask-refused",
          {{"reason", Text(error != nullptr   ? error->message
                           : state == nullptr ? "unknown kind"
                                              : "too many pending requests")}});
    }
    return reply({});
  }
  const auto& relay_request = std::get<RelayRequest>(decoded);
  const auto& requested_era = relay_request.version.era;
  if (impl_->era != nullptr && requested_era) {
    impl_->era->Observe(*requested_era);
  }
  impl_->RefreshStoreContact(state);
  const Builder::Impl::PendingRequest pending_request{
      impl_->next_request_id++, relay_request.version, reply};
  if (impl_->IsAnswerable(*state, relay_request.version)) {
    return impl_->Respond(*state, pending_request);
  }
  state->pending_requests.push_back(pending_request);
  const auto wait = std::min(relay_request.wait, kMaxWait);
  QTimer::singleShot(
      wait, &impl_->context,
      [impl = impl_.get(), state, id = pending_request.id] {
        const auto waiting = std::find_if(
            state->pending_requests.begin(), state->pending_requests.end(),
            [id](const auto& pending) { return pending.id == id; });
        if (waiting == state->pending_requests.end()) return;
        impl->Respond(*state, *waiting);
        state->pending_requests.erase(waiting);
      });
}

void KindRelay::List(const std::string& kind,
                     std::function<void(KindListing)> done) {
  const auto* state = impl_->Find(kind);
  const auto delay = state == nullptr ? Duration(0) : impl_->ListDelay(*state);
  if (delay == Duration(0)) return impl_->ListNow(kind, done);
  QTimer::singleShot(delay, &impl_->context,
                     [impl = impl_.get(), kind, done = std::move(done)] {
                       impl->ListNow(kind, done);
                     });
}

void KindRelay::WaitForChanges(const std::string& kind, StoreVersion version,
                               Duration wait,
                               std::function<void(KindChanges)> done) {
  const Builder::Impl::LocalWait local_wait{kind, version, wait,
                                            std::move(done)};
  const auto* state = impl_->Find(kind);
  const auto latest_era = state == nullptr ? 0 : impl_->LatestEra(*state);
  if (version.era < latest_era) {
    QMetaObject::invokeMethod(
        &impl_->context,
        [done = local_wait.done, latest_era] {
          done({StoreStatus::kHistoryGone, {latest_era, 0}, {}});
        },
        Qt::QueuedConnection);
    return;
  }
  // A call with no wait checks that nothing has changed; only the store itself
  // can confirm that.
  if (wait == Duration(0)) return impl_->QueryStore(local_wait, wait);
  impl_->QueryNextSource(local_wait);
}

}  // namespace firmoor
