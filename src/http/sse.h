/// Server-sent events: a parser fed in pieces, and the lines of an event.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace comfreyflow::http {

struct SseHooks {
  std::function<void(std::string_view data)> on_data;
  std::function<void(std::string_view text)> on_comment;  ///< Behind its colon.
};

class SseParser {
 public:
  explicit SseParser(SseHooks hooks) : hooks_(std::move(hooks)) {}

  /// Takes the next bytes. False when a line is longer than the limit; the
  /// stream is of no use then.
  bool Feed(std::string_view bytes);

 private:
  void TakeLine(std::string_view line);

  SseHooks hooks_;
  std::string line_;  ///< The start of a line whose end has not come.
  std::string data_;  ///< Data lines of the event under way.
};

/// Longest line that is taken from a target.
inline constexpr std::size_t kSseLineBytes = 1024 * 1024;

}  // namespace comfreyflow::http
