/// The one host that grants memory and slots of a target. Soft state: after a
/// change of steward it is rebuilt from the target's own list. Two stewards
/// for a moment may overload a target briefly and do no other harm.
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
  std::uint32_t max_queued = 3;
  /// A grant that the target does not list after this long has lapsed.
  Duration unused_limit = std::chrono::seconds(5);
  /// Age from which a waiting gang holds memory back from smaller work.
  Duration gang_patience = std::chrono::milliseconds(500);
  /// Work of less memory is never held back for a gang.
  std::uint64_t small_kv_tokens = 40'000;
  /// Longest that memory is held back for one gang.
  Duration gang_hold_limit = std::chrono::seconds(10);
  Duration suspect_limit = std::chrono::seconds(2);
  /// Attempts of a host that is gone are kept this long for a resume.
  Duration resume_window = std::chrono::seconds(30);
};

/// A wish for a target's memory and a slot.
struct ReservationRequest {
  AttemptId attempt;
  AccountName account;
  std::uint64_t kv_tokens = 0;
  std::uint32_t prefill_tokens = 0;  ///< Estimated uncached prompt tokens.
  Urgency urgency = Urgency::kNormal;
  Duration max_wait{};   ///< Refuse when prefill would begin later than this.
  bool suspect = false;  ///< Must not share the target with another suspect.
  Time expires;
};

/// Answer to an ask, at once or after `kQueued`.
struct ReservationReply {
  AttemptId attempt;
  GrantReply reply = GrantReply::kRefused;
  /// Estimated wait when refused; 0 when the target has room, but the account
  /// has its share of it.
  Duration retry_after{};
};

struct StewardResult {
  std::vector<ReservationReply> answers;
  std::vector<AttemptId> cancels;  ///< To send until the target drops them.
};

class Steward {
 public:
  explicit Steward(TargetInfo target, StewardSettings settings = {});

  /// Grants, queues or refuses; asked again for a granted attempt, it says so
  /// again. Other answers are of requests that were queued before.
  StewardResult Reserve(const ReservationRequest& ask, Time now);
  /// Gives back a grant or leaves the queue; unknown attempts are ignored.
  StewardResult Release(const AttemptId& attempt, Time now);
  /// The attempt's prefill is done, its memory still in use.
  StewardResult PrefillDone(const AttemptId& attempt, Time now);
  /// The target's own list, which wins over what was granted.
  StewardResult Listed(std::uint64_t epoch,
                       const std::vector<RunningAttempt>& running, Time now);
  void Reported(const TargetReport& report, Time now);
  /// The host's process with this or a lower incarnation is gone for certain,
  /// as a later one was seen. A death by gossip goes to `Sweep` alone, which
  /// asks the owner.
  void HostReplaced(const HostName& host, Incarnation incarnation, Time now);

  /// A host saw the target's connections break: nothing is granted until the
  /// target lists its work again, or for `suspect_limit`.
  void SuspendGrants(Time now);
  /// Nothing more is granted; what waits is answered `kClosed`.
  StewardResult Close();
  StewardResult Tick(Time now);

  std::uint64_t kv_granted() const { return kv_granted_; }
  std::size_t granted() const { return grants_.size(); }
  std::size_t queued() const { return queue_.size(); }
  /// Estimated time until a prefill granted now begins.
  Duration wait(Time now) const;

 private:
  struct Grant {
    std::uint64_t kv_tokens = 0;
    std::uint32_t prefill_tokens = 0;
    AccountName account;
    bool shared = false;  ///< Counted in `shares_`.
    bool prefilling = false;
    bool listed = false;  ///< The target listed it at some time.
    bool seen = false;    ///< The target's last list has it.
    bool suspect = false;
    Time granted;
    Time expires;
  };
  struct Waiting {
    ReservationRequest ask;
    Time since;
  };
  struct GoneHost {
    Incarnation incarnation;
    Time since;
  };

  bool Fits(const ReservationRequest& ask) const;
  bool HeldBack(const ReservationRequest& ask, Time now) const;
  void Admit(const ReservationRequest& ask, Time now);
  void Drop(std::map<AttemptId, Grant>::iterator grant, Time now);
  void EndPrefill(Grant& grant, Time now);
  void GrantWaiting(StewardResult& turn, Time now);
  bool HostLapsed(const AttemptId& attempt, Time now) const;

  TargetInfo target_;
  StewardSettings settings_;
  RateModel rates_;
  bool closed_ = false;
  Time suspect_until_;
  std::uint64_t epoch_ = 0;         ///< Of the last list.
  std::uint64_t report_epoch_ = 0;  ///< Of the last report.
  /// Invariant: `kv_granted_` and `prefilling_` are sums over `grants_`.
  std::map<AttemptId, Grant> grants_;
  std::uint64_t kv_granted_ = 0;
  std::uint64_t prefilling_ = 0;  ///< Tokens whose prefill is not done.
  std::uint32_t suspects_ = 0;    ///< Grants to suspects; at most one by asks.
  std::vector<Waiting> queue_;    ///< In order of urgency, then arrival.
  AccountShares shares_;          ///< Of work below `small_kv_tokens`.
  Time clear_at_;  ///< When the prefills granted are estimated done.
  std::map<HostName, GoneHost> gone_;
};

}  // namespace comfreyflow
