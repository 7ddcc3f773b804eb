#ifndef FIRMOOR_SERVING_TESTS_CLAIM_EXAMPLES_H_
#define FIRMOOR_SERVING_TESTS_CLAIM_EXAMPLES_H_

#include <string>

#include "serving/claim_slot.h"

namespace firmoor {

/// An open claim of `attempt` on `key`.
inline Claim MakeClaim(const std::string& key, const std::string& attempt,
                       const std::string& body = "body") {
  Claim claim;
  claim.key = key;
  claim.body = body;
  claim.attempt = attempt;
  claim.owner = "owner-of-" + attempt;
  return claim;
}

/// `claim` with a final state and an answer that names the attempt.
inline Claim EndClaim(Claim claim, ClaimState state) {
  claim.state = state;
  claim.status = 200;
  claim.answer = "answer of " + claim.attempt;
  claim.answer_kept = true;
  return claim;
}

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_TESTS_CLAIM_EXAMPLES_H_
