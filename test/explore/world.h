/// One run of the exploration: some hosts' decisions, targets, a store and
/// callers in virtual time, with the faults of a plan.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "claim-store.h"
#include "explore/checks.h"
#include "explore/fake-target.h"
#include "explore/network.h"
#include "explore/plan.h"
#include "explore/sabotage.h"

namespace comfreyflow::explore {

inline constexpr std::uint32_t kHosts = 3;
inline constexpr std::uint32_t kTargets = 4;
inline constexpr std::uint32_t kEngines = 3;  ///< The rest are plain services.
inline constexpr std::uint64_t kPoisonBody = 1'000'000;  ///< Bodies from here.
inline constexpr Duration kResumeWindow = std::chrono::seconds(3);

struct RunReport {
  std::vector<Violation> violations;
  std::size_t faults = 0;  ///< That hit something.
  std::size_t requests = 0;
  std::size_t done = 0;                      ///< Whole answers.
  std::size_t unanswered = 0;                ///< Their host died.
  std::map<std::string, std::size_t> codes;  ///< Final answers by error.
};

/// Runs a plan; the same plan and sabotage give the same report.
RunReport Run(const Plan& plan, const Sabotage& sabotage = {});

/// Seed and shortest fault list that still fails, one fault a line.
std::string Describe(const Plan& plan, const RunReport& report);

class Host;

/// What the parts of a run share.
struct World {
  World(const Plan& plan, const Sabotage& hooks);
  ~World();

  Host* Named(const HostName& name);
  /// The host that acts as steward of a target now, and the second one while a
  /// fault makes two.
  std::vector<Host*> StewardsOf(std::uint32_t target);
  /// A host that a caller's address answer names; the answer may be old.
  Host* AnswerFor(std::uint64_t choice);
  void RefreshAnswers();
  std::uint32_t TargetNumber(const TargetName& name) const;
  /// A cancel that the owner did not ask for reaches the target.
  void SweepCancel(std::uint32_t target, const AttemptId& attempt);

  const Sabotage& sabotage;
  Network network;
  Checks checks;
  testing::ClaimStore store;
  std::vector<std::unique_ptr<FakeTarget>> targets;
  std::vector<std::unique_ptr<Host>> hosts;
  /// Address answers of the last second, latest first.
  std::deque<std::vector<Host*>> answers;
};

}  // namespace comfreyflow::explore
