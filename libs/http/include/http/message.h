#ifndef FIRMOOR_HTTP_MESSAGE_H_
#define FIRMOOR_HTTP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace firmoor {

/// One header line. Names compare without regard to case in lookups.
struct HttpHeader {
  std::string name;
  std::string value;

  bool operator==(const HttpHeader&) const = default;
};

/// Header lines in the order of the message.
using HttpHeaders = std::vector<HttpHeader>;

/// Value of the first header `name`, or an empty view.
std::string_view HeaderValue(const HttpHeaders& headers, std::string_view name);

/// Whether `a` and `b` are equal without regard to ASCII case.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

/// A whole HTTP/1.1 request.
struct HttpRequest {
  std::string method;
  std::string target;  ///< Path and query, as sent.
  HttpHeaders headers;
  std::string body;

  /// The target without its query.
  [[nodiscard]] std::string_view Path() const;

  /// Value of the query parameter `name` with percent-encoding removed, or
  /// an empty string.
  [[nodiscard]] std::string QueryValue(std::string_view name) const;

  bool operator==(const HttpRequest&) const = default;
};

/// A whole HTTP/1.1 answer.
struct HttpResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;

  bool operator==(const HttpResponse&) const = default;
};

/// An IP number and a port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  /// "address:port".
  [[nodiscard]] std::string ToString() const;

  /// Parses "address:port"; an endpoint with port 0 when malformed.
  static Endpoint Parse(std::string_view text);

  auto operator<=>(const Endpoint&) const = default;
};

/// Whether a header belongs to one connection and must not be passed on.
bool IsHopByHopHeader(std::string_view name);

}  // namespace firmoor

#endif  // FIRMOOR_HTTP_MESSAGE_H_
