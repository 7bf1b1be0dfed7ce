// Finds the blank lines that end events.
#include "comfreyflow/event-splitter.h"

#include <utility>

namespace comfreyflow {
namespace {

/// Position behind the first blank line at or after `from`; npos when none.
std::size_t EndOfEvent(std::string_view text, std::size_t from) {
  for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    if (at + 1 < text.size() && text[at + 1] == '\n') return at + 2;
    if (at + 2 < text.size() && text[at + 1] == '\r' && text[at + 2] == '\n') {
      return at + 3;
    }
  }
  return std::string_view::npos;
}

}  // namespace

std::string EventSplitter::Feed(std::string_view bytes) {
  rest_ += bytes;
  const std::string_view text = rest_;
  std::size_t begin = 0;
  for (std::size_t end = EndOfEvent(rest_, 0); end != std::string::npos;
       end = EndOfEvent(rest_, begin)) {
    TakeEvent(text.substr(begin, end - begin));
    begin = end;
  }
  if (begin == 0 && rest_.size() > kMaxEventBytes) {
    return std::exchange(rest_, {});
  }
  std::string whole = rest_.substr(0, begin);
  rest_.erase(0, begin);
  return whole;
}

void EventSplitter::TakeEvent(std::string_view event) {
  constexpr std::string_view kId = "id:";
  ++events_;
  std::size_t at = 0;
  while (at < event.size()) {
    const auto end = std::min(event.find('\n', at), event.size());
    std::string_view line = event.substr(at, end - at);
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (line.starts_with(kId)) {
      line.remove_prefix(kId.size());
      if (line.starts_with(' ')) line.remove_prefix(1);
      last_id_ = std::string(line);
    }
    at = end + 1;
  }
}

}  // namespace comfreyflow
