/// Selects targets for requests. Orders the targets of a service by the
/// estimated time to first token, keeps long prefills off the engines reserved
/// for short work, and forms gangs for prompts that exceed the memory of one
/// engine.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "comfreyflow/cost.h"
#include "comfreyflow/prefix.h"
#include "comfreyflow/target.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

struct RouterSettings {
  FailureDomain failure_domain;  ///< Of this host.
  std::uint64_t seed = 0;
  /// Uncached prompt tokens from which a request counts as long.
  std::uint32_t long_tokens = 16'000;
  /// Number of random targets considered for one placement.
  std::uint32_t samples = 6;
  /// Maximum number of candidates returned.
  std::uint32_t max_candidates = 4;
  /// Maximum number of targets in a gang.
  std::uint32_t max_gang = 4;
  /// Maximum share of an engine's memory that one request may take, in per
  /// cent. Larger requests are placed on a gang.
  std::uint32_t max_kv_percent = 90;
  /// Maximum share of the memory of each member that a gang takes, in per cent.
  std::uint32_t gang_kv_percent = 90;
  /// Share of an engine's memory above which a request counts as huge, in per
  /// cent.
  std::uint32_t huge_kv_percent = 25;
  /// Network time to a target in the same or in another failure domain.
  Duration hop_same = std::chrono::microseconds(200);
  Duration hop_other = std::chrono::microseconds(1500);
  /// Interval at which the short and long parts are resized.
  Duration resize_period = std::chrono::seconds(5);
};

/// A target that can take a request, with the estimated cost.
struct Candidate {
  TargetName target;
  Duration cost{};  ///< Estimated time to first token.
  Duration wait{};  ///< Part of `cost` spent waiting at the target.
  std::uint32_t uncached_tokens = 0;
  std::uint64_t kv_tokens = 0;  ///< Memory to request from this target.
  bool prefills = true;         ///< In a gang, only the leader prefills.
};

/// Result of placing a request.
struct Placement {
  enum class Kind : std::uint8_t {
    kCandidates,  ///< Use one of `candidates`, cheapest first.
    kGang,        ///< Reserve all of `candidates` in this order.
    kWait,        ///< Targets exist, but cannot take it now.
    kNoTarget,    ///< No target serves the request.
    kTooLong,     ///< The prompt exceeds the largest allowed gang.
  };
  Kind kind = Kind::kNoTarget;
  PromptClass length = PromptClass::kShort;
  std::vector<Candidate> candidates;
};

/// Tracks the targets of all services and selects targets for requests.
class Router {
 public:
  explicit Router(RouterSettings settings);

  /// Adds, reopens or updates a target.
  void UpsertTarget(const TargetInfo& info);
  /// Closes a target and forgets its prefixes.
  void RemoveTarget(const TargetName& target);
  /// Stops placing requests on a target until it is added again.
  void CloseTarget(const TargetName& target);
  /// Applies a load report unless a later one was applied before.
  void ApplyReport(const TargetReport& report, Time now);
  /// Applies prefix cache events, or a complete list of blocks. Returns true if
  /// the complete list should be fetched from the target.
  bool ApplyPrefixEvents(const TargetName& target, bool is_complete_list,
                         const std::vector<PrefixEvent>& events,
                         std::uint64_t next);

  /// Selects targets for a request, without those in `excluded`. Only the first
  /// placement of a request counts as demand.
  Placement Place(const RequestInfo& info,
                  const std::vector<TargetName>& excluded,
                  bool is_first_placement, Time now);
  /// Length class of a request, given the longest cached part of its prefix.
  PromptClass Classify(const RequestInfo& info);
  /// Prompt tokens left to prefill at the target with the longest cached
  /// prefix.
  std::uint32_t UncachedAtBest(const RequestInfo& info);

  /// Counts an attempt that is sent to a target until `Ended`.
  void Sent(const AttemptId& attempt, const RequestInfo& info,
            const Candidate& candidate, Time now);
  void FirstToken(const AttemptId& attempt, const TargetName& target);
  /// Stops counting an attempt. `complete` if its response was complete.
  void Ended(const AttemptId& attempt, const TargetName& target,
             const RequestInfo& info, bool complete);
  /// Records that the target's steward refused a request, as its engine will
  /// not start work for `wait`.
  void Refused(const TargetName& target, Duration wait, Time now);

  /// Resizes the short and long parts if due.
  void Tick(Time now);

