/// Handles one caller's request until its final answer: obtains a target, sends
/// the request there, forwards the answer, and retries where that is allowed.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <random>
#include <set>

#include "comfreyflow/routes.h"
#include "comfreyflow/stop-plan.h"
#include "comfreyflow/target-book.h"
#include "gateway/crash-watch.h"
#include "gateway/edge.h"
#include "gateway/follower.h"
#include "gateway/placement.h"
#include "gateway/target-paths.h"
#include "http/client.h"
#include "http/server.h"
#include "node/metrics.h"

namespace comfreyflow::gateway {

/// A request that has no final answer yet.
class OpenRequest {
 public:
  virtual ~OpenRequest() = default;
  /// Called from the begin of a planned stop on. Refuses the request if it was
  /// sent to no target and its answer is not expected in time any more.
  virtual void OnStopTick() = 0;
  /// Gives the request its final answer, because the process is about to exit.
  virtual void OnStopEnding() = 0;
};

/// State shared by all relays of a host. It outlives the relays and is used on
/// one I/O thread only.
struct RelayContext {
  boost::asio::io_context& io;
  TargetPaths& paths;
  Placement& placement;
  EdgeHooks edge;
  FailureDomain domain;
  std::function<std::shared_ptr<const RouteTable>()> table;
  CrashWatch& crashes;
  node::Metrics& metrics;
  std::function<KindStatus()> target_list_status;
  const StopPlan& stop;
  /// Memory for the answers that this host holds.
  std::shared_ptr<http::BodyBudget> answer_budget;
  /// Called when a target reports, in its answer to `request`, that it accepts
  /// no new work.
  std::function<void(const LeavingReport&, const std::string& request)>
      target_left;
  std::mt19937_64 random{};
  std::set<OpenRequest*> open_requests{};
};

/// Starts a relay, which destroys itself after the request's final answer.
void StartRelay(RelayContext& context, http::ExchangePtr exchange);

}  // namespace comfreyflow::gateway
