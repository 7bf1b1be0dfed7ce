/// Takes one caller's request to its final answer: places it, sends it to a
/// target, passes the answer on, and tries again where that is allowed.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <random>

#include "comfreyflow/poison.h"
#include "comfreyflow/routes.h"
#include "comfreyflow/target-book.h"
#include "gateway/edge.h"
#include "gateway/follower.h"
#include "gateway/placement.h"
#include "http/client.h"
#include "http/server.h"
#include "node/metrics.h"

namespace comfreyflow::gateway {

/// What all relays of a host share; outlives them. One I/O thread.
struct RelayContext {
  boost::asio::io_context& io;
  http::Client& client;
  Placement& placement;
  EdgeHooks edge;
  FailureDomain domain;
  std::function<std::shared_ptr<const RouteTable>()> table;
  std::function<void(const CrashEvidence&)> share_crash;
  node::Metrics& metrics;
  std::function<KindKnown()> targets_known;
  /// A target said in its answer to the request that it leaves.
  std::function<void(const LeavingReport&, const std::string& request)>
      target_left;
  /// A connection that breaks is no sure sign of a crash, so that more of them
  /// are needed than where targets tell their crashes.
  Poison poison{{.crash_limit = 3,
                 .suspect_time = std::chrono::seconds(60),
                 .quarantine_time = std::chrono::seconds(60)}};
  std::mt19937_64 random{};
  std::size_t open = 0;  ///< Requests without a final answer.
};

/// Starts a relay; it lives until the request's final answer.
void StartRelay(RelayContext& context, http::ExchangePtr exchange);

}  // namespace comfreyflow::gateway
