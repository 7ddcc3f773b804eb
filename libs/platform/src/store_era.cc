#include "platform/store_era.h"

namespace firmoor {

bool StoreEra::Observe(std::int64_t era) {
  if (era < 0 || era > kMax) return false;
  if (era_ && era <= *era_) return era == *era_;
  const auto earlier = era_;
  era_ = era;
  if (!earlier) return true;
  for (const auto& handler : handlers_) handler(*earlier, era);
  return true;
}

}  // namespace firmoor
