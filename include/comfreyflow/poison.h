/// Requests that crash their targets: crashes are counted by fingerprint,
/// suspects run apart from each other, and two crashes mean quarantine.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "comfreyflow/types.h"

namespace comfreyflow {

struct PoisonSettings {
  std::uint32_t crash_limit = 2;
  Duration suspect_time = std::chrono::minutes(5);
  Duration quarantine_time = std::chrono::minutes(15);
  std::size_t max_fingerprints = 10'000;
};

enum class PoisonDecision : std::uint8_t {
  kAllowed,
  kIsolated,     ///< Only on a target that runs no other suspect.
  kQuarantined,  ///< Refused until the quarantine ends.
};

/// A fingerprint was running on a target when that crashed.
struct CrashEvidence {
  std::uint64_t fingerprint = 0;
  TargetName target;
  auto operator<=>(const CrashEvidence&) const = default;
};

class Poison {
 public:
  explicit Poison(PoisonSettings settings = {});

  /// `running` are the fingerprints on the target when it crashed. Returns the
  /// evidence that is new, to be told to peers.
  std::vector<CrashEvidence> TargetCrashed(
      const TargetName& target, const std::vector<std::uint64_t>& running,
      Time now);
  /// A peer's evidence; true when it was new.
  bool AddEvidence(const CrashEvidence& evidence, Time now);
  /// A run to a whole answer clears a suspect, but not a quarantine.
  void Finished(std::uint64_t fingerprint);
  /// The operator's word ends suspicion and quarantine.
  void Clear(std::uint64_t fingerprint);

  PoisonDecision Decide(std::uint64_t fingerprint, Time now) const;
  /// Targets that crashed with the fingerprint; a suspect must not run there.
  std::vector<TargetName> CrashedTargets(std::uint64_t fingerprint) const;
  /// How long the fingerprint stays quarantined; zero when it is not.
  Duration Remaining(std::uint64_t fingerprint, Time now) const;
  void Tick(Time now);
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::set<TargetName> crashed;  ///< One crash counts once, however often it
                                   ///< is heard of.
    Time until;
  };
  void MakeRoom();

  PoisonSettings settings_;
  std::map<std::uint64_t, Entry> entries_;
};

}  // namespace comfreyflow
