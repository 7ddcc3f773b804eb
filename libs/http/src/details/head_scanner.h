#ifndef FIRMOOR_HTTP_DETAILS_HEAD_SCANNER_H_
#define FIRMOOR_HTTP_DETAILS_HEAD_SCANNER_H_

#include <cstddef>
#include <string_view>

namespace firmoor::details {

/// How the end of a message's body is known (RFC 9112, section 6.3).
enum class BodyFraming {
  kNone,    ///< No length: no body in a request; until the close in a response.
  kLength,  ///< One Content-Length.
  kChunked,  ///< `Transfer-Encoding: chunked` alone.
};

/// Scans the head of an HTTP/1 message before the parser sees it, and accepts
/// only the forms of framing that each recipient reads alike: no length, one
/// decimal Content-Length, or the coding `chunked` alone. Everything else, for
/// instance a coding that is not understood, two lengths, a folded line or a
/// line that does not end in CRLF, is invalid. Pure; each byte is scanned once,
/// however the bytes are cut into reads.
class HeadScanner {
 public:
  enum class Message { kRequest, kResponse };
  enum class Result { kIncomplete, kComplete, kInvalid };

  explicit HeadScanner(Message message) : message_(message) {}

  /// `bytes`: the message from its first byte, as far as it has arrived; later
  /// calls get the same bytes and those that follow.
  Result Scan(std::string_view bytes);

  /// Bytes of the scanned lines: of the whole head once it is complete.
  [[nodiscard]] std::size_t size() const { return line_start_; }
  /// Fields scanned so far.
  [[nodiscard]] std::size_t fields() const { return fields_; }
  /// Valid when the head is complete.
  [[nodiscard]] BodyFraming framing() const { return framing_; }

 private:
  [[nodiscard]] bool MayStartWith(std::string_view bytes) const;
  /// Returns false if the line is invalid.
  bool ScanLine(std::string_view line);
  bool ScanStartLine(std::string_view line);
  bool ScanField(std::string_view line);

  Message message_;
  Result result_ = Result::kIncomplete;
  BodyFraming framing_ = BodyFraming::kNone;
  std::size_t line_start_ = 0;
  std::size_t scanned_ = 0;
  std::size_t fields_ = 0;
  bool has_start_line_ = false;
  bool is_http_1_0_ = false;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_HTTP_DETAILS_HEAD_SCANNER_H_
