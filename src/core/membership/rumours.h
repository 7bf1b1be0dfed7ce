/// Marks of targets and of suspected requests, each passed on a bounded number
/// of times.
#pragma once

#include <map>
#include <vector>

#include "comfreyflow/membership.h"

namespace comfreyflow::detail {

/// Invariant: a mark is replaced only by one of a higher version or of another
/// start, or by a higher count of crashes; a start once marked stays named
/// until another one is.
class Rumours {
 public:
  /// Each of these returns whether the mark was news.
  bool Learn(const TargetMark& mark, int sends, Time now);
  bool Learn(const SuspectMark& mark, int sends, Time now);
  /// Adds the marks least often sent to the datagram.
  void Fill(Datagram& datagram);
  /// Forgets what was learned long ago, so that there is room for more.
  void Expire(Time now);

 private:
  struct Target {
    TargetMark mark;
    int sends_left = 0;
    Time learned;
  };
  struct Suspect {
    SuspectMark mark;
    int sends_left = 0;
    Time learned;
  };

  std::map<TargetName, Target> targets_;
  std::map<std::uint64_t, Suspect> suspects_;
};

}  // namespace comfreyflow::detail
