/// A recorded trace: the fleet it runs on, then one request a line.
#pragma once

#include <string>
#include <vector>

#include "comfreyflow/admission.h"
#include "comfreyflow/types.h"
#include "core/replay/engine.h"

namespace comfreyflow::replay {

struct ServiceSetup {
  ServiceName service;
  std::uint32_t engines = 0;
};

struct AccountSetup {
  AccountName account;
  double weight = 1;
  AccountLimit limit;  ///< Of the whole fleet.
};

struct EngineLoss {
  Duration at{};
  std::uint32_t engine = 0;
};

/// The fleet of a trace. Delays are one way.
struct FleetSetup {
  std::string name;
  std::uint64_t seed = 1;
  std::uint32_t hosts = 8;
  std::uint32_t failure_domains = 3;
  Duration hop_same = std::chrono::microseconds(200);
  Duration hop_other = std::chrono::microseconds(1500);
  Duration hop_client = std::chrono::milliseconds(1);
  Duration report_period = std::chrono::milliseconds(500);
  bool cache_events = true;
  Duration measure_from{};  ///< Requests before it warm the caches only.
  std::vector<ServiceSetup> services;
  std::vector<AccountSetup> accounts;
  std::vector<EngineLoss> losses;
  EngineSettings engine;
};

struct TraceRequest {
  Duration at{};
  AccountName account;
  ServiceName service;
  Urgency urgency = Urgency::kNormal;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  std::uint32_t prefix_group = 0;
  std::uint32_t shared_tokens = 0;  ///< Of the group's prefix.
  Duration deadline{};              ///< From the arrival.
  bool repeatable = true;
  bool flood = false;  ///< Part of a flood that a comparison leaves out.
};

struct Trace {
  FleetSetup fleet;
  std::vector<TraceRequest> requests;  ///< In order of arrival.
};

/// Hash chain of a request's prompt: the group's blocks, then its own.
PrefixChain ChainOf(const TraceRequest& request, std::uint64_t index);

}  // namespace comfreyflow::replay
