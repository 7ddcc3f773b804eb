#include "base/text.h"
#include "details/exchange.h"

namespace firmoor::details {

void Exchange::LogAttempt(const AttemptEnd& end,
                          const AttemptDecision& decision) const {
  context_->environment.log->Write(
      "attempt-failed",
      {{"request", Text(request_.id)},
       {"upstream", Text(attempt_.upstream.id)},
       {"end", Text(NameOf(end.end))},
       {"status", attempt_.head ? attempt_.head->status : 0},
       {"may_have_left", end.may_have_been_sent},
       {"declared_not_run", end.declared_not_run},
       {"attempt_ms",
        static_cast<qint64>((MonotonicNow() - attempt_.sent_at).count())},
       {"budget", context_->BudgetOf(service_).available()},
       {"born_ms", static_cast<qint64>(attempt_.upstream.born_ms)},
       {"suspects", Text(HashList(suspects_))},
       {"next", Text(NameOf(decision.step))},
       {"outcome", Text(NameOf(decision.outcome))}});
}

}  // namespace firmoor::details
