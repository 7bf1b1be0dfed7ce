/// The configuration in force on this host, shared by its parts.
#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "comfreyflow/config.h"

namespace comfreyflow::node {

/// One accepted generation.
struct ConfigGeneration {
  std::uint64_t generation = 0;
  std::string text;
  std::string hash;  ///< SHA-256 of `text`, as operators see it.
  Digest digest;     ///< Of the canonical text, as peers compare it.
  Config config;
};

using ConfigPtr = std::shared_ptr<const ConfigGeneration>;

/// Safe to use from any thread. Invariant: generations never go back.
class ConfigView {
 public:
  /// Null before the first generation.
  ConfigPtr current() const {
    const std::lock_guard lock(mutex_);
    return current_;
  }

  /// False when a generation at least as new is in force.
  bool Set(ConfigPtr next) {
    const std::lock_guard lock(mutex_);
    if (current_ && current_->generation >= next->generation) return false;
    current_ = std::move(next);
    return true;
  }

 private:
  mutable std::mutex mutex_;
  ConfigPtr current_;
};

}  // namespace comfreyflow::node