  RateModel& rates() { return rates_; }
  std::size_t targets() const { return by_name_.size(); }
  /// Number of engines of the service that are reserved for short work.
  std::size_t short_part(const ServiceName& service) const;

 private:
  /// An attempt that this host sent to a target.
  struct InFlight {
    Time sent_at;
    std::uint32_t uncached_tokens = 0;
    std::uint64_t kv_tokens = 0;
    bool has_first_token = false;
  };
  /// State of a target. Invariant: `local_attempts` holds the attempts of this
  /// host on the target. Those sent after `reported_at` are not in the report.
  struct State {
    TargetInfo info;
    bool is_open = false;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::uint32_t running = 0;
    std::uint64_t kv_used = 0;
    Time reported_at;      ///< Creation of the report, by the local clock.
    Time prefill_done_at;  ///< Estimated end of all known prefills.
    Time refused_until;    ///< As reported by its steward.
    std::map<AttemptId, InFlight> local_attempts;
    std::uint32_t unreported_running = 0;
    std::uint64_t unreported_kv = 0;
  };
  /// Point on a consistent-hash ring. The home of a prefix is the target of the
  /// first point whose hash is not less than that of the prefix.
  struct RingPoint {
    std::uint64_t hash = 0;
    TargetSlot slot = 0;
    auto operator<=>(const RingPoint&) const = default;
  };
  /// The targets of one service. Invariant: `members` is sorted by the hash of
  /// the name, its first `short_count` elements are the short part, and each
  /// part has its own ring.
  struct Group {
    std::vector<TargetSlot> members;
    std::vector<RingPoint> short_ring;
    std::vector<RingPoint> long_ring;
    std::size_t short_count = 0;
    double short_tokens = 0;  ///< Recent demand, decayed exponentially.
    double long_tokens = 0;
    Time resized_at;
  };
  /// A request while it is being placed.
  struct Search {
    const RequestInfo& info;
    const std::vector<TargetName>& excluded;
    std::vector<PrefixHit> hits;
    std::vector<TargetSlot> homes;  ///< Homes of the prefix, in ring order.
    PromptClass length = PromptClass::kShort;
    Time now;
  };

  State* Find(const TargetName& target);
  Group* GroupOf(const RequestInfo& info);
  std::uint64_t Capacity(const Group& group) const;
  PromptClass ClassOf(const RequestInfo& info, const Group& group,
                      const std::vector<PrefixHit>& hits) const;
  std::uint32_t UncachedTokens(const Search& search, TargetSlot slot) const;
  Duration HomeCredit(const Search& search, TargetSlot slot) const;
  Candidate Estimate(const Search& search, TargetSlot slot,
                     std::uint64_t kv) const;
  bool IsUsable(const Search& search, TargetSlot slot) const;
  bool IsInPart(const Group& group, TargetSlot slot, PromptClass length) const;
  void FindHomes(const Group& group, Search& search) const;
  std::vector<TargetSlot> SampleTargets(const Group& group,
                                        const Search& search);
  /// Returns the usable targets of `slots`, cheapest first.
  std::vector<Candidate> Rank(const Group& group, const Search& search,
                              const std::vector<TargetSlot>& slots,
                              std::uint64_t kv, bool any_part) const;
  std::vector<Candidate> SelectCandidates(const Group& group, Search& search,
                                          std::uint64_t kv,
                                          std::size_t min_count,
                                          std::size_t max_count);
  Placement PlaceGang(const Group& group, Search& search);
  void RecordDemand(Group& group, const Search& search);
  void Resize(Group& group, Time now);
  void SetShortCount(Group& group, std::size_t short_count);
  void AddRingTargets(const std::vector<RingPoint>& ring, std::uint64_t root,
                      std::vector<TargetSlot>& out) const;
  void RecountUnreported(State& state);

  RouterSettings settings_;
  std::mt19937_64 random_;
  RateModel rates_;
  PrefixIndex prefixes_;
  std::vector<State> states_;
  std::vector<std::size_t> position_;  ///< Position of each slot in its group.
  std::map<TargetName, TargetSlot> by_name_;
  std::map<ServiceName, Group> groups_;
};

/// Priority sent to an engine, 0 to 2: 2 for short work, 0 for long work of low
/// urgency and 1 for other long work.
std::uint8_t EnginePriority(Urgency urgency, PromptClass length);

}  // namespace comfreyflow
