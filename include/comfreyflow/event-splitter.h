/// Splits a stream of server-sent events into complete events, so that a stream
/// whose target fails can resume at another target after the last complete
/// event.
///
/// Comments and blocks without a data or id field are not events. They are
/// forwarded together with the event that follows them, so that they do not
/// count as progress.
///
/// An event that does not continue the stream where the last run left it is
/// refused: neither it nor what follows is returned.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "comfreyflow/stream-continuity.h"

namespace comfreyflow {

class EventSplitter {
 public:
  /// The next bytes are those of another run, which continues after the last
  /// event, or after `caller_last_id` if there was none.
  void StartRun(std::string_view caller_last_id);
  /// Consumes the next bytes of the stream and returns the events that they
  /// complete, in order. Buffers the start of an unfinished event.
  std::string Feed(std::string_view bytes);
  /// Whether the unfinished event exceeds the maximum size. The stream is then
  /// not a valid response.
  bool too_long() const { return unfinished_.size() > kMaxEventBytes; }
  /// The buffered bytes after the last complete event.
  const std::string& unfinished() const { return unfinished_; }
  /// Whether the buffer holds only complete blocks that are not events, such as
  /// comments.
  bool at_event_boundary() const { return start_ == unfinished_.size(); }
  /// Returns the buffered bytes and clears the buffer.
  std::string TakeUnfinished();
  /// Discards the unfinished event, as its target will not complete it.
  void DropUnfinished();
  /// Id of the last complete event that has one; before the first, that of the
  /// caller's last event, or empty.
  const std::string& last_id() const { return continuity_.last_id(); }
  /// Whether another run can continue after the last complete event.
  bool can_resume() const { return continuity_.can_resume(); }
  /// Whether this run was refused, as it does not continue the stream.
  bool is_refused() const { return is_refused_; }
  /// Id of the refused event, if it has one.
  const std::string& refused_id() const { return refused_id_; }
  /// Number of complete events so far.
  std::size_t events() const { return events_; }

  /// Maximum size of an unfinished event.
  static constexpr std::size_t kMaxEventBytes = 64 * 1024;

 private:
  bool TakeBlock(std::string_view block);

  /// Invariant: contains no complete event, and
  /// `start_ <= scanned_ <= unfinished_.size()`.
  std::string unfinished_;
  std::size_t start_ = 0;    ///< Start of the unfinished block.
  std::size_t scanned_ = 0;  ///< No further block ends before this.
  StreamContinuity continuity_;
  bool is_refused_ = false;
  std::string refused_id_;
  std::size_t events_ = 0;
};

}  // namespace comfreyflow
