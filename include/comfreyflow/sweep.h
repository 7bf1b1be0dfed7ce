/// Finds attempts on one target that no host owns any more and has them
/// cancelled until the target's own list confirms that they are gone.
#pragma once

#include <cstdint>
#include <map>
#include <variant>
#include <vector>

#include "comfreyflow/target.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

struct SweepSettings {
  /// How long a caller whose host died may resume elsewhere.
  Duration resume_window = std::chrono::seconds(15);
  Duration query_period = std::chrono::seconds(2);
  /// Between two cancels of the same attempt.
  Duration cancel_period = std::chrono::milliseconds(500);
};

/// The target's whole list of attempts.
struct AttemptsListed {
  std::uint64_t epoch = 0;
  std::vector<RunningAttempt> attempts;
};

/// A host is known to run with this incarnation; earlier ones are gone.
struct OwnerAlive {
  HostName host;
  Incarnation incarnation;
};

/// A host is thought dead or was seen to leave.
struct OwnerLost {
  HostName host;
  Incarnation incarnation;
};

/// A host's answer to `QueryOwner`: the asked attempts it does not know.
struct OwnerAnswered {
  HostName host;
  Incarnation incarnation;
  std::vector<AttemptId> unknown;
};

/// The owner itself gave the attempt up and wants it gone.
struct AttemptDropped {
  AttemptId attempt;
};

struct SweepTick {};

using SweepEvent = std::variant<AttemptsListed, OwnerAlive, OwnerLost,
                                OwnerAnswered, AttemptDropped, SweepTick>;

/// Cancel on the target; harmless when repeated.
struct CancelOnTarget {
  AttemptId attempt;
};

/// Ask the host which of these it still owns.
struct QueryOwner {
  HostName host;
  Incarnation incarnation;
  std::vector<AttemptId> attempts;
};

using SweepCommand = std::variant<CancelOnTarget, QueryOwner>;
using SweepCommands = std::vector<SweepCommand>;

class Sweep {
 public:
  explicit Sweep(SweepSettings settings = {});
  SweepCommands Handle(const SweepEvent& event, Time now);
  /// Attempts of the last list that are being cancelled.
  std::size_t cancelling() const;

 private:
  struct Owner {
    bool known = false;       ///< False while only its attempts were seen.
    Incarnation incarnation;  ///< Highest seen.
    bool lost = false;
    Time since;  ///< When `incarnation` and `lost` became as they are.
    Time asked;
  };
  struct Listed {
    Time expires;
    Time first_seen;
    Time last_cancel;
    bool doomed = false;  ///< Without owner; never cleared while listed.
  };

  void On(const AttemptsListed& event);
  void On(const OwnerAlive& event);
  void On(const OwnerLost& event);
  void On(const OwnerAnswered& event);
  void On(const AttemptDropped& event);
  void On(const SweepTick& event);
  bool Ownerless(const AttemptId& id, const Listed& listed) const;
  void Cancel(const AttemptId& id, Listed& listed);
  void AskOwners();

  SweepSettings settings_;
  std::uint64_t epoch_ = 0;
  std::map<HostName, Owner> owners_;
  std::map<AttemptId, Listed> listed_;
  SweepCommands out_;
  Time now_;
};

}  // namespace comfreyflow
