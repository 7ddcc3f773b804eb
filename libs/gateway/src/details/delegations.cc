#include "details/delegations.h"

#include <fmt/format.h>

#include <utility>

namespace firmoor::details {
namespace {

// Bounds on what is held for other daemons, well below a daemon's memory. More
// is better served by another daemon.
constexpr std::size_t kMaxTaken = 512;
constexpr std::size_t kMaxTakenBytes = 32 * 1024 * 1024;

}  // namespace

std::unique_ptr<PeerStream> Delegations::Open(const PeerAddress& peer,
                                              const DelegatedRequest& request,
                                              PeerStream::Handlers handlers) {
  if (!open_) return nullptr;
  ++counters_.sent;
  peers_.OnSend(peer.daemon);
  return open_(peer.endpoint, kDelegationKind, request.Encode(),
               std::move(handlers));
}

void Delegations::OnAccepted(const PeerAddress& peer,
                             const std::string& service, Duration delay) {
  ++counters_.accepted;
  counters_.accept_delay_ms += static_cast<std::uint64_t>(delay.count());
  peers_.OnAccepted(peer.daemon, service);
}

void Delegations::OnRefused(const PeerAddress& peer, const std::string& service,
                            PeerRefusal reason, TimePoint now) {
  ++counters_.refused;
  peers_.OnRefused(peer.daemon, service, reason, now);
}

bool Delegations::MayTake(std::size_t body_bytes) const {
  return taken_now_ < kMaxTaken && taken_bytes_ + body_bytes <= kMaxTakenBytes;
}

void Delegations::OnTaken(std::size_t body_bytes) {
  ++counters_.taken;
  ++taken_now_;
  taken_bytes_ += body_bytes;
}

void Delegations::OnTakenEnded(std::size_t body_bytes) {
  --taken_now_;
  taken_bytes_ -= body_bytes;
}

std::string Delegations::Metrics() const {
  return fmt::format(
      "firmoor_delegated_total {}\n"
      "firmoor_delegated_accepted_total {}\n"
      "firmoor_delegated_refused_total {}\n"
      "firmoor_delegated_accept_ms_total {}\n"
      "firmoor_delegations_taken_total {}\n"
      "firmoor_delegations_taken_refused_total {}\n"
      "firmoor_delegations_taken_now {}\n",
      counters_.sent, counters_.accepted, counters_.refused,
      counters_.accept_delay_ms, counters_.taken, counters_.take_refused,
      taken_now_);
}

}  // namespace firmoor::details
