// The promises under seeded faults, and the proof that the exploration bites:
// each deliberate fault below is found.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "explore/plan.h"
#include "explore/sabotage.h"
#include "explore/world.h"

using namespace comfreyflow;           // NOLINT(google-build-using-namespace)
using namespace comfreyflow::explore;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::uint64_t kCleanSeeds = 2000;
constexpr std::uint64_t kSearchSeeds = 3000;

/// A sabotage may keep state; each run gets a fresh one.
using MakeSabotage = std::function<Sabotage()>;

bool Breaks(const RunReport& report, Promise promise) {
  return std::any_of(report.violations.begin(), report.violations.end(),
                     [promise](const Violation& violation) {
                       return violation.promise == promise;
                     });
}

/// The first plan with which the sabotage breaks the promise.
std::optional<Plan> Find(const MakeSabotage& make, Promise promise) {
  for (std::uint64_t seed = 1; seed <= kSearchSeeds; ++seed) {
    const Plan plan = MakePlan(seed);
    if (Breaks(Run(plan, make()), promise)) return plan;
  }
  return std::nullopt;
}

void CheckFound(const MakeSabotage& make, Promise promise) {
  const auto plan = Find(make, promise);
  REQUIRE(plan.has_value());
  const auto fails = [&](const Plan& shorter) {
    return Breaks(Run(shorter, make()), promise);
  };
  const Plan shortest = Shrink(*plan, fails);
  CHECK(fails(shortest));
  CHECK(shortest.faults.size() <= plan->faults.size());
  MESSAGE("found: ", Describe(shortest, Run(shortest, make())));
}

}  // namespace

TEST_CASE("no promise breaks under seeded faults") {
  std::size_t faults = 0;
  std::size_t done = 0;
  for (std::uint64_t seed = 1; seed <= kCleanSeeds; ++seed) {
    const Plan plan = MakePlan(seed);
    const RunReport report = Run(plan);
    faults += report.faults;
    done += report.done;
    if (report.violations.empty()) continue;
    const Plan shortest = Shrink(plan, [](const Plan& shorter) {
      return !Run(shorter).violations.empty();
    });
    FAIL_CHECK(Describe(shortest, Run(shortest)));
  }
  CHECK(faults > 2 * kCleanSeeds);
  CHECK(done > 5 * kCleanSeeds);
}

TEST_CASE("a run is the same each time") {
  const Plan plan = MakePlan(17);
  const RunReport first = Run(plan);
  const RunReport second = Run(plan);
  CHECK(first.codes == second.codes);
  CHECK(first.requests == second.requests);
}

TEST_CASE("found: a lost answer is taken for a created slot") {
  const auto make = [] {
    Sabotage sabotage;
    auto creates = std::make_shared<std::set<std::uint64_t>>();
    sabotage.claim_command = [creates](ClaimCommand& command) {
      const auto* create = std::get_if<StoreCreate>(&command);
      if (create != nullptr) creates->insert(create->op);
      return true;
    };
    sabotage.claim_event = [creates](ClaimEvent& event) {
      auto* answer = std::get_if<StoreAnswered>(&event);
      if (answer != nullptr && answer->result == StoreResult::kNoAnswer &&
          creates->contains(answer->op)) {
        answer->result = StoreResult::kOk;
      }
      return true;
    };
    return sabotage;
  };
  CheckFound(make, Promise::kAtMostOnce);
}

TEST_CASE("found: the claim of a silent holder is taken over") {
  const auto make = [] {
    Sabotage sabotage;
    sabotage.entry_event = [](EntryEvent& event) {
      auto* answer = std::get_if<ClaimAnswered>(&event);
      if (answer != nullptr &&
          answer->verdict == ClaimVerdict::kDuplicateUnknown) {
        answer->verdict = ClaimVerdict::kClaimed;
      }
      return true;
    };
    return sabotage;
  };
  CheckFound(make, Promise::kAtMostOnce);
}

TEST_CASE("found: slots are written without the condition") {
  const auto make = [] {
    Sabotage sabotage;
    sabotage.store_overwrites = true;
    return sabotage;
  };
  CheckFound(make, Promise::kAtMostOnce);
}

TEST_CASE("found: a failed holder frees its key") {
  const auto make = [] {
    Sabotage sabotage;
    sabotage.entry_command = [](EntryCommand& command) {
      auto* record = std::get_if<RecordOutcome>(&command);
      if (record != nullptr && record->outcome != Outcome::kDone) {
        record->outcome = Outcome::kNotRun;
      }
      return true;
    };
    return sabotage;
  };
  CheckFound(make, Promise::kAtMostOnce);
}

TEST_CASE("found: the store's silence is no reason to refuse") {
  const auto make = [] {
    Sabotage sabotage;
    sabotage.entry_event = [](EntryEvent& event) {
      auto* answer = std::get_if<ClaimAnswered>(&event);
      if (answer != nullptr && answer->verdict == ClaimVerdict::kUnavailable) {
        answer->verdict = ClaimVerdict::kClaimed;
      }
      return true;
    };
    return sabotage;
  };
  CheckFound(make, Promise::kAtMostOnce);
}

