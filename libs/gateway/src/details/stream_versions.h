#ifndef FIRMOOR_GATEWAY_DETAILS_STREAM_VERSIONS_H_
#define FIRMOOR_GATEWAY_DETAILS_STREAM_VERSIONS_H_

#include <QByteArray>
#include <QObject>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/event_log.h"
#include "base/time.h"
#include "gateway/peer_directory_messages.h"
#include "resumption/record_confirmation.h"
#include "resumption/stream_version_book.h"
#include "routing/upstream_catalog.h"

namespace firmoor::details {

/// Knows which software version began which stream, with the help of the other
/// daemons, so that streams go on only at the version that began them.
///
/// While a service has several versions, each stream's version is given to a
/// few daemons that are chosen by a hash of the stream's id, before its first
/// event is forwarded. A daemon at which a caller resumes a stream asks them.
/// Runs in the event loop.
class StreamVersions {
 public:
  /// What was found out about a resumed stream.
  struct Resolution {
    VersionDecision decision;
    VersionView view;
    LookupResult lookup;
    Duration record_age{0};
    Duration duration{0};  ///< Of the lookup.
    std::string key;       ///< Of the stream; see `StreamKey`.
    Duration stated{0};    ///< Time for which the caller says it still waits.
    /// The stream was taken to have begun no earlier than this long ago.
    Duration horizon{0};
    std::string holders;  ///< Daemons that were asked.
  };
  using Done = std::function<void(const Resolution&)>;

  /// `store_contact_age`: time since this daemon was last in contact with the
  /// platform's store, directly or through others.
  StreamVersions(
      std::string daemon, EventLog* log, TimePoint started_at,
      std::function<std::optional<Duration>(TimePoint)> store_contact_age);

  void SetPeerCall(PeerCall call) { call_peer_ = std::move(call); }
  void ExtendMaxStreamTime(Duration time) { book_.ExtendMaxStreamTime(time); }
  /// The list of upstreams has changed or was confirmed.
  void OnCatalog(const UpstreamCatalog& catalog, TimePoint now);
  void OnCatalogConfirmed(TimePoint now) { book_.OnCatalogConfirmed(now); }
  void OnCatalogOutage() { book_.OnCatalogOutage(); }

  /// What became of the record of a stream that begins; see
  /// `RecordConfirmation`.
  using Recorded = std::function<void(RecordConfirmation::State)>;
  /// Records the version that began a stream, or with which it goes on. The
  /// first event may be forwarded once `done`, which may be empty, has run with
  /// `kMade`, also within this call. Returns the daemons that are told, for the
  /// log.
  std::string Record(const StreamRecord& record, Recorded done);
  /// The version at which streams are to begin while no other daemon takes
  /// records; empty if any will do.
  [[nodiscard]] std::string VersionToBegin(const std::string& service) const;
  /// See `StreamVersionBook::RecordLifetime`.
  [[nodiscard]] Duration RecordLifetime(Duration time, Duration elapsed) const {
    return book_.RecordLifetime(time, elapsed);
  }
  /// Finds the version of a stream that another daemon may have begun; see
  /// `StreamVersionBook::StartLookup`. `done` may run within this call.
  void Resolve(const std::string& key, const std::string& service,
               Duration stated_time, Done done);

  /// Logs what was found out about `stream`, which `request` resumes.
  void LogResolution(const std::string& request, const std::string& stream,
                     const std::string& service,
                     const Resolution& resolution) const;

  /// Serves another daemon's call; empty if `kind` is not one of this class.
  std::optional<QByteArray> Serve(std::string_view kind,
                                  const QByteArray& message);
  /// The daemon is about to stop: passes on the records that it holds, and all
  /// that it still gets.
  void StartHandOver();

  [[nodiscard]] const PeerDirectory& directory() const {
    return book_.directory();
  }
  [[nodiscard]] DirectoryPosition directory_position() const {
    return directory_position_;
  }
  void ApplyDirectory(const DirectoryUpdate& update);

  /// Counters and gauges in the Prometheus text format.
  [[nodiscard]] std::string Metrics() const;

 private:
  struct Lookup;
  struct Placement;

  /// The present time, up to which the contact to the store is recorded.
  TimePoint SyncStoreContact();
  void Send(const StreamVersionBook::Deliveries& deliveries,
            const std::function<void(bool is_taken)>& on_result = nullptr);
  /// Repeats the delivery if it fails, up to `repeats` times.
  void Send(const RecordDelivery& delivery, int repeats,
            const std::function<void(bool is_taken)>& on_result);
  void Place(const std::shared_ptr<Placement>& placement,
             const StreamVersionBook::Deliveries& deliveries);
  /// Ends the wait for the holders of a record, or has others hold it.
  void CheckPlacement(const std::shared_ptr<Placement>& placement);
  void LogPlacement(const Placement& placement, TimePoint now) const;
  void AskHolders(const std::shared_ptr<Lookup>& lookup);
  void OnReply(const std::shared_ptr<Lookup>& lookup, PeerStatus status,
               const QByteArray& bytes);
  void Finish(const std::shared_ptr<Lookup>& lookup);
  void LogUndelivered(const RecordDelivery& delivery, PeerStatus status) const;
  QByteArray ServeQuery(const QByteArray& message);
  void StoreRecords(const QByteArray& message);
  void LogBadMessage(const Error& error) const;

  EventLog* log_;
  std::function<std::optional<Duration>(TimePoint)> store_contact_age_;
  PeerCall call_peer_;
  StreamVersionBook book_;
  DirectoryPosition directory_position_;
  std::uint64_t records_sent_ = 0;
  std::uint64_t records_undelivered_ = 0;
  std::uint64_t records_received_ = 0;
  std::uint64_t records_lost_ = 0;
  /// A record was lost, and no other daemon has taken one since.
  bool is_cut_off_ = false;
  std::map<VersionSource, std::uint64_t> resolved_;
  QObject timer_context_;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_STREAM_VERSIONS_H_
