#ifndef FIRMOOR_HTTP_MESSAGE_H_
#define FIRMOOR_HTTP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace firmoor {

/// One header field. Lookups compare names case-insensitively.
struct HttpHeader {
  std::string name;
  std::string value;

  bool operator==(const HttpHeader&) const = default;
};

/// Header fields in message order.
using HttpHeaders = std::vector<HttpHeader>;

/// Returns the value of the first header `name`, or an empty view.
std::string_view HeaderValue(const HttpHeaders& headers, std::string_view name);

/// Compares `a` and `b`, ignoring ASCII case.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

/// A complete HTTP/1.1 request.
struct HttpRequest {
  std::string method;
  std::string target;  ///< Path and query, as sent.
  HttpHeaders headers;
  std::string body;

  /// The target without its query.
  [[nodiscard]] std::string_view Path() const;

  /// Returns the percent-decoded value of the query parameter `name`, or an
  /// empty string.
  [[nodiscard]] std::string QueryValue(std::string_view name) const;

  bool operator==(const HttpRequest&) const = default;
};

/// A complete HTTP/1.1 response.
struct HttpResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;

  bool operator==(const HttpResponse&) const = default;
};

/// An IP address and a port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  /// "address:port".
  [[nodiscard]] std::string ToString() const;

  /// Parses "address:port". Returns an endpoint with port 0 when malformed.
  static Endpoint Parse(std::string_view text);

  auto operator<=>(const Endpoint&) const = default;
};

/// Whether a header applies to a single connection or message framing and must
/// not be forwarded.
bool IsHopByHopHeader(std::string_view name);

}  // namespace firmoor

#endif  // FIRMOOR_HTTP_MESSAGE_H_
