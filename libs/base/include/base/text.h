#ifndef FIRMOOR_BASE_TEXT_H_
#define FIRMOOR_BASE_TEXT_H_

#include <QString>
#include <string_view>

namespace firmoor {

/// Converts UTF-8 text to a `QString`, for Qt's JSON and CBOR classes.
inline QString Text(std::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

}  // namespace firmoor

#endif  // FIRMOOR_BASE_TEXT_H_
