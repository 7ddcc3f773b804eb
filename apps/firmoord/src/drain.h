#ifndef FIRMOOR_FIRMOORD_DRAIN_H_
#define FIRMOOR_FIRMOORD_DRAIN_H_

#include <QTimer>
#include <functional>
#include <memory>
#include <vector>

#include "config/settings.h"
#include "fleet.h"
#include "http/http_server.h"
#include "serving/claim_store.h"
#include "serving/dispatcher.h"

namespace firmoor {

/// Shuts the daemon down gracefully: readiness fails, the listener closes,
/// callers that are connected are served until the hand-over starts, short
/// requests finish locally, and the remaining ones are handed over to a
/// peer, the nearest first. Callers whose requests are left at the end get an
/// error that tells whether their request may have run. A second stop request,
/// for example when the VM is reclaimed earlier than announced, starts the
/// hand-over at once.
class Drain {
 public:
  struct Parts {
    HttpServer* callers = nullptr;
    Dispatcher* dispatcher = nullptr;
    ClaimStore* claims = nullptr;
    Fleet* fleet = nullptr;
  };

  Drain(const Settings& settings, Parts parts,
        std::function<void()> on_finished);

  /// Starts draining. A second call starts the hand-over at once.
  void Start();
  [[nodiscard]] bool IsDraining() const { return has_started_; }

 private:
  void CloseListener();
  void Poll();
  void StartHandovers(bool include_attached);
  void OfferToNext(const std::shared_ptr<const RequestRecord>& record,
                   std::vector<Member> candidates);
  void Finish();
  void WaitForAnswers();

  Settings settings_;
  Parts parts_;
  std::function<void()> on_finished_;
  QTimer timer_;
  TimePoint deadline_;  ///< Of requests, a little before the process's.
  TimePoint handover_start_;
  TimePoint listener_closed_at_;
  TimePoint answers_due_;
  bool has_started_ = false;
  bool is_listener_closed_ = false;
  bool is_immediate_ = false;
  bool has_finished_ = false;
  int pending_offers_ = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_FIRMOORD_DRAIN_H_
