/// Follows kinds of objects in the store: lists each, watches it, and comes
/// back after outages with few calls.
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
  /// The whole kind, at the start and after a gap.
  std::function<void(const std::vector<PlatformObject>&)> listed;
  std::function<void(const PlatformObject&)> changed;
  /// After all that one answer told; absent: nothing.
  std::function<void()> told;
  /// Each change tells all of it.
  bool one_document = false;
};

/// How far a kind is known here.
struct KindKnown {
  std::string kind;
  std::uint64_t version = 0;  ///< Of the store, at its last answer.
  Time confirmed;             ///< When that answer came.
};

struct FollowerHooks {
  std::function<void()> lost;       ///< The store does not answer.
  std::function<void()> back;       ///< It does again.
  std::function<FleetInfo()> part;  ///< Of this host.
};

/// Lives on one I/O thread. While the store is away one kind alone tries
/// whether it is back.
class Follower {
 public:
  Follower(boost::asio::io_context& io, ObjectStore store,
           std::vector<FollowedKind> kinds, FollowerHooks hooks);
  ~Follower();
  Follower(const Follower&) = delete;
  Follower& operator=(const Follower&) = delete;

  void Start();
  /// The kind is known to be behind the store: it is asked anew at once.
  void Behind(const std::string& kind);
  bool store_up() const;
  std::vector<KindKnown> Known() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace comfreyflow::gateway
