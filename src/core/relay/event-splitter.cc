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

/// What a block of lines says.
struct Block {
  bool is_event = false;
  std::optional<std::string_view> id;
};

Block ParseBlock(std::string_view text) {
  Block block;
  std::size_t at = 0;
  while (at < text.size()) {
    const auto end = std::min(text.find('\n', at), text.size());
    std::string_view line = text.substr(at, end - at);
    if (line.ends_with('\r')) line.remove_suffix(1);
    const auto id = FieldValue(line, "id");
    if (id) block.id = id;
    block.is_event = block.is_event || id || FieldValue(line, "data");
    at = end + 1;
  }
  return block;
}

}  // namespace

void EventSplitter::StartRun(std::string_view caller_last_id) {
  DropUnfinished();
  is_refused_ = false;
  refused_id_.clear();
  continuity_.StartRun(caller_last_id);
}

std::string EventSplitter::Feed(std::string_view bytes) {
  if (is_refused_) return {};
  unfinished_ += bytes;
  const std::string_view text = unfinished_;
  std::size_t complete = 0;  // End of the last complete event.
  for (std::size_t end = FindBlockEnd(text, scanned_);
       end != std::string_view::npos; end = FindBlockEnd(text, scanned_)) {
    if (TakeBlock(text.substr(start_, end - start_))) complete = end;
    if (is_refused_) break;
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

/// Returns whether the block is an event of the stream.
bool EventSplitter::TakeBlock(std::string_view text) {
  const Block block = ParseBlock(text);
  if (!block.is_event) return false;
  if (!continuity_.Accept(block.id)) {
    is_refused_ = true;
    refused_id_ = block.id.value_or("");
    return false;
  }
  ++events_;
  return true;
}

}  // namespace comfreyflow
