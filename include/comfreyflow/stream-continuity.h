/// Decides whether the events of another run continue a stream, so that a
/// target which resumes at the wrong event is never joined to what the caller
/// already has.
///
/// Ids are opaque, but those that are unsigned decimal integers have to
/// increase, and where the ids of a stream have counted up by one, the next run
/// has to begin with the next number. An id of any other form has to differ
/// from the last one. An id with control characters counts as empty, as no
/// request can name it. Only the first event with an id is checked in each run:
/// the order within a run is its target's.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace comfreyflow {

class StreamContinuity {
 public:
  /// The next event is the first of a run that continues after the last event.
  void StartRun();
  /// The same for a caller that already has the events up to `caller_last_id`,
  /// if nothing was accepted before. An empty id stands for none.
  void StartRun(std::string_view caller_last_id);
  /// Accepts the next event, which has this id, if any. False if the event
  /// does not continue the stream; it is not recorded then.
  bool Accept(const std::optional<std::string_view>& id);

  /// Id of the last event that has one, after which another run is to continue;
  /// empty if there is none.
  const std::string& last_id() const { return last_id_; }
  /// Whether `last_id` is the id of the last event. Otherwise, a resumed run
  /// would repeat the events after `last_id`.
  bool can_resume() const { return is_last_identified_; }

 private:
  bool Follows(std::string_view id) const;
  bool counts_by_one() const;
  void Record(std::string_view id);

  std::string last_id_;
  bool has_events_ = false;          ///< Accepted any event.
  bool is_last_identified_ = false;  ///< The last accepted event has an id.
  bool is_run_checked_ = true;       ///< This run's first id was accepted.
  bool resumes_events_ = false;  ///< Events of another run precede this run.
  std::uint32_t steps_of_one_ = 0;
  bool has_other_step_ = false;
};

}  // namespace comfreyflow
