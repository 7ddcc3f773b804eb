#ifndef FIRMOOR_BASE_RANDOM_ID_H_
#define FIRMOOR_BASE_RANDOM_ID_H_

#include <string>

namespace firmoor {

/// Returns a random identifier of 24 hexadecimal digits (96 bits) from the
/// operating system's random source. For adapters only.
std::string NewRandomId();

}  // namespace firmoor

#endif  // FIRMOOR_BASE_RANDOM_ID_H_
