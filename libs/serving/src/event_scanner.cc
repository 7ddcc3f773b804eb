#include "serving/event_scanner.h"

#include <utility>

namespace firmoor {
namespace {

constexpr std::string_view kIdField = "id:";

bool IsEmptyLine(std::string_view line) { return line.empty() || line == "\r"; }

bool IsField(std::string_view line) {
  return !IsEmptyLine(line) && !line.starts_with(':');
}

}  // namespace

std::optional<EventScanner::Event> EventScanner::Next(std::string_view bytes) {
  while (position_ < bytes.size()) {
    const auto end = bytes.find('\n', position_);
    const bool is_complete = end != std::string_view::npos;
    const auto next = is_complete ? end + 1 : bytes.size();
    examined_ += next - std::exchange(position_, next);
    if (!is_complete) break;
    const auto line = bytes.substr(line_start_, end - line_start_);
    if (line_start_ > 0 && IsEmptyLine(line)) {
      const auto id = id_end_ ? bytes.substr(id_start_, *id_end_ - id_start_)
                              : std::string_view();
      const Event event{next, !has_field_, id};
      Reset();
      return event;
    }
    AddLine(line, end);
    line_start_ = next;
  }
  has_partial_field_ = IsField(bytes.substr(line_start_));
  return std::nullopt;
}

void EventScanner::AddLine(std::string_view line, std::size_t end) {
  has_field_ = has_field_ || IsField(line);
  if (id_end_ || !line.starts_with(kIdField)) return;
  auto value = line.substr(kIdField.size());
  if (value.starts_with(' ')) value.remove_prefix(1);
  id_start_ = end - value.size();
  if (value.ends_with('\r')) value.remove_suffix(1);
  id_end_ = id_start_ + value.size();
}

void EventScanner::Reset() {
  position_ = 0;
  line_start_ = 0;
  id_end_.reset();
  has_field_ = false;
  has_partial_field_ = false;
}

}  // namespace firmoor
