/// Splits a stream of server-sent events into whole events, so that a stream
/// that breaks off can go on at another target behind the last whole one.
///
/// Comments and blocks without data or id are no events: they are passed on
/// with the event behind them, so that they don't look like progress.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace comfreyflow {

class EventSplitter {
 public:
  /// Takes the next bytes of the stream and returns those that end whole
  /// events, in order; the start of an unfinished event is kept back.
  std::string Feed(std::string_view bytes);
  /// Whether the unfinished event is longer than any event may be. What follows
  /// is no answer.
  bool too_long() const { return rest_.size() > kMaxEventBytes; }
  /// What is kept back.
  const std::string& unfinished() const { return rest_; }
  /// Whether nothing is left but comments and the like.
  bool at_event_boundary() const { return block_ == rest_.size(); }
  /// Hands out what is kept back.
  std::string TakeUnfinished();
  /// Drops the unfinished event: its target will not end it.
  void DropUnfinished();
  /// Id of the last whole event that had one; empty before the first.
  const std::string& last_id() const { return last_id_; }
  /// Whole events so far.
  std::size_t events() const { return events_; }

  /// Longest unfinished event.
  static constexpr std::size_t kMaxEventBytes = 64 * 1024;

 private:
  bool TakeBlock(std::string_view block);

  /// Invariant: no event ends in `rest_`; `block_ <= scanned_ <= rest_.size()`.
  std::string rest_;
  std::size_t block_ = 0;    ///< Where the unfinished block begins.
  std::size_t scanned_ = 0;  ///< No block ends before it.
  std::string last_id_;
  std::size_t events_ = 0;
};

}  // namespace comfreyflow