TEST_CASE("found: what may not be repeated is treated as repeatable") {
  const auto make = [] {
    Sabotage sabotage;
    sabotage.entry_event = [](EntryEvent& event) {
      auto* arrived = std::get_if<RequestArrived>(&event);
      if (arrived != nullptr) arrived->info.repeatable = true;
      return true;
    };
    return sabotage;
  };
  CheckFound(make, Promise::kAtMostOnce);
}

TEST_CASE("found: a call is sent again after its first byte") {
  const auto make = [] {
    Sabotage sabotage;
    sabotage.resend_broken = true;
    return sabotage;
  };
  CheckFound(make, Promise::kAtMostOnce);
}

TEST_CASE("found: a broken connection counts as not run") {
  const auto make = [] {
    Sabotage sabotage;
    sabotage.entry_event = [](EntryEvent& event) {
      auto* failed = std::get_if<StreamFailed>(&event);
      if (failed != nullptr) failed->not_run = true;
      return true;
    };
    return sabotage;
  };
  CheckFound(make, Promise::kNotRunIsTrue);
}

TEST_CASE("found: unknown is told as not run") {
  const auto make = [] {
    Sabotage sabotage;
    sabotage.entry_command = [](EntryCommand& command) {
      auto* finish = std::get_if<Finish>(&command);
      if (finish != nullptr && finish->outcome == Outcome::kUnknown) {
        finish->outcome = Outcome::kNotRun;
      }
      return true;
    };
    return sabotage;
  };
  CheckFound(make, Promise::kNotRunIsTrue);
}

TEST_CASE("found: a call is sent on a connection that was given up") {
  const auto make = [] {
    Sabotage sabotage;
    sabotage.send_late = true;
    return sabotage;
  };
  CheckFound(make, Promise::kNotRunIsTrue);
}

TEST_CASE("found: stale and doubled chunks reach the caller") {
  const auto make = [] {
    Sabotage sabotage;
    sabotage.forward_unasked = true;
    return sabotage;
  };
  CheckFound(make, Promise::kOwnAnswer);
}

TEST_CASE("found: the end of a stream is believed whatever its length") {
  const auto make = [] {
    Sabotage sabotage;
    auto told = std::make_shared<std::map<AttemptId, std::uint64_t>>();
    sabotage.entry_event = [told](EntryEvent& event) {
      if (const auto* chunk = std::get_if<ChunkArrived>(&event)) {
        (*told)[chunk->attempt] = chunk->offset + chunk->length;
      }
      auto* end = std::get_if<StreamEnded>(&event);
      if (end != nullptr) end->total_bytes = (*told)[end->attempt];
      return true;
    };
    return sabotage;
  };
  CheckFound(make, Promise::kOwnAnswer);
}

TEST_CASE("found: the final answer is given twice") {
  const auto make = [] {
    Sabotage sabotage;
    sabotage.answer_twice = true;
    return sabotage;
  };
  CheckFound(make, Promise::kOneFinalAnswer);
}

TEST_CASE("found: cancels are dropped") {
  const auto make = [] {
    Sabotage sabotage;
    sabotage.sweep_command = [](SweepCommand& command) {
      return !std::holds_alternative<CancelOnTarget>(command);
    };
    return sabotage;
  };
  CheckFound(make, Promise::kNoLeak);
}

TEST_CASE("found: silence is taken for the death of an owner") {
  const auto make = [] {
    Sabotage sabotage;
    sabotage.sweep_event = [](SweepEvent& event) {
      const auto* lost = std::get_if<OwnerLost>(&event);
      if (lost != nullptr) {
        event = OwnerAlive{lost->host, {lost->incarnation.value + 1'000'000}};
      }
      auto* answered = std::get_if<OwnerAnswered>(&event);
      return answered == nullptr;
    };
    return sabotage;
  };
  CheckFound(make, Promise::kLiveStreamKept);
}

TEST_CASE("found: a leaving target is not noticed") {
  const auto make = [] {
    Sabotage sabotage;
    sabotage.ignore_leaving = true;
    return sabotage;
  };
  CheckFound(make, Promise::kLeavingTarget);
}

TEST_CASE("found: a planned stop ends the process at once") {
  const auto make = [] {
    Sabotage sabotage;
    sabotage.stop_at_once = true;
    return sabotage;
  };
  CheckFound(make, Promise::kPlannedStop);
}

TEST_CASE("found: crashes are not counted") {
  const auto make = [] {
    Sabotage sabotage;
    sabotage.entry_event = [](EntryEvent& event) {
      auto* failed = std::get_if<StreamFailed>(&event);
      if (failed != nullptr) failed->crashed = false;
      return true;
    };
    return sabotage;
  };
  CheckFound(make, Promise::kPoison);
}

TEST_CASE("found: a slow append is not checked against the trim mark") {
  const auto make = [] {
    Sabotage sabotage;
    sabotage.claim_settings = [](ClaimSettings& settings) {
      settings.max_confirmation_age = std::chrono::hours(1);
    };
    return sabotage;
  };
  CheckFound(make, Promise::kAtMostOnce);
}

TEST_CASE("found: the deadline is not watched") {
  const auto make = [] {
    Sabotage sabotage;
    sabotage.entry_event = [](EntryEvent& event) {
      return !std::holds_alternative<Tick>(event);
    };
    return sabotage;
  };
  CheckFound(make, Promise::kOneFinalAnswer);
}
