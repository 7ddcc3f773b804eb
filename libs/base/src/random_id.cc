#include "base/random_id.h"

#include <fmt/format.h>

#include <QRandomGenerator>

namespace firmoor {

std::string NewRandomId() {
  auto* source = QRandomGenerator::system();
  return fmt::format("{:08x}{:016x}", source->generate(), source->generate64());
}

}  // namespace firmoor
