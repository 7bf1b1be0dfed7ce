// Splits a server-sent event stream at the blank lines that end its events.
#include "comfreyflow/event-splitter.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace comfreyflow {
namespace {

/// Longest end of a block: the end of a line and a blank line, `\n\r\n`.
constexpr std::size_t kMaxBlockEndBytes = 3;

/// Position after the first blank line at or after `from`; npos if there is
/// none.
std::size_t FindBlockEnd(std::string_view text, std::size_t from) {
  for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    if (at + 1 < text.size() && text[at + 1] == '\n') return at + 2;
    if (at + 2 < text.size() && text[at + 1] == '\r' && text[at + 2] == '\n') {
      return at + 3;
    }
  }
  return std::string_view::npos;
}

/// Value of `field` if the line sets it, or nullopt.
std::optional<std::string_view> FieldValue(std::string_view line,
                                           std::string_view field) {
  if (!line.starts_with(field)) return std::nullopt;
  line.remove_prefix(field.size());
  if (line.empty()) return line;
  if (line.front() != ':') return std::nullopt;
  line.remove_prefix(1);
  if (line.starts_with(' ')) line.remove_prefix(1);
  return line;
}

}  // namespace

std::string EventSplitter::Feed(std::string_view bytes) {
  unfinished_ += bytes;
  const std::string_view text = unfinished_;
  std::size_t complete = 0;  // End of the last complete event.
  for (std::size_t end = FindBlockEnd(text, scanned_);
       end != std::string_view::npos; end = FindBlockEnd(text, scanned_)) {
    if (ParseBlock(text.substr(start_, end - start_))) complete = end;
    start_ = end;
    scanned_ = end;
  }
  // The buffer may end within a blank line, so its tail is scanned again.
  const std::size_t tail = std::min(unfinished_.size(), kMaxBlockEndBytes);
  scanned_ = std::max(scanned_, unfinished_.size() - tail);
  std::string events = unfinished_.substr(0, complete);
  unfinished_.erase(0, complete);
  start_ -= complete;
  scanned_ -= complete;
  return events;
}

std::string EventSplitter::TakeUnfinished() {
  start_ = scanned_ = 0;
  return std::exchange(unfinished_, {});
}

void EventSplitter::DropUnfinished() { TakeUnfinished(); }

/// Returns whether the block is an event, and records its id.
bool EventSplitter::ParseBlock(std::string_view block) {
  bool is_event = false;
  std::size_t at = 0;
  while (at < block.size()) {
    const auto end = std::min(block.find('\n', at), block.size());
    std::string_view line = block.substr(at, end - at);
    if (line.ends_with('\r')) line.remove_suffix(1);
    const auto id = FieldValue(line, "id");
    if (id) last_id_ = std::string(*id);
    is_event = is_event || id || FieldValue(line, "data");
    at = end + 1;
  }
  if (is_event) ++events_;
  return is_event;
}

}  // namespace comfreyflow
