/// HTTP interface for callers: authenticates and validates requests and turns
/// them into calls for the entry actor. Scheduling policy is elsewhere.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "comfreyflow/config.h"
#include "comfreyflow/types.h"
#include "http/server.h"
#include "node/answer.h"
#include "node/call.h"
#include "node/config-view.h"
#include "node/metrics.h"

namespace comfreyflow::node {

struct CallerApiDeps {
  HostName host;
  Incarnation incarnation;
  std::string fleet_key;
  Duration max_deadline{};
  std::shared_ptr<ConfigView> config;
  Metrics* metrics = nullptr;
  /// Passes a valid call to the entry actor.
  std::function<void(CallPtr)> arrive;
  /// Body of the response to `GET /v1/addresses` for a caller in the given
  /// failure domain.
  std::function<std::string(const FailureDomain&)> addresses;
};

/// Thread-safe.
class CallerApi {
 public:
  explicit CallerApi(CallerApiDeps deps) : deps_(std::move(deps)) {}

  /// Accepts or rejects a request by its head, before memory is allocated for
  /// its body.
  Errc AdmitHead(const http::Request& head) const;
  void Handle(const http::ExchangePtr& exchange);
  /// The response to a request that is rejected before it reaches `Handle`.
  http::Response Error(Errc code) const;

 private:
  /// Fill in the call from its HTTP request. On `kMalformedRequest`,
  /// `failure.field` names the invalid field.
  Errc Fill(Call& call, Failure& failure);
  Errc FillEngine(Call& call, const Config& config, const Account& account,
                  Failure& failure);
  Errc FillPlain(Call& call, const Config& config, const Account& account,
                 Failure& failure);
  Errc FillResume(Call& call) const;
  Errc FillDeadline(Call& call, const Service& service) const;
  void Refuse(const http::ExchangePtr& exchange, const Failure& failure) const;

  const CallerApiDeps deps_;
  std::atomic<std::uint64_t> next_sequence_ = 1;
};

/// The operation that a request path selects.
enum class Route : std::uint8_t {
  kNone,
  kAddresses,
  kText,
  kChat,
  kResume,
  kPlain,
};
Route RouteOf(std::string_view path);

}  // namespace comfreyflow::node
