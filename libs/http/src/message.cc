#include "http/message.h"

#include <fmt/format.h>

#include <QHostAddress>
#include <QUrl>
#include <QUrlQuery>
#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace firmoor {

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return std::tolower(static_cast<unsigned char>(x)) ==
           std::tolower(static_cast<unsigned char>(y));
  });
}

std::string_view HeaderValue(const HttpHeaders& headers,
                             std::string_view name) {
  for (const auto& header : headers) {
    if (EqualsIgnoreCase(header.name, name)) return header.value;
  }
  return {};
}

std::string_view HttpRequest::Path() const {
  const std::string_view full_target = target;
  return full_target.substr(0, full_target.find('?'));
}

std::string HttpRequest::QueryValue(std::string_view name) const {
  const QUrl url = QUrl::fromEncoded(QByteArray::fromStdString(target));
  const QUrlQuery query(url);
  return query
      .queryItemValue(
          QString::fromUtf8(name.data(), static_cast<qsizetype>(name.size())),
          QUrl::FullyDecoded)
      .toStdString();
}

std::string Endpoint::ToString() const {
  return fmt::format("{}:{}", address, port);
}

Endpoint Endpoint::Parse(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return {};
  const std::string address(text.substr(0, colon));
  const auto digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, port);
  const bool is_number = parsed.ec == std::errc() && parsed.ptr == end;
  if (!is_number || QHostAddress(QString::fromStdString(address)).isNull()) {
    return {};
  }
  return {address, port};
}

bool IsHopByHopHeader(std::string_view name) {
  static constexpr std::array<std::string_view, 10> kNames = {
      "connection", "keep-alive",    "proxy-connection", "te",
      "trailer",    "upgrade",       "expect",           "transfer-encoding",
      "host",       "content-length"};
  return std::any_of(kNames.begin(), kNames.end(), [name](auto known) {
    return EqualsIgnoreCase(known, name);
  });
}

}  // namespace firmoor
