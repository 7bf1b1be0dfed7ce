/// The configuration in force on this host, shared by all components.
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
  std::string hash;  ///< SHA-256 of `text`, shown to operators.
  Digest digest;     ///< Digest of the canonical text, which peers compare.
  Config config;
};

using ConfigPtr = std::shared_ptr<const ConfigGeneration>;

/// Thread-safe. Invariant: the generation never decreases.
class ConfigView {
 public:
  /// Null until the first generation is set.
  ConfigPtr current() const {
    const std::lock_guard lock(mutex_);
    return current_;
  }

  /// Returns false, without effect, if the current generation is the same or
  /// newer.
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
