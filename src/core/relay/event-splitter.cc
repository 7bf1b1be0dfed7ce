// Finds the blank lines that end events.
#include "comfreyflow/event-splitter.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace comfreyflow {
namespace {

/// A line's end and an empty line behind it: `\n\r\n`.
constexpr std::size_t kLongestBlankLine = 3;

/// Position behind the first blank line at or after `from`; npos when none.
std::size_t EndOfBlock(std::string_view text, std::size_t from) {
  for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    if (at + 1 < text.size() && text[at + 1] == '\n') return at + 2;
    if (at + 2 < text.size() && text[at + 1] == '\r' && text[at + 2] == '\n') {
      return at + 3;
    }
  }
  return std::string_view::npos;
}

/// The field's value if the line names it.
std::optional<std::string_view> ValueOf(std::string_view line,
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
  rest_ += bytes;
  const std::string_view text = rest_;
  std::size_t whole = 0;  // End of the last event.
  for (std::size_t end = EndOfBlock(text, scanned_);
       end != std::string_view::npos; end = EndOfBlock(text, scanned_)) {
    if (TakeBlock(text.substr(block_, end - block_))) whole = end;
    block_ = end;
    scanned_ = end;
  }
  // The blank line may have begun.
  const std::size_t tail = std::min(rest_.size(), kLongestBlankLine);
  scanned_ = std::max(scanned_, rest_.size() - tail);
  std::string events = rest_.substr(0, whole);
  rest_.erase(0, whole);
  block_ -= whole;
  scanned_ -= whole;
  return events;
}

std::string EventSplitter::TakeUnfinished() {
  block_ = scanned_ = 0;
  return std::exchange(rest_, {});
}

void EventSplitter::DropUnfinished() { TakeUnfinished(); }

/// Whether the block is an event.
bool EventSplitter::TakeBlock(std::string_view block) {
  bool is_event = false;
  std::size_t at = 0;
  while (at < block.size()) {
    const auto end = std::min(block.find('\n', at), block.size());
    std::string_view line = block.substr(at, end - at);
    if (line.ends_with('\r')) line.remove_suffix(1);
    const auto id = ValueOf(line, "id");
    if (id) last_id_ = std::string(*id);
    is_event = is_event || id || ValueOf(line, "data");
    at = end + 1;
  }
  if (is_event) ++events_;
  return is_event;
}

}  // namespace comfreyflow
