/// Orders: commands to the targets of one service to load or unload models and
/// adapters or to change their role. They are derived from the difference
/// between the configuration document and the reports of the targets. Only one
/// host at a time, the issuer, sends them.
///
/// The issuer holds a lease: an object in the platform's store that it acquires
/// and renews by conditional updates. The version of the object serves as the
/// fencing number (the fence) of the orders. The issuer holds the lease only
/// while a target differs from the document, so there are no store calls while
/// all targets match it.
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

/// State of a target according to its report.
struct ObservedTarget {
  TargetName target;
  FailureDomain failure_domain;
  std::set<ModelVersion> models;
  std::set<ModelVersion> adapters;
  std::string role;
};

/// Desired state of each target of a service. An empty `role` allows any role.
struct DesiredTargets {
  std::set<ModelVersion> models;
  std::set<ModelVersion> adapters;
  std::string role;
};

/// Contents of the lease object. It also keeps the versions that failed to
/// load, so that the next issuer does not attempt to load them again.
struct LeaseValue {
  HostName holder;  ///< Empty if the lease is released.
  Incarnation incarnation;
  std::set<ModelVersion> failed;
  bool operator==(const LeaseValue&) const = default;
};

/// Serializes the contents of the lease object as INI text.
std::string ToText(const LeaseValue& value);
/// Parses the text of a lease object; returns false if it is malformed.
bool ParseLease(const std::string& text, LeaseValue& out);

// ---- Events ---------------------------------------------------------------

/// The membership view selects the issuer; `self` tells whether it is this
/// host.
struct IssuerChosen {
  bool self = false;
};
struct DesiredChanged {
  DesiredTargets desired;
};
struct TargetObserved {
  ObservedTarget observed;
};
/// The target is no longer one of the service's targets.
struct TargetVanished {
  TargetName target;
};
/// The lease object was read; version 0 means that it does not exist.
struct LeaseRead {
  std::uint64_t version = 0;
  LeaseValue value;
};
/// The conditional update succeeded; `version` is the new version.
struct LeaseWritten {
  std::uint64_t version = 0;
};
/// The conditional update failed because the object has another version. The
/// issuer reads the object again.
struct LeaseConflict {};
/// A read or an update got no response, so an update may have succeeded.
struct LeaseUnanswered {};
/// The target refused an order because its fencing number is lower than one
/// that the target has accepted.
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
/// Update the object if it has version `if_version`; 0: create it if it does
/// not exist.
struct WriteLease {
  std::uint64_t if_version = 0;
  LeaseValue value;
};
/// Send the order only while the host's clock is before `not_after`. The sender
/// checks this again immediately before it writes to the connection.
struct SendOrder {
  TargetName target;
  std::uint64_t fence = 0;
  OrderKind kind = OrderKind::kLoad;
  ModelVersion model;
  std::string role;
  Time not_after;
};
/// The version failed to load on `target` and is not loaded on any target, so
/// its rollout stops.
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
  /// Maximum number of concurrent loads of this service from the weight store.
  std::uint32_t max_concurrent_loads = 1;
};

/// Decides which orders to send and when to acquire, renew and release the
/// lease.
///
/// Invariants: an order is sent only after a write that acquired or renewed the
/// lease has succeeded, and only until `kLeaseDuration` less `kLeaseMargin`
/// after the *start* of that write. The lease of another holder is acquired
/// only after its object has been unchanged for `kLeaseDuration` plus
/// `kLeaseMargin` on this host's clock. Loads go to one failure domain at a
/// time, and the first load of a version goes to a single target.
class Orders {
 public:
  Orders(OrderSettings settings, Time now);
  OrderCommands Handle(const OrderEvent& event, Time now);

  bool holds_lease(Time now) const;
  std::uint64_t fence() const { return held_ ? held_->version : 0; }
  const std::set<ModelVersion>& failed() const { return failed_; }
  /// Whether all targets have the desired state, except for failed versions.
  bool converged() const;

 private:
  struct HeldLease {
    std::uint64_t version = 0;
    Time usable_until;  // No orders are sent from this time on.
  };
  struct LastRead {
    std::uint64_t version = 0;
    LeaseValue value;
    Time unchanged_since;  // When this version was first read.
  };
  enum class StoreCall : std::uint8_t { kNone, kRead, kAcquire, kRelease };
  struct Load {
    ModelVersion model;
    Time started_at;
    Time last_sent_at;
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

  void AdvanceLease(Time now, OrderCommands& out);
  void StartCall(StoreCall call, Time now, OrderCommands& out);
  void StartWrite(StoreCall call, LeaseValue value, Time now,
                  OrderCommands& out);
  void IssueOrders(Time now, OrderCommands& out);
  bool IssueLoadOrRole(const ObservedTarget& target, Time now,
                       OrderCommands& out);
  void IssueUnloads(const ObservedTarget& target, Time now, OrderCommands& out);
  void Send(const ObservedTarget& target, OrderKind kind,
            const ModelVersion& model, OrderCommands& out);
  void CheckLoads(Time now, OrderCommands& out);
  std::set<ModelVersion> LoadableVersions() const;
  bool MatchesDesired(const ObservedTarget& target) const;
  bool IsLoadedAnywhere(const ModelVersion& model) const;
  LeaseValue LocalValue() const;

  OrderSettings settings_;
  bool is_issuer_ = false;
  DesiredTargets desired_;
  std::map<TargetName, ObservedTarget> targets_;
  std::map<TargetName, Load> loads_;
  // When unload or role orders were last sent to a target.
  std::map<TargetName, Time> sent_at_;
  std::set<ModelVersion> failed_;
  bool has_unsaved_failures_ = false;  // The lease object lacks some of them.
  std::optional<HeldLease> held_;
  std::optional<LastRead> last_read_;
  StoreCall call_ = StoreCall::kNone;
  Time call_started_at_;
  Time next_call_at_;
};

inline constexpr Duration kLeaseDuration = std::chrono::seconds(15);
/// Time within which an order that was sent has certainly reached its target.
inline constexpr Duration kLeaseMargin = std::chrono::seconds(3);
/// Interval between two `OrderTick` events.
inline constexpr Duration kOrderTick = std::chrono::milliseconds(500);
/// A load that takes longer counts as failed.
inline constexpr Duration kLoadTimeout = std::chrono::minutes(10);

}  // namespace comfreyflow
