/// Sweep: finds running attempts on one target that no longer have an owner and
/// cancels them until the target no longer lists them. The owner of an attempt
/// is the host process that admitted the request.
#pragma once

#include <cstdint>
#include <map>
#include <variant>
#include <vector>

#include "comfreyflow/target.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

struct SweepSettings {
  /// How long after the end of a host its callers may resume their requests on
  /// other hosts.
  Duration resume_window = std::chrono::seconds(15);
  /// Minimum time between two queries to the same host.
  Duration query_period = std::chrono::seconds(2);
  /// Minimum time between two cancellations of the same attempt.
  Duration cancel_period = std::chrono::milliseconds(500);
};

/// The complete list of attempts that the target reports as running.
struct AttemptsListed {
  std::uint64_t epoch = 0;
  std::vector<RunningAttempt> attempts;
};

/// The host is known to run with this incarnation, so earlier processes of the
/// host have ended.
struct OwnerAlive {
  HostName host;
  Incarnation incarnation;
};

/// The host is presumed dead or has left the fleet.
struct OwnerLost {
  HostName host;
  Incarnation incarnation;
};

/// A host's reply to `QueryOwner`: those of the attempts that it does not own.
struct OwnerAnswered {
  HostName host;
  Incarnation incarnation;
  std::vector<AttemptId> unknown;
};

/// The owner abandoned the attempt, so it has to be cancelled.
struct AttemptDropped {
  AttemptId attempt;
};

struct SweepTick {};

using SweepEvent = std::variant<AttemptsListed, OwnerAlive, OwnerLost,
                                OwnerAnswered, AttemptDropped, SweepTick>;

/// Cancel the attempt on the target. This is idempotent.
struct CancelOnTarget {
  AttemptId attempt;
};

/// Query the host for which of these attempts it still owns.
struct QueryOwner {
  HostName host;
  Incarnation incarnation;
  std::vector<AttemptId> attempts;
};

using SweepCommand = std::variant<CancelOnTarget, QueryOwner>;
using SweepCommands = std::vector<SweepCommand>;

/// The sweep of one target.
class Sweep {
 public:
  explicit Sweep(SweepSettings settings = {});
  SweepCommands Handle(const SweepEvent& event, Time now);
  /// Number of attempts in the last list that are being cancelled.
  std::size_t cancelling() const;

 private:
  struct Owner {
    /// False while only attempts of the host, but no incarnation, were
    /// received.
    bool is_known = false;
    Incarnation incarnation;  ///< Highest value received.
    bool is_lost = false;
    /// When `incarnation` last increased or `is_lost` was last set.
    Time changed_at;
    Time last_query_at;
  };
  struct ListedAttempt {
    Time expires_at;
    Time first_seen_at;
    Time last_cancel_at;
    bool is_cancelling = false;  ///< Never cleared while the attempt is listed.
  };

  void On(const AttemptsListed& event);
  void On(const OwnerAlive& event);
  void On(const OwnerLost& event);
  void On(const OwnerAnswered& event);
  void On(const AttemptDropped& event);
  void On(const SweepTick& event);
  bool IsOrphaned(const AttemptId& id, const ListedAttempt& listed) const;
  void Cancel(const AttemptId& id, ListedAttempt& listed);
  void QueryOwners();

  SweepSettings settings_;
  std::uint64_t epoch_ = 0;
  std::map<HostName, Owner> owners_;
  std::map<AttemptId, ListedAttempt> listed_;
  SweepCommands out_;
  Time now_;
};

}  // namespace comfreyflow
