/// Routes by host name and path, the services behind them, and the keys of
/// client accounts: one document, taken whole, and the table that answers from
/// it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "comfreyflow/types.h"

namespace comfreyflow {

/// What may be repeated of a route's requests.
enum class RouteKind : std::uint8_t {
  kSafe,    ///< May run more than once.
  kUnsafe,  ///< Runs at most once.
  kStream,  ///< Answered by events; may run again only where resumable.
};

const char* ToString(RouteKind kind);

struct WeightedService {
  ServiceName service;
  std::uint32_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kUnsafe;
  Duration timeout{};  ///< Longest time to the final answer; 0: no limit.
  Duration latency_objective{};  ///< Time to the answer, or to a stream's first
                                 ///< event.
  Duration max_gap{};  ///< Longest pause between events that is in time.
  /// Callers leave a stream on which nothing came for so long; 0: they wait for
  /// its deadline.
  Duration caller_max_gap{};
  std::uint32_t priority = 1;      ///< 0 is the most urgent.
  std::uint32_t max_attempts = 1;  ///< Targets that may run one request.
  bool is_public = false;          ///< Needs no key.
  bool resumable = false;          ///< Only of streams.
  std::vector<WeightedService> services;
};

/// Whether a request of the route may run a second time.
bool Repeatable(const Route& route);

/// How a batching engine spends its time and memory.
struct EngineModel {
  std::uint32_t slots = 16;
  std::uint64_t memory_tokens = 0;
  Duration step{};                  ///< One token of each running request.
  Duration step_per_sequence{};     ///< Added for each running request.
  Duration step_per_1k_context{};   ///< Added for each 1,000 tokens held.
  double prefill_per_second = 0;    ///< Prompt tokens.
  Duration prefill_per_1m_pairs{};  ///< Of a token and any earlier token.
  std::uint32_t event_tokens = 1;   ///< Tokens of one event of a stream.
  Duration helper_hop{};            ///< Added to a step of a shared prompt.
};

/// Shortest time in which an engine writes so many tokens behind a prompt.
Duration MinDecodeTime(const EngineModel& engine, std::uint32_t prompt_tokens,
                       std::uint32_t output_tokens);

struct RoutedService {
  ServiceName name;
  std::string health_path;
  std::uint32_t max_connections = 0;  ///< To one target from all hosts.
  std::optional<EngineModel> engine;  ///< Absent: a plain service.
};

/// Whose a key is.
struct KeyHolder {
  AccountName account;
  std::optional<std::uint32_t> priority;  ///< Goes before the route's.
};

/// What callers may send and how long they may take.
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
  bool needs_keys = false;  ///< Routes that are not public need a key.
  CallerLimits limits;
};

/// Answers from one document. Immutable, so that a request keeps the table it
/// began with.
class RouteTable {
 public:
  explicit RouteTable(RouteDocument document);

  const RouteDocument& document() const { return document_; }
  /// The route of the host with the longest prefix that begins `path`; null
  /// when there is none. `host` may carry a port.
  const Route* Match(std::string_view host, std::string_view path) const;
  const KeyHolder* Holder(const std::string& key) const;
  const RoutedService* Service(const ServiceName& name) const;

 private:
  RouteDocument document_;
  /// By host and prefix, longest prefix first.
  std::map<std::string, std::vector<const Route*>, std::less<>> by_host_;
};

/// The service that serves a request, by the route's weights. `draw` is a
/// uniform 64-bit number.
ServiceName ChooseService(const Route& route, std::uint64_t draw);

}  // namespace comfreyflow
