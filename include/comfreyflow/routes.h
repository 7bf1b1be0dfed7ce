/// The route document and a table that answers lookups from it. The document
/// holds the routes by host name and path, the services behind them and the
/// keys of client accounts. It is always replaced as a unit.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "comfreyflow/credentials.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

/// Whether requests of a route may run more than once.
enum class RouteKind : std::uint8_t {
  kSafe,    ///< May run more than once.
  kUnsafe,  ///< Runs at most once.
  kStream,  ///< Answered with events; may run again only if resumable.
};

const char* ToString(RouteKind kind);

struct WeightedService {
  ServiceName service;
  std::uint32_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string prefix;  ///< Starts and ends with a slash.
  RouteKind kind = RouteKind::kUnsafe;
  Duration timeout{};  ///< Maximum time to the complete response; 0: no limit.
  /// Objective for the time to the response, or to the first event of a stream.
  Duration latency_objective{};
  Duration max_gap{};  ///< Longest gap between events that meets the objective.
  /// Callers abandon a stream after a gap of this length between events; 0:
  /// they wait until the deadline.
  Duration caller_max_gap{};
  std::uint32_t priority = 1;      ///< 0 is the most urgent.
  std::uint32_t max_attempts = 1;  ///< Targets that may run one request.
  bool is_public = false;          ///< Requests may come without a key.
  bool resumable = false;          ///< Applies to streams only.
  std::vector<WeightedService> services;
};

/// Whether a request of the route may run more than once.
bool Repeatable(const Route& route);

/// Performance model of a batching engine.
struct EngineModel {
  std::uint32_t slots = 16;
  std::uint64_t memory_tokens = 0;
  Duration step{};  ///< Time to decode one token of each running request.
  Duration step_per_sequence{};  ///< Added to a step for each running request.
  /// Added to a step for each 1,000 tokens in memory.
  Duration step_per_1k_context{};
  double prefill_per_second = 0;  ///< Prompt tokens per second.
  /// Prefill time for 1,000,000 pairs of a token and an earlier token.
  Duration prefill_per_1m_pairs{};
  std::uint32_t event_tokens = 1;  ///< Tokens in one event of a stream.
  Duration helper_hop{};  ///< Added to a step for a prompt shared by engines.
};

/// Minimum time in which an engine decodes `output_tokens` after a prompt of
/// `prompt_tokens`.
Duration MinDecodeTime(const EngineModel& engine, std::uint32_t prompt_tokens,
                       std::uint32_t output_tokens);

/// The strictest terms of the streams that a service serves, over all routes
/// that lead to it; zero if there is no such stream.
struct StreamTerms {
  Duration shortest_objective{};  ///< Time to the first event.
  Duration smallest_gap{};        ///< Maximum gap between two events.
  bool operator==(const StreamTerms&) const = default;
};

/// The terms of the streams that `routes` lead to the service.
StreamTerms TermsOf(const std::vector<Route>& routes,
                    const ServiceName& service);

/// What a target bears while it is cold: for some time after its start, and
/// whenever it turns cold again.
struct ColdLimit {
  double per_second = 0;  ///< Requests from all hosts together.
};

struct RoutedService {
  ServiceName name;
  std::string health_path;
  std::uint32_t max_connections = 0;  ///< To one target from all hosts.
  std::optional<EngineModel> engine;  ///< Absent for a plain service.
  StreamTerms streams;                ///< Set by `RouteTable`.
  std::optional<ColdLimit> cold;      ///< Absent: targets are never cold.
};

/// The client account that a key belongs to.
struct KeyHolder {
  AccountName account;
  /// Overrides the priority of the route.
  std::optional<std::uint32_t> priority;
};

/// Limits on the size and timing of requests.
struct CallerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  std::chrono::milliseconds receive_timeout{3'000};
  std::chrono::milliseconds idle_timeout{15'000};
};

struct RouteDocument {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceName, RoutedService> services;
  std::unordered_map<std::string, KeyHolder> keys;
  /// Keys that several accounts list. They are not in `keys`, as they tell no
  /// account.
  std::size_t shared_keys = 0;
  bool needs_keys = false;  ///< Routes that are not public need a key.
  CallerLimits limits;
};

/// In whose name a request runs, or why it must not run.
struct Identity {
  Errc refusal = Errc::kOk;
  const KeyHolder* holder = nullptr;  ///< Null: it has no client account.
};

/// Lookup table of one document. Immutable, so that a request uses the same
/// table from start to end.
class RouteTable {
 public:
  explicit RouteTable(RouteDocument document);

  const RouteDocument& document() const { return document_; }
  /// Returns the route of `host` with the longest prefix of `path`, or null if
  /// there is none. `host` may include a port.
  const Route* Match(std::string_view host, std::string_view path) const;
  /// Returns the holder of `key`, or null if the key is unknown.
  const KeyHolder* Holder(const std::string& key) const;
  /// Identifies the account of a request on the route. A key that comes is
  /// checked on every route, also where none is needed.
  Identity Identify(const Route& route, const Credentials& credentials) const;
  /// Returns the service, or null if the document does not contain it.
  const RoutedService* Service(const ServiceName& name) const;

 private:
  RouteDocument document_;
  /// Routes by lower-case host name, longest prefix first.
  std::map<std::string, std::vector<const Route*>, std::less<>> by_host_;
};

/// Selects a service in proportion to the weights of the route. `draw` is a
/// uniformly distributed random number.
ServiceName ChooseService(const Route& route, std::uint64_t draw);

}  // namespace comfreyflow
