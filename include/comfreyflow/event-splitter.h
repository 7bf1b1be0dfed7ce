/// Splits a stream of server-sent events into whole events, so that a stream
/// that breaks off can go on at another target behind the last whole one.
#pragma once

#include <string>
#include <string_view>

namespace comfreyflow {

class EventSplitter {
 public:
  /// Takes the next bytes of the stream and returns those that end whole
  /// events, in order; the start of an unfinished event is kept back.
  std::string Feed(std::string_view bytes);
  /// Bytes of an unfinished event.
  const std::string& rest() const { return rest_; }
  /// Drops the unfinished event: its target will not end it.
  void DropRest() { rest_.clear(); }
  /// Id of the last whole event that had one; empty before the first.
  const std::string& last_id() const { return last_id_; }
  /// Whole events so far.
  std::size_t events() const { return events_; }

 private:
  void TakeEvent(std::string_view event);

  std::string rest_;
  std::string last_id_;
  std::size_t events_ = 0;
};

/// Longest unfinished event; a longer one is passed on as it is.
inline constexpr std::size_t kMaxEventBytes = 1024 * 1024;

}  // namespace comfreyflow
