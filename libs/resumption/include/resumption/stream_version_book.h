#ifndef FIRMOOR_RESUMPTION_STREAM_VERSION_BOOK_H_
#define FIRMOOR_RESUMPTION_STREAM_VERSION_BOOK_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "resumption/peer_directory.h"
#include "resumption/record_confirmation.h"
#include "resumption/record_messages.h"
#include "resumption/stream_records.h"
#include "resumption/version_decision.h"
#include "resumption/version_history.h"
#include "resumption/version_lookup.h"

namespace firmoor {

/// Records for one daemon.
struct RecordDelivery {
  PeerAddress holder;
  RecordBatch batch;

  bool operator==(const RecordDelivery&) const = default;
};

/// What a daemon knows about which software version began which stream, which
/// daemons it tells and which it asks. Does no I/O.
class StreamVersionBook {
 public:
  using Deliveries = std::vector<RecordDelivery>;
  /// Listed software versions by service.
  using ListedVersions = std::map<std::string, std::set<std::string>>;

  StreamVersionBook(std::string daemon, TimePoint started_at);

  /// One request for a stream may last for this long. Only increases. All
  /// daemons have to know the same bound, as one may conclude from the lack of
  /// a record how another one treated it.
  void ExtendMaxStreamTime(Duration time);

  /// The list of upstreams has changed. The first sight of a second version
  /// sends the records of streams that began here before it.
  Deliveries OnCatalog(const ListedVersions& listed, TimePoint now);
  /// The directory has changed. Sends what had nobody to go to before.
  Deliveries OnDirectory(TimePoint now) { return SendUnsent(now); }
  void OnCatalogConfirmed(TimePoint now);
  /// The list of upstreams could not be read.
  void OnCatalogOutage() { catalog_has_failed_ = true; }
  /// The platform's store was in contact at `at`, directly or through others.
  /// While a call waits for changes of the list, this confirms that there are
  /// none.
  void OnStoreContact(TimePoint at);
  [[nodiscard]] VersionView ViewOf(const std::string& service, Duration horizon,
                                   TimePoint now) const;

  /// A stream begins or goes on here.
  Deliveries Record(const StreamRecord& record, TimePoint now);
  /// The record for daemons that follow its holders in rank, for when none of
  /// those takes it.
  [[nodiscard]] Deliveries ToSpares(const StreamRecord& record) const;
  /// How long a record has to be kept: `time` bounds the request that it is
  /// made in, which has run for `elapsed`.
  [[nodiscard]] Duration RecordLifetime(Duration time, Duration elapsed) const;
  /// How much depends on the record of a stream that begins now.
  [[nodiscard]] RecordConfirmation::Need NeedOfRecord(
      const std::string& service, const std::string& version,
      TimePoint now) const;
  /// The version whose streams other daemons resume correctly or refuse
  /// without a record; empty if there is none or more than one.
  [[nodiscard]] std::string VersionWithoutRecord(const std::string& service,
                                                 TimePoint now) const;
  /// Another daemon gives records.
  Deliveries Store(const RecordBatch& batch, TimePoint now);
  /// The daemon is about to stop: others get what it holds, and all that it
  /// still gets.
  Deliveries StartHandOver(TimePoint now);

  [[nodiscard]] RecordReply Answer(const RecordQuery& query,
                                   TimePoint now) const;
  /// `key` is empty if the caller does not name the stream.
  [[nodiscard]] VersionLookup StartLookup(const std::string& key,
                                          const std::string& service,
                                          TimePoint now) const;
  [[nodiscard]] VersionDecision Decide(const VersionLookup& lookup,
                                       TimePoint now) const;

  [[nodiscard]] PeerDirectory& directory() { return directory_; }
  [[nodiscard]] const PeerDirectory& directory() const { return directory_; }
  [[nodiscard]] const StreamRecords& records() const { return records_; }

 private:
  /// Streams that can be resumed began no earlier than this long ago.
  [[nodiscard]] Duration Horizon() const;
  /// Versions that have been listed for longer than any stream may last.
  [[nodiscard]] std::set<std::string> SettledVersions(
      const std::string& service, TimePoint now) const;
  [[nodiscard]] bool IsRecordNeeded(const std::string& service,
                                    TimePoint now) const;
  Deliveries SendUnsent(TimePoint now);
  [[nodiscard]] Deliveries ToHolders(
      const std::vector<StreamRecord>& records) const;
  [[nodiscard]] Deliveries PassOn(
      const std::vector<StreamRecord>& records) const;

  std::string daemon_;
  TimePoint started_at_;
  Duration max_stream_time_{0};
  std::map<std::string, VersionHistory> histories_;  ///< By service.
  TimePoint catalog_confirmed_at_;
  bool catalog_has_failed_ = false;  ///< Since it was confirmed.
  StreamRecords records_;
  PeerDirectory directory_;
  bool hands_over_ = false;
};

}  // namespace firmoor

#endif  // FIRMOOR_RESUMPTION_STREAM_VERSION_BOOK_H_
