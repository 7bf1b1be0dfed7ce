// Policies of the replay by name.
#include "core/replay/baselines.h"
#include "core/replay/entry-host.h"
#include "core/replay/ours.h"
#include "core/replay/policy.h"

namespace comfreyflow::replay {
namespace {

constexpr char kFirstCome[] = "first-come";
constexpr char kLeastLoaded[] = "least-loaded";
constexpr char kTwoChoices[] = "two-choices";
constexpr char kOurs[] = "ours";
/// Our dispatcher without the rest of the entry role.
constexpr char kDispatcher[] = "ours-dispatcher";

}  // namespace

const std::vector<std::string>& Baselines() {
  static const std::vector<std::string> names{kFirstCome, kLeastLoaded,
                                              kTwoChoices};
  return names;
}

PolicySetup SetupOf(const std::string& name) {
  PolicySetup setup;
  setup.name = name;
  setup.central = name == kFirstCome;
  setup.stewards = name.starts_with(kOurs);
  return setup;
}

std::unique_ptr<HostPolicy> MakeHost(const std::string& name,
                                     const FailureDomain& home,
                                     std::uint64_t seed,
                                     const FleetSetup& fleet) {
  const std::uint64_t kv = fleet.engine.kv_tokens;
  if (name == kFirstCome) {
    return MakeBaseline(BaselineKind::kFirstCome, seed, kv);
  }
  if (name == kLeastLoaded) {
    return MakeBaseline(BaselineKind::kLeastLoaded, seed, kv);
  }
  if (name == kTwoChoices) {
    return MakeBaseline(BaselineKind::kTwoChoices, seed, kv);
  }
  DispatcherSettings settings;
  settings.router.failure_domain = home;
  settings.router.seed = seed;
  settings.router.hop_same = fleet.hop_same;
  settings.router.hop_other = fleet.hop_other;
  if (name == kDispatcher) return std::make_unique<OursHost>(settings);
  if (name == kOurs) {
    EntrySettings entry;
    entry.seed = seed;
    entry.dispatcher = settings;
    return std::make_unique<EntryHost>(entry);
  }
  return nullptr;
}

}  // namespace comfreyflow::replay
