/// Orders to the targets of one service: what the document wants compared with
/// what the targets report, by one issuer at a time.
///
/// The issuer holds a lease in the platform's store, taken and renewed by
/// conditional updates; the object's version is the fencing number. It takes
/// the lease only while something differs, so a fleet at rest makes no calls.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "comfreyflow/config.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

enum class OrderKind : std::uint8_t {
  kLoad,
  kUnload,
  kLoadAdapter,
  kUnloadAdapter,
  kRole,
};

/// What a target has, by its report.
struct ObservedTarget {
  TargetName target;
  FailureDomain failure_domain;
  std::set<ModelVersion> models;
  std::set<ModelVersion> adapters;
  std::string role;
};

/// What each target of a service shall have; `role` is empty for any role.
struct DesiredTargets {
  std::set<ModelVersion> models;
  std::set<ModelVersion> adapters;
  std::string role;
};

/// The value of the lease object. Versions that failed to load stay in it, so
/// that the next issuer does not try them again.
struct LeaseValue {
  HostName holder;  ///< Empty when released.
  Incarnation incarnation;
  std::set<ModelVersion> failed;
  bool operator==(const LeaseValue&) const = default;
};

/// Text of the lease object, INI.
std::string ToText(const LeaseValue& value);
/// False when the text is not a lease.
bool ParseLease(const std::string& text, LeaseValue& out);

// ---- Events ---------------------------------------------------------------

/// This host shall issue the orders, or no longer; from the view.
struct IssuerChosen {
  bool self = false;
};
struct DesiredChanged {
  DesiredTargets desired;
};
struct TargetObserved {
  ObservedTarget observed;
};
struct TargetVanished {
  TargetName target;
};
/// The lease object as read; version 0 when there is none.
struct LeaseRead {
  std::uint64_t version = 0;
  LeaseValue value;
};
/// The conditional update was done; `version` is the new one.
struct LeaseWritten {
  std::uint64_t version = 0;
};
/// It met another version. The issuer reads.
struct LeaseConflict {};
/// A read or an update had no answer.
struct LeaseUnanswered {};
/// The target refused an order with a fencing number below its own.
struct OrderRefused {
  TargetName target;
};
struct OrderTick {};

using OrderEvent =
    std::variant<IssuerChosen, DesiredChanged, TargetObserved, TargetVanished,
                 LeaseRead, LeaseWritten, LeaseConflict, LeaseUnanswered,
                 OrderRefused, OrderTick>;

// ---- Commands -------------------------------------------------------------

struct ReadLease {};
/// Conditional on `if_version`; 0: only if there is none.
struct WriteLease {
  std::uint64_t if_version = 0;
  LeaseValue value;
};
/// Send only while the host's clock is before `not_after`, which the sender
/// checks again just before the bytes leave.
struct SendOrder {
  TargetName target;
  std::uint64_t fence = 0;
  OrderKind kind = OrderKind::kLoad;
  ModelVersion model;
  std::string role;
  Time not_after;
};
/// A version that did not load where it was tried first; its rollout stops.
struct RolloutStopped {
  ModelVersion model;
  TargetName target;
};

using OrderCommand =
    std::variant<ReadLease, WriteLease, SendOrder, RolloutStopped>;
using OrderCommands = std::vector<OrderCommand>;

struct OrderSettings {
  ServiceName service;
  HostName self;
  Incarnation incarnation;
  /// Loads at once that this service may make on the weight store.
  std::uint32_t max_concurrent_loads = 1;
};

/// Invariants: an order is sent only between the write that gained or renewed
/// the lease and `kLeaseTime` less `kLeaseMargin` after that write was *begun*;
/// another holder's lease is taken only after its object stood unchanged for
/// `kLeaseTime` plus `kLeaseMargin` on this host's clock. Loads go to one
/// failure domain at a time, the first to one target alone.
class Orders {
 public:
  Orders(OrderSettings settings, Time now);
  OrderCommands Handle(const OrderEvent& event, Time now);

  bool holds_lease(Time now) const;
  std::uint64_t fence() const { return held_ ? held_->version : 0; }
  const std::set<ModelVersion>& failed() const { return failed_; }
  /// Whether all targets have what is desired, failed versions left out.
  bool converged() const;

 private:
  struct Held {
    std::uint64_t version = 0;
    Time until;  // Send nothing from here on.
  };
  struct Seen {
    std::uint64_t version = 0;
    LeaseValue value;
    Time since;
  };
  enum class Call : std::uint8_t { kNone, kRead, kTake, kRelease };
  struct Load {
    ModelVersion model;
    Time began;
    Time sent;
  };

  void On(const IssuerChosen& event, Time now, OrderCommands& out);
  void On(const DesiredChanged& event, Time now, OrderCommands& out);
  void On(const TargetObserved& event, Time now, OrderCommands& out);
  void On(const TargetVanished& event, Time now, OrderCommands& out);
  void On(const LeaseRead& event, Time now, OrderCommands& out);
  void On(const LeaseWritten& event, Time now, OrderCommands& out);
  void On(const LeaseConflict& event, Time now, OrderCommands& out);
  void On(const LeaseUnanswered& event, Time now, OrderCommands& out);
  void On(const OrderRefused& event, Time now, OrderCommands& out);
  void On(const OrderTick& event, Time now, OrderCommands& out);

  void Lease(Time now, OrderCommands& out);
  void Begin(Call call, Time now, OrderCommands& out);
  void Write(Call call, LeaseValue value, Time now, OrderCommands& out);
  void Issue(Time now, OrderCommands& out);
  bool IssueFor(const ObservedTarget& target, Time now, OrderCommands& out);
  void IssueUnloads(const ObservedTarget& target, Time now, OrderCommands& out);
  void Send(const ObservedTarget& target, OrderKind kind,
            const ModelVersion& model, OrderCommands& out);
  void CheckLoads(Time now, OrderCommands& out);
  std::set<ModelVersion> Wanted() const;
  bool Matches(const ObservedTarget& target) const;
  bool Proven(const ModelVersion& model) const;
  LeaseValue OwnValue() const;

  OrderSettings settings_;
  bool chosen_ = false;
  DesiredTargets desired_;
  std::map<TargetName, ObservedTarget> targets_;
  std::map<TargetName, Load> loads_;
  std::map<TargetName, Time> unloads_;  // When the last one was sent.
  std::set<ModelVersion> failed_;
  bool failed_unsaved_ = false;
  std::optional<Held> held_;
  std::optional<Seen> seen_;
  Call call_ = Call::kNone;
  Time call_began_;
  Time next_call_;
};

inline constexpr Duration kLeaseTime = std::chrono::seconds(15);
/// Time in which an order that was sent has reached its target for sure.
inline constexpr Duration kLeaseMargin = std::chrono::seconds(3);
inline constexpr Duration kOrderTick = std::chrono::milliseconds(500);
/// A load that takes longer has failed.
inline constexpr Duration kLoadTime = std::chrono::minutes(10);

}  // namespace comfreyflow
