// Splits a stream into events.
#include "http/sse.h"

#include <utility>

namespace comfreyflow::http {
namespace {

constexpr std::string_view kData = "data:";

}  // namespace

bool SseParser::Feed(std::string_view bytes) {
  while (!bytes.empty()) {
    const auto end = bytes.find('\n');
    if (end == std::string_view::npos) {
      line_ += bytes;
      return line_.size() <= kSseLineBytes;
    }
    if (line_.empty()) {
      TakeLine(bytes.substr(0, end));
    } else {
      line_ += bytes.substr(0, end);
      if (line_.size() > kSseLineBytes) return false;
      const std::string line = std::exchange(line_, {});
      TakeLine(line);
    }
    bytes.remove_prefix(end + 1);
  }
  return true;
}

void SseParser::TakeLine(std::string_view line) {
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  if (line.empty()) {
    if (!data_.empty() && hooks_.on_data) hooks_.on_data(data_);
    data_.clear();
  } else if (line.front() == ':') {
    if (hooks_.on_comment) hooks_.on_comment(line.substr(1));
  } else if (line.substr(0, kData.size()) == kData) {
    line.remove_prefix(kData.size());
    if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    if (!data_.empty()) data_ += '\n';
    data_ += line;
  }
}

}  // namespace comfreyflow::http
