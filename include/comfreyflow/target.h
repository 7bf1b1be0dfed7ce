/// What hosts know of a target: its description, its load reports, which lag
/// behind, and the attempts it reports as running.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "comfreyflow/types.h"

namespace comfreyflow {

/// A steward's answer to a request for memory and a slot.
enum class GrantReply : std::uint8_t { kGranted, kQueued, kRefused, kClosed };

enum class TargetKind : std::uint8_t { kEngine, kPlain };

/// A target as described by the configuration and the list of the platform.
struct TargetInfo {
  TargetName name;
  std::string address;  ///< `ip:port`
  TargetKind kind = TargetKind::kEngine;
  ServiceName service;
  FailureDomain failure_domain;
  std::vector<ModelName> models;
  std::uint64_t kv_capacity = 0;  ///< In tokens; 0 until the target reports it.
  /// In requests; 0 until the target reports it.
  std::uint32_t max_running = 0;
  bool checks_fence = false;
};

/// A load report of a target. It was `age` old when it arrived.
struct TargetReport {
  TargetName target;
  std::uint64_t epoch = 0;  ///< Increases when the target restarts.
  std::uint64_t sequence = 0;
  Duration age{};
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t kv_used = 0;
  std::uint64_t kv_capacity = 0;
  std::uint32_t max_running = 0;
  std::uint64_t prefill_backlog_tokens = 0;
  bool closing = false;
  std::vector<ModelName> models;
};

/// An attempt in a target's list of running attempts.
struct RunningAttempt {
  AttemptId id;
  std::uint64_t kv_tokens = 0;
  Duration expires_in{};
};

/// A change of a target's prefix cache, or one item of a complete list of it.
struct PrefixEvent {
  enum class Kind : std::uint8_t { kStored, kRemoved };
  std::uint64_t sequence = 0;
  Kind kind = Kind::kStored;
  std::uint64_t salt = 0;
  std::uint64_t block = 0;
};

}  // namespace comfreyflow
