#include "details/head_scanner.h"

#include <algorithm>

#include "http/message.h"

namespace firmoor::details {
namespace {

constexpr std::string_view kResponsePrefix = "HTTP/1.";
constexpr std::size_t kStatusAt = std::string_view("HTTP/1.1 ").size();
constexpr std::size_t kStatusDigits = 3;
// Digits of the largest length that fits into 64 bits with any value.
constexpr std::size_t kMaxLengthDigits = 19;

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

bool IsTokenChar(char c) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  const bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  return is_letter || IsDigit(c) || kSymbols.find(c) != std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenChar);
}

/// Without the white space that a field may have around its value.
std::string_view TrimValue(std::string_view value) {
  constexpr std::string_view kSpace = " \t";
  const auto first = value.find_first_not_of(kSpace);
  if (first == std::string_view::npos) return {};
  return value.substr(first, value.find_last_not_of(kSpace) - first + 1);
}

/// Whether the line has a status of three digits, from 100 to 599.
bool HasStatus(std::string_view status_line) {
  if (status_line.size() <= kStatusAt + kStatusDigits) return false;
  const auto status = status_line.substr(kStatusAt, kStatusDigits);
  return status_line[kStatusAt - 1] == ' ' && status[0] >= '1' &&
         status[0] <= '5' && IsDigit(status[1]) && IsDigit(status[2]) &&
         status_line[kStatusAt + kStatusDigits] == ' ';
}

bool IsLength(std::string_view value) {
  return !value.empty() && value.size() <= kMaxLengthDigits &&
         std::all_of(value.begin(), value.end(), IsDigit);
}

}  // namespace

HeadScanner::Result HeadScanner::Scan(std::string_view bytes) {
  if (result_ == Result::kIncomplete && !MayStartWith(bytes)) {
    result_ = Result::kInvalid;
  }
  while (result_ == Result::kIncomplete) {
    const auto end = bytes.find('\n', scanned_);
    if (end == std::string_view::npos) {
      scanned_ = bytes.size();
      break;
    }
    const auto line = bytes.substr(line_start_, end - line_start_);
    scanned_ = end + 1;
    line_start_ = scanned_;
    if (!ScanLine(line)) result_ = Result::kInvalid;
  }
  return result_;
}

bool HeadScanner::MayStartWith(std::string_view bytes) const {
  if (message_ == Message::kRequest) {
    return bytes.empty() || IsTokenChar(bytes.front());
  }
  const auto size = std::min(bytes.size(), kResponsePrefix.size());
  return bytes.substr(0, size) == kResponsePrefix.substr(0, size);
}

bool HeadScanner::ScanLine(std::string_view line) {
  if (!line.ends_with('\r')) return false;
  line.remove_suffix(1);
  if (line.find('\r') != std::string_view::npos) return false;
  if (!has_start_line_) return ScanStartLine(line);
  if (!line.empty()) return ScanField(line);
  result_ = Result::kComplete;
  return true;
}

bool HeadScanner::ScanStartLine(std::string_view line) {
  has_start_line_ = true;
  const bool is_request = message_ == Message::kRequest;
  is_http_1_0_ =
      is_request ? line.ends_with("HTTP/1.0") : line.starts_with("HTTP/1.0");
  return is_request ? !line.empty() : HasStatus(line);
}

bool HeadScanner::ScanField(std::string_view line) {
  ++fields_;
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) return false;
  const auto name = line.substr(0, colon);
  // Also refuses a folded line, which starts with white space, and white space
  // before the colon.
  if (!IsToken(name)) return false;
  const bool is_length = EqualsIgnoreCase(name, "Content-Length");
  const bool is_coding = EqualsIgnoreCase(name, "Transfer-Encoding");
  if (!is_length && !is_coding) return true;
  if (framing_ != BodyFraming::kNone) return false;
  framing_ = is_length ? BodyFraming::kLength : BodyFraming::kChunked;
  const auto value = TrimValue(line.substr(colon + 1));
  return is_length ? IsLength(value)
                   : EqualsIgnoreCase(value, "chunked") && !is_http_1_0_;
}

}  // namespace firmoor::details
