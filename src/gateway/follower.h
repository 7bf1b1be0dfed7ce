/// Follows kinds of objects in the store: lists each kind, then watches it for
/// changes, and resumes after store outages with few calls.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "comfreyflow/follow-plan.h"
#include "gateway/object-store.h"

namespace comfreyflow::gateway {

struct FollowedKind {
  std::string kind;
  /// Receives all objects of the kind, at the start and after a gap in the
  /// history.
  std::function<void(const std::vector<PlatformObject>&)> on_listed;
  std::function<void(const PlatformObject&)> on_changed;
  /// Called after all objects of one answer have been delivered; may be empty.
  std::function<void()> on_batch_end;
  /// Each change carries the complete content of the kind.
  bool is_single_document = false;
  /// Peers tell of changes of the kind, so that a passive host makes no calls
  /// for it.
  bool is_told_by_peers = false;
  /// Whether peers have told the complete state; may be empty. Then it need not
  /// be listed first, and the first list waits for them for a moment.
  std::function<bool()> is_known = {};
};

/// How current this host's copy of a kind is.
struct KindStatus {
  std::string kind;
  StoreVersion version;  ///< Store version at the last answer.
  Time confirmed_at;     ///< Time of that answer.
};

struct FollowerHooks {
  std::function<void()> on_store_lost;       ///< The store stopped answering.
  std::function<void()> on_store_recovered;  ///< The store answers again.
  std::function<FleetInfo()> fleet_part;     ///< This host's part in the fleet.
};

/// Used on one I/O thread only. While the store is unreachable only one kind
/// probes it.
class Follower {
 public:
  Follower(boost::asio::io_context& io, ObjectStore store,
           std::vector<FollowedKind> kinds, FollowerHooks hooks);
  ~Follower();
  Follower(const Follower&) = delete;
  Follower& operator=(const Follower&) = delete;

  void Start();
  /// Requests the kind again at once because it is known to lag the store.
  void RefreshStale(const std::string& kind);
  /// This host has become a reader of the store. Calls that it put off as a
  /// passive host are made at once.
  void StartReading();
  /// A peer knows the store in a later era than `known`, the one that this host
  /// knows. Makes a call that shows it to this host. Returns whether it does.
  bool OnEraAnnounced(std::uint64_t era, std::uint64_t known);
  /// Lists all kinds again, because the store is of another era.
  void OnEraChange(std::uint64_t era);
  bool store_up() const;
  std::vector<KindStatus> KindStatuses() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace comfreyflow::gateway
