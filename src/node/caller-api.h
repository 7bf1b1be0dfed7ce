/// The interface for callers: authenticates, checks and turns HTTP requests
/// into calls for the entry actor. Holds no policy beyond the form of input.
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
  std::function<void(CallPtr)> arrive;
  /// Body of `GET /v1/addresses` for a caller in this failure domain.
  std::function<std::string(const FailureDomain&)> addresses;
};

/// Safe to use from any thread.
class CallerApi {
 public:
  explicit CallerApi(CallerApiDeps deps) : deps_(std::move(deps)) {}

  /// Judges a request by its head, before memory is spent on its body.
  Errc AdmitHead(const http::Request& head) const;
  void Handle(const http::ExchangePtr& exchange);
  http::Response Error(Errc code) const;

 private:
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

/// What the path of a request asks for.
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
