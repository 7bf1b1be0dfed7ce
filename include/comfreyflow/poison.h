/// Detects requests that crash their targets. Crashes are counted by request
/// fingerprint. A fingerprint with one crash is a suspect and shares no target
/// with another suspect; crashes of two targets quarantine it.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "comfreyflow/types.h"

namespace comfreyflow {

struct PoisonSettings {
  std::uint32_t crash_limit = 2;  ///< Crashed targets until quarantine.
  Duration suspect_time = std::chrono::minutes(5);
  Duration quarantine_time = std::chrono::minutes(15);
  std::size_t max_fingerprints = 10'000;
};

enum class PoisonDecision : std::uint8_t {
  kAllowed,
  kIsolated,     ///< May run only on a target without other suspects.
  kQuarantined,  ///< Rejected until the quarantine expires.
};

/// States that a request with this fingerprint was running on a target when
/// the target crashed.
struct CrashEvidence {
  std::uint64_t fingerprint = 0;
  TargetName target;
  auto operator<=>(const CrashEvidence&) const = default;
};

class Poison {
 public:
  explicit Poison(PoisonSettings settings = {});

  /// Records a crash. `running` holds the fingerprints that the target was
  /// running when it crashed. Returns the new evidence, to be sent to peers.
  std::vector<CrashEvidence> TargetCrashed(
      const TargetName& target, const std::vector<std::uint64_t>& running,
      Time now);
  /// Records evidence from this host or a peer; returns true if it was new.
  bool AddEvidence(const CrashEvidence& evidence, Time now);
  /// Records a complete response, which clears a suspect but does not lift a
  /// quarantine.
  void Finished(std::uint64_t fingerprint);
  /// Removes a suspicion or quarantine on the operator's request.
  void Clear(std::uint64_t fingerprint);

  PoisonDecision Decide(std::uint64_t fingerprint, Time now) const;
  /// Targets that crashed while running the fingerprint. A suspect must not be
  /// placed on them again.
  std::vector<TargetName> CrashedTargets(std::uint64_t fingerprint) const;
  /// Remaining quarantine time; zero if the fingerprint is not quarantined.
  Duration Remaining(std::uint64_t fingerprint, Time now) const;
  /// Removes expired entries.
  void Tick(Time now);
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    /// Targets that crashed while running the fingerprint. A set, so that
    /// repeated reports of one crash count once.
    std::set<TargetName> targets;
    Time expires_at;
  };
  /// Removes the entry that expires first if the maximum number is reached.
  void EvictIfFull();

  PoisonSettings settings_;
  std::map<std::uint64_t, Entry> entries_;
};

}  // namespace comfreyflow
