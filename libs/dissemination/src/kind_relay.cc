#include "dissemination/kind_relay.h"

#include <QTimer>
#include <algorithm>
#include <list>
#include <map>
#include <utility>

#include "base/text.h"
#include "dissemination/change_log.h"
#include "dissemination/relay_messages.h"
#include "dissemination/source_selector.h"

namespace firmoor {
namespace {

using Done = std::function<void(KindChanges)>;

// Longest wait at another daemon: what is available of the store is at most
// this much older at each step of the tree.
constexpr Duration kRelayWait{500};
// Beyond it for the answer: two ways between zones and a busy daemon.
constexpr Duration kAnswerReserve{400};
// A daemon that others read from asks the store anew when it has not heard of
// it for so long, so that its silence tells them that it lost the store.
constexpr Duration kHeardLately{700};
// Waits of others that are kept; above the fan-out of the tree, for the time
// in which those below a lost daemon come as well.
constexpr std::size_t kMostAskers = 32;
// Removed objects remembered: more than a fleet loses in some minutes.
constexpr std::size_t kRemovalsKept = 1'024;

}  // namespace

struct KindRelay::Builder::Impl
    : std::enable_shared_from_this<KindRelay::Builder::Impl> {
  struct Asker {
    std::uint64_t number = 0;
    std::int64_t revision = 0;
    PeerNode::Reply reply;
  };
  struct Relayed {
    KindRelay::Kind kind;
    ChangeLog log{kRemovalsKept};
    SourceSelector plan;
    std::optional<TimePoint> heard_at;  ///< Of the store, through any daemon.
    bool refreshing = false;            ///< Asks whether the store is there.
    std::list<Asker> askers;
  };
  /// A wait of this daemon.
  struct Wait {
    std::string kind;
    std::int64_t revision = 0;
    Duration wait{0};
    Done done;
  };

  KindStore* store = nullptr;
  CallPeer call_peer;
  EventLog* log = nullptr;
  std::map<std::string, Relayed> kinds;
  std::vector<Endpoint> sources;
  std::uint64_t next_asker = 1;
  QObject context;

  Relayed* Find(const std::string& kind);
  void AskNext(const Wait& wait);
  void AskStore(const Wait& wait, Duration time);
  void AskDaemon(const Endpoint& daemon, const Wait& wait);
  void OnStoreResult(const Wait& wait, const KindChanges& changes);
  void OnDaemonResult(const Endpoint& daemon, const Wait& wait,
                      PeerStatus status, const QByteArray& bytes);
  [[nodiscard]] std::optional<RelayResponse> Usable(const Relayed& relayed,
                                                    PeerStatus status,
                                                    const QByteArray& bytes);
  void TakeAnswer(const Wait& wait, const RelayResponse& answer);
  void Answer(const Relayed& relayed, const Asker& asker) const;
  void AnswerAll(Relayed* relayed);
  /// Asks the store for those that read from this daemon, when it was not heard
  /// of lately.
  void Refresh(Relayed* relayed);
  void LogSource(const Endpoint& daemon, const std::string& kind,
                 const char* event) const;
};

KindRelay::Builder::Impl::Relayed* KindRelay::Builder::Impl::Find(
    const std::string& kind) {
  const auto found = kinds.find(kind);
  return found == kinds.end() ? nullptr : &found->second;
}

void KindRelay::Builder::Impl::LogSource(const Endpoint& daemon,
                                         const std::string& kind,
                                         const char* event) const {
  if (log == nullptr) return;
  log->Write(event,
             {{"source", Text(daemon.ToString())}, {"kind", Text(kind)}});
}

void KindRelay::Builder::Impl::AskNext(const Wait& wait) {
  auto* relayed = Find(wait.kind);
  const auto now = MonotonicNow();
  const auto choice =
      relayed == nullptr ? SourceSelector::Choice{} : relayed->plan.Next(now);
  switch (choice.place) {
    case SourceSelector::Place::kDaemon:
      return AskDaemon(choice.daemon, wait);
    case SourceSelector::Place::kStore:
      // Not for long where other daemons may be asked again soon.
      return AskStore(
          wait, sources.empty() ? wait.wait : std::min(wait.wait, kRelayWait));
    case SourceSelector::Place::kNone:
      // Answered later, as all calls are.
      QMetaObject::invokeMethod(
          &context, [done = wait.done] { done({}); }, Qt::QueuedConnection);
      return;
  }
}

void KindRelay::Builder::Impl::AskStore(const Wait& wait, Duration time) {
  store->WaitForChanges(
      wait.kind, wait.revision, time,
      [weak = weak_from_this(), wait](const KindChanges& changes) {
        if (const auto self = weak.lock()) self->OnStoreResult(wait, changes);
      });
}

void KindRelay::Builder::Impl::OnStoreResult(const Wait& wait,
                                             const KindChanges& changes) {
  if (auto* relayed = Find(wait.kind)) {
    const bool good = changes.status != StoreStatus::kUnavailable;
    relayed->plan.OnStoreResult(good, MonotonicNow());
    if (changes.status == StoreStatus::kOk) {
      relayed->heard_at = MonotonicNow();
      std::vector<EncodedChange> encoded;
      for (const auto& change : changes.changes) {
        encoded.push_back(EncodeChange(change));
      }
      relayed->log.ApplyChanges(changes.revision, encoded);
      AnswerAll(relayed);
    }
  }
  wait.done(changes);
}

void KindRelay::Builder::Impl::AskDaemon(const Endpoint& daemon,
                                         const Wait& wait) {
  const auto time = std::min(wait.wait, kRelayWait);
  const RelayRequest ask{wait.kind, wait.revision, time};
  call_peer(daemon, ask.Encode(), time + kAnswerReserve,
            [weak = weak_from_this(), daemon, wait](PeerStatus status,
                                                    const QByteArray& bytes) {
              const auto self = weak.lock();
              if (self) self->OnDaemonResult(daemon, wait, status, bytes);
            });
}

std::optional<RelayResponse> KindRelay::Builder::Impl::Usable(
    const Relayed& relayed, PeerStatus status, const QByteArray& bytes) {
  if (status != PeerStatus::kOk || bytes.isEmpty()) return std::nullopt;
  const auto decoded = Capture([&] { return RelayResponse::Decode(bytes); });
  if (const auto* error = std::get_if<Error>(&decoded)) {
    if (log != nullptr) {
      log->Write("relay-answer-bad", {{"reason", Text(error->message)}});
    }
    return std::nullopt;
  }
  const auto& answer = std::get<RelayResponse>(decoded);
  const auto& bound = relayed.kind.max_staleness;
  if (bound && answer.available && answer.store_contact_age > *bound)
    return std::nullopt;
  return answer;
}

void KindRelay::Builder::Impl::OnDaemonResult(const Endpoint& daemon,
                                              const Wait& wait,
                                              PeerStatus status,
                                              const QByteArray& bytes) {
  auto* relayed = Find(wait.kind);
  const auto answer = Usable(*relayed, status, bytes);
  relayed->plan.OnDaemonResult(daemon, answer.has_value(), MonotonicNow());
  if (!answer) {
    LogSource(daemon, wait.kind, "source-lost");
    return AskNext(wait);
  }
  // What is missing there is read from the store, once.
  if (!answer->available) return AskStore(wait, Duration(0));
  TakeAnswer(wait, *answer);
}

void KindRelay::Builder::Impl::TakeAnswer(const Wait& wait,
                                          const RelayResponse& answer) {
  KindChanges changes{StoreStatus::kOk, answer.revision, {}};
  changes.is_direct = false;
  for (const auto& encoded : answer.changes) {
    const auto decoded = Capture([&] { return DecodeChange(encoded); });
    if (const auto* error = std::get_if<Error>(&decoded)) {
      if (log != nullptr) {
        log->Write("relay-answer-bad", {{"object", Text(encoded.name)},
                                        {"reason", Text(error->message)}});
      }
      return AskStore(wait, Duration(0));
    }
    changes.changes.push_back(std::get<KindChange>(decoded));
  }
  auto* relayed = Find(wait.kind);
  relayed->heard_at = MonotonicNow() - answer.store_contact_age;
  relayed->log.ApplyChanges(answer.revision, answer.changes);
  AnswerAll(relayed);
  wait.done(changes);
}

void KindRelay::Builder::Impl::Answer(const Relayed& relayed,
                                      const Asker& asker) const {
  RelayResponse answer;
  auto changes = relayed.log.ChangesSince(asker.revision);
  answer.available = changes.has_value() && relayed.heard_at.has_value();
  if (answer.available) {
    answer.revision = std::max(relayed.log.revision(), asker.revision);
    answer.store_contact_age =
        std::max(MonotonicNow() - *relayed.heard_at, Duration(0));
    answer.changes = std::move(*changes);
  }
  asker.reply(answer.Encode());
}

void KindRelay::Builder::Impl::AnswerAll(Relayed* relayed) {
  for (auto asker = relayed->askers.begin(); asker != relayed->askers.end();) {
    if (!relayed->log.HasChangesSince(asker->revision)) {
      ++asker;
      continue;
    }
    Answer(*relayed, *asker);
    asker = relayed->askers.erase(asker);
  }
}

void KindRelay::Builder::Impl::Refresh(Relayed* relayed) {
  const bool lately =
      relayed->heard_at && MonotonicNow() - *relayed->heard_at < kHeardLately;
  const bool reads = sources.empty() && relayed->kind.max_staleness.has_value();
  if (lately || !reads || relayed->log.revision() == 0) return;
  if (std::exchange(relayed->refreshing, true)) return;
  AskStore({relayed->kind.name, relayed->log.revision(), Duration(0),
            [weak = weak_from_this(), relayed](const KindChanges&) {
              if (!weak.expired()) relayed->refreshing = false;
            }},
           Duration(0));
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

std::unique_ptr<KindRelay> KindRelay::Builder::Build() {
  return std::unique_ptr<KindRelay>(new KindRelay(std::move(impl_)));
}

KindRelay::KindRelay(std::shared_ptr<Builder::Impl> impl)
    : impl_(std::move(impl)) {}

KindRelay::~KindRelay() = default;

void KindRelay::SetSources(const std::vector<Endpoint>& sources) {
  if (sources == impl_->sources) return;
  impl_->sources = sources;
  for (auto& [name, relayed] : impl_->kinds) relayed.plan.SetSources(sources);
  if (impl_->log == nullptr) return;
  impl_->log->Write(
      "reads-from",
      {{"source", Text(sources.empty() ? "store" : sources[0].ToString())},
       {"other", Text(sources.size() > 1 ? sources[1].ToString() : "")}});
}

void KindRelay::Serve(const QByteArray& ask, const PeerNode::Reply& reply) {
  const auto decoded = Capture([&] { return RelayRequest::Decode(ask); });
  const auto* error = std::get_if<Error>(&decoded);
  auto* relayed = error == nullptr
                      ? impl_->Find(std::get<RelayRequest>(decoded).kind)
                      : nullptr;
  if (relayed == nullptr || relayed->askers.size() >= kMostAskers) {
    if (impl_->log != nullptr) {
      impl_->log->Write("relay-ask-refused",
                        {{"reason", Text(error != nullptr     ? error->message
                                         : relayed == nullptr ? "unknown kind"
                                                              : "too many")}});
    }
    return reply({});
  }
  const auto& wanted = std::get<RelayRequest>(decoded);
  impl_->Refresh(relayed);
  const Builder::Impl::Asker asker{impl_->next_asker++, wanted.revision, reply};
  const bool now = !relayed->log.Covers(wanted.revision) ||
                   relayed->log.HasChangesSince(wanted.revision);
  if (now) return impl_->Answer(*relayed, asker);
  relayed->askers.push_back(asker);
  const auto wait = std::min(wanted.wait, kRelayWait);
  QTimer::singleShot(
      wait, &impl_->context,
      [state = impl_.get(), relayed, number = asker.number] {
        const auto waiting = std::find_if(
            relayed->askers.begin(), relayed->askers.end(),
            [number](const auto& held) { return held.number == number; });
        if (waiting == relayed->askers.end()) return;
        state->Answer(*relayed, *waiting);
        relayed->askers.erase(waiting);
      });
}

void KindRelay::List(const std::string& kind,
                     std::function<void(KindListing)> done) {
  impl_->store->List(
      kind, [weak = std::weak_ptr(impl_), kind,
             done = std::move(done)](const KindListing& listing) {
        const auto self = weak.lock();
        if (!self) return;
        auto* relayed = self->Find(kind);
        if (relayed != nullptr && listing.status == StoreStatus::kOk) {
          relayed->heard_at = MonotonicNow();
          std::vector<EncodedChange> objects;
          for (const auto& object : listing.objects) {
            objects.push_back(EncodeChange({object, false}));
          }
          relayed->log.ApplySnapshot(listing.revision, objects);
          self->AnswerAll(relayed);
        }
        done(listing);
      });
}

void KindRelay::WaitForChanges(const std::string& kind, std::int64_t revision,
                               Duration wait,
                               std::function<void(KindChanges)> done) {
  const Builder::Impl::Wait asked{kind, revision, wait, std::move(done)};
  // Who does not wait wants a proof, which only the store gives.
  if (wait == Duration(0)) return impl_->AskStore(asked, wait);
  impl_->AskNext(asked);
}

}  // namespace firmoor
