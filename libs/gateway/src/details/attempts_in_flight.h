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
  /// Removes and returns the attempt, which has ended; null if it is not in
  /// flight.
  std::shared_ptr<UpstreamAttempt> Remove(int number);
  /// The same for an attempt that was overtaken and is not shown in logs.
  std::shared_ptr<UpstreamAttempt> RemoveOvertaken(int number);
  std::optional<DelegatedAttempt> RemoveDelegated(int number);

  [[nodiscard]] const std::vector<std::shared_ptr<UpstreamAttempt>>& all()
      const {
    return attempts_;
  }
  /// Number of any delegated attempt; empty if there is none.
  [[nodiscard]] std::optional<int> AnyDelegated() const;
  /// Whether an upstream may have received the request from this daemon.
  [[nodiscard]] bool IsSentToUpstream() const;
  /// Whether an upstream may have received the request.
  [[nodiscard]] bool IsSent() const;
  /// The oldest attempt, else the last one that has ended; for logs.
  [[nodiscard]] const UpstreamAttempt* Shown() const;
  /// The attempts, and how many ms each has been silent.
  [[nodiscard]] std::string Describe(TimePoint now) const;

 private:
  std::vector<std::shared_ptr<UpstreamAttempt>> attempts_;
  std::map<int, DelegatedAttempt> delegated_;
  std::shared_ptr<UpstreamAttempt> last_removed_;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_ATTEMPTS_IN_FLIGHT_H_
