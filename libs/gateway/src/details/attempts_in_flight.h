#ifndef FIRMOOR_GATEWAY_DETAILS_ATTEMPTS_IN_FLIGHT_H_
#define FIRMOOR_GATEWAY_DETAILS_ATTEMPTS_IN_FLIGHT_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "details/upstream_attempt.h"
#include "reachability/peer_selector.h"

namespace firmoor::details {

/// An attempt through another daemon.
struct DelegatedAttempt {
  PeerAddress peer;
  std::unique_ptr<PeerStream> stream;
  TimePoint sent_at;
  TimePoint last_message_at;  ///< `sent_at` before the first message.
  bool accepted = false;
  bool is_silent = false;
  std::optional<HttpResponse> head;  ///< Of a stream that has started.
  std::string version;               ///< Which wrote the stream.
  EventRelay relay;
};

/// An order to move a request to another engine, until it is answered.
struct PendingMove {
  int attempt = 0;  ///< Number of the attempt at the source.
  std::unique_ptr<HttpCall> call;
  std::optional<HttpCallEnd> end;  ///< Of the source's stream meanwhile.
  bool is_silent = false;          ///< Not answered in time.
};

/// The upstream that wrote the last event of a stream.
struct StreamWriter {
  UpstreamEntry upstream;
  TimePoint sent_at;
};

/// Attempts of one request that have not ended, by the numbers that
/// `AttemptRace` gave them.
class AttemptsInFlight {
 public:
  void Add(std::shared_ptr<UpstreamAttempt> attempt);
  void Add(int number, DelegatedAttempt attempt);

  /// Null if there is none.
  [[nodiscard]] std::shared_ptr<UpstreamAttempt> Find(int number) const;
  [[nodiscard]] DelegatedAttempt* FindDelegated(int number);
  [[nodiscard]] bool HasAttemptAt(const std::string& upstream) const;
  /// Removes, cancels and returns the attempt; null if it is not in flight.
  std::shared_ptr<UpstreamAttempt> Remove(int number);
  std::optional<DelegatedAttempt> RemoveDelegated(int number);

  /// Whether a part of the next event of any has arrived.
  [[nodiscard]] bool HasBegunEvent() const;

  /// Stops or resumes reading the attempts whose responses have begun.
  void SetPaused(bool paused);

  [[nodiscard]] const std::vector<std::shared_ptr<UpstreamAttempt>>& all()
      const {
    return attempts_;
  }
  /// Number of any delegated attempt; empty if there is none.
  [[nodiscard]] std::optional<int> AnyDelegated() const;
  /// Attempts whose upstream may have received the request from this daemon.
  [[nodiscard]] int SentToUpstreams() const;
  /// Whether an upstream may have received the request.
  [[nodiscard]] bool IsSent() const;
  /// The oldest attempt, else the last one that ended by itself; for logs.
  [[nodiscard]] const UpstreamAttempt* Shown() const;
  /// The attempts, and how many ms each has been silent.
  [[nodiscard]] std::string Describe(TimePoint now) const;

 private:
  std::vector<std::shared_ptr<UpstreamAttempt>> attempts_;
  std::map<int, DelegatedAttempt> delegated_;
  std::shared_ptr<UpstreamAttempt> last_ended_;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_ATTEMPTS_IN_FLIGHT_H_
