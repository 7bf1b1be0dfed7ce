/// Dissemination of marks on targets and on request fingerprints that are
/// suspected of causing crashes. A host sends each mark a bounded number of
/// times.
#pragma once

#include <map>
#include <vector>

#include "comfreyflow/membership.h"

namespace comfreyflow::detail {

/// Invariants, while a mark is retained: a target's mark is replaced only by
/// one of a higher version, by a closed one of the same version, or by one that
/// names another start; a start that was named once stays named until another
/// one is. A suspect's mark is replaced only by one with more crashes.
class MarkDissemination {
 public:
  /// Returns whether the mark was new, and if so makes it due for `max_sends`
  /// sends.
  bool Merge(const TargetMark& mark, int max_sends, Time now);
  bool Merge(const SuspectMark& mark, int max_sends, Time now);
  /// Adds the marks with the most sends left to the datagram.
  void AddTo(Datagram& datagram);
  /// Removes marks that have not changed within their retention time, to make
  /// room for new ones.
  void Expire(Time now);

 private:
  struct TargetEntry {
    TargetMark mark;
    int sends_left = 0;
    Time updated_at;
  };
  struct SuspectEntry {
    SuspectMark mark;
    int sends_left = 0;
    Time updated_at;
  };

  std::map<TargetName, TargetEntry> targets_;
  std::map<std::uint64_t, SuspectEntry> suspects_;
};

}  // namespace comfreyflow::detail
