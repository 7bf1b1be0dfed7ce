/// Steward: the host that grants the memory and slots of a target. A grant
/// reserves memory and one slot for one attempt. The state of a steward is not
/// stored: a new steward rebuilds it from the target's list of attempts. If two
/// hosts are stewards of a target for a short time, they may overload it
/// briefly, but do no other harm.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "comfreyflow/cost.h"
#include "comfreyflow/shares.h"
#include "comfreyflow/target.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

struct StewardSettings {
  /// Maximum number of queued reservation requests.
  std::uint32_t max_queued = 3;
  /// A grant whose attempt the target has not listed within this time lapses.
  Duration unused_grant_timeout = std::chrono::seconds(5);
  /// Age at which a queued request starts to hold back memory from other
  /// requests, so that smaller work does not starve a gang: several targets
  /// that serve one long prompt together.
  Duration gang_hold_delay = std::chrono::milliseconds(500);
  /// Requests for less memory than this are small and are never held back.
  std::uint64_t small_kv_tokens = 40'000;
  /// Maximum age of a queued request for which memory is held back.
  Duration max_gang_hold = std::chrono::seconds(10);
  /// Maximum time that `SuspendGrants` has effect.
  Duration max_suspension = std::chrono::seconds(2);
  /// How long attempts of a process that has ended are kept, so that callers
  /// can resume them on another host.
  Duration resume_window = std::chrono::seconds(30);
};

/// A request for memory and a slot of a target.
struct ReservationRequest {
  AttemptId attempt;
  AccountName account;
  std::uint64_t kv_tokens = 0;
  std::uint32_t prefill_tokens = 0;  ///< Estimated uncached prompt tokens.
  Urgency urgency = Urgency::kNormal;
  Duration max_wait{};   ///< Maximum wait until the prefill starts; otherwise
                         ///< the request is refused.
  bool suspect = false;  ///< The request is suspected of crashing targets, so
                         ///< the target must not run another suspect.
  Time expires;
};

/// Reply to a reservation request. `kQueued` is followed by a second reply,
/// unless the request is released.
struct ReservationReply {
  AttemptId attempt;
  GrantReply reply = GrantReply::kRefused;
  /// Estimated wait if refused; 0 if the target has capacity, but the account
  /// has used up its share of it.
  Duration retry_after{};
};

/// What the caller of a `Steward` function has to send. `answers` may include
/// replies to requests that were queued earlier.
struct StewardResult {
  std::vector<ReservationReply> answers;
  /// Attempts to cancel on the target. A cancellation is repeated until the
  /// target no longer lists the attempt.
  std::vector<AttemptId> cancels;
};

/// The steward's state for one target.
class Steward {
 public:
  explicit Steward(TargetInfo target, StewardSettings settings = {});

  /// Grants, queues or refuses the request. A repeated request of a granted
  /// attempt is granted again without a second reservation.
  StewardResult Reserve(const ReservationRequest& request, Time now);
  /// Releases the attempt's grant or removes its request from the queue.
  /// Unknown attempts are ignored.
  StewardResult Release(const AttemptId& attempt, Time now);
  /// The prefill of the attempt is done; its memory is still in use.
  StewardResult PrefillDone(const AttemptId& attempt, Time now);
  /// The target's list of running attempts. It takes precedence over the
  /// grants. The epoch increases when the target restarts.
  StewardResult Listed(std::uint64_t epoch,
                       const std::vector<RunningAttempt>& running, Time now);
  /// A load report of the target.
  void Reported(const TargetReport& report, Time now);
  /// The host's processes with this or a lower incarnation have ended, because
  /// a later one was seen. Hosts that are only presumed dead by the gossip are
  /// passed to `Sweep` alone, which queries the owner.
  void HostReplaced(const HostName& host, Incarnation incarnation, Time now);

  /// A host reported that its connections to the target broke: new requests are
  /// refused until the target lists its attempts or `max_suspension` has
  /// passed.
  void SuspendGrants(Time now);
  /// Stops granting and replies `kClosed` to queued requests.
  StewardResult Close();
  /// Cancels expired attempts and grants queued requests. Called periodically.
  StewardResult Tick(Time now);

  std::uint64_t kv_granted() const { return kv_granted_; }
  std::size_t granted() const { return grants_.size(); }
  std::size_t queued() const { return queue_.size(); }
  /// Estimated time until a prefill granted now starts.
  Duration wait(Time now) const;

 private:
  struct Grant {
    std::uint64_t kv_tokens = 0;
    std::uint32_t prefill_tokens = 0;
    AccountName account;
    bool in_shares = false;  ///< Counted in `shares_`.
    bool is_prefilling = false;
    bool was_listed = false;    ///< The target has listed it before.
    bool in_last_list = false;  ///< The target's last list contains it.
    bool is_suspect = false;
    Time granted_at;
    Time expires_at;
  };
  struct QueuedRequest {
    ReservationRequest request;
    Time queued_at;
  };
  struct ReplacedHost {
    Incarnation incarnation;
    Time replaced_at;
  };

  bool Fits(const ReservationRequest& request) const;
  bool IsHeldBack(const ReservationRequest& request, Time now) const;
  void Admit(const ReservationRequest& request, Time now);
  void RemoveGrant(std::map<AttemptId, Grant>::iterator grant, Time now);
  void EndPrefill(Grant& grant, Time now);
  void GrantQueued(StewardResult& result, Time now);
  bool ResumeWindowPassed(const AttemptId& attempt, Time now) const;

  TargetInfo target_;
  StewardSettings settings_;
  RateModel rates_;
  bool is_closed_ = false;
  Time suspended_until_;            ///< New requests are refused until then.
  std::uint64_t epoch_ = 0;         ///< Target epoch of the last list.
  std::uint64_t report_epoch_ = 0;  ///< Target epoch of the last report.
  /// Invariant: `kv_granted_` and `prefilling_tokens_` are sums over `grants_`.
  std::map<AttemptId, Grant> grants_;
  std::uint64_t kv_granted_ = 0;
  /// Granted tokens whose prefill is not done.
  std::uint64_t prefilling_tokens_ = 0;
  /// Number of grants to suspects, at most 1.
  std::uint32_t suspect_grants_ = 0;
  /// By descending urgency, then by arrival.
  std::vector<QueuedRequest> queue_;
  AccountShares shares_;   ///< Of requests below `small_kv_tokens`.
  Time prefills_done_at_;  ///< Estimated end of the granted prefills.
  std::map<HostName, ReplacedHost> replaced_hosts_;
};

}  // namespace comfreyflow
