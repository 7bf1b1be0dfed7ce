/// Where a request goes: orders the targets of a service by the estimated time
/// to first token, keeps long prefills off the engines kept for short work,
/// and names gangs for prompts longer than one engine's memory.
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
  FailureDomain failure_domain;
  std::uint64_t seed = 0;
  /// Uncached prompt tokens from which a request counts as long.
  std::uint32_t long_tokens = 16'000;
  /// Targets drawn at random for one placement.
  std::uint32_t samples = 6;
  /// Candidates returned at most.
  std::uint32_t max_candidates = 4;
  /// Longest gang, in targets.
  std::uint32_t max_gang = 4;
  /// Share of an engine's memory that one request may take, in per cent; what
  /// takes more goes to a gang.
  std::uint32_t max_kv_percent = 90;
  /// Share of an engine's memory that a gang takes of each member at most.
  std::uint32_t gang_kv_percent = 90;
  /// Share of it from which a request counts as huge.
  std::uint32_t huge_kv_percent = 25;
  Duration hop_same = std::chrono::microseconds(200);
  Duration hop_other = std::chrono::microseconds(1500);
  Duration resize_period = std::chrono::seconds(5);
};

struct Candidate {
  TargetName target;
  Duration cost{};  ///< Estimated time to first token.
  Duration wait{};  ///< The part of it spent waiting at the target.
  std::uint32_t uncached_tokens = 0;
  std::uint64_t kv_tokens = 0;  ///< Memory to ask of this target.
  bool prefills = true;         ///< Of a gang, only its leader does.
};

struct Placement {
  enum class Kind : std::uint8_t {
    kCandidates,  ///< Any one of `candidates`, best first.
    kGang,        ///< All of `candidates`, reserved in the order given.
    kWait,        ///< Targets exist, none can take it now.
    kNoTarget,    ///< No target serves the request.
    kTooLong,     ///< No gang of allowed size holds the prompt.
  };
  Kind kind = Kind::kNoTarget;
  PromptClass length = PromptClass::kShort;
  std::vector<Candidate> candidates;
};

class Router {
 public:
  explicit Router(RouterSettings settings);

  void UpsertTarget(const TargetInfo& info);
  void RemoveTarget(const TargetName& target);
  void CloseTarget(const TargetName& target);
  void ApplyReport(const TargetReport& report, Time now);
  /// True when the target's whole list of blocks should be fetched.
  bool ApplyPrefixEvents(const TargetName& target, bool whole_list,
                         const std::vector<PrefixEvent>& events,
                         std::uint64_t next);

  /// Orders targets for a request, without those of `excluded`. A request's
  /// first placement, but not its later ones, counts as demand.
  Placement Place(const RequestInfo& info,
                  const std::vector<TargetName>& excluded, bool first,
                  Time now);
  /// Length class of a request by the best cached part of its prefix.
  PromptClass Classify(const RequestInfo& info);
  /// Prompt tokens left to prefill at the target that holds most of them.
  std::uint32_t UncachedAtBest(const RequestInfo& info);

  /// The request goes to the target, which counts until `Ended`.
  void Sent(const AttemptId& attempt, const RequestInfo& info,
            const Candidate& candidate, Time now);
  void FirstToken(const AttemptId& attempt, const TargetName& target);
  /// The attempt is off the target; `whole` when it got its whole answer.
  void Ended(const AttemptId& attempt, const TargetName& target,
             const RequestInfo& info, bool whole);
  /// The target's steward refused, as its engine starts nothing for `wait`.
  void Refused(const TargetName& target, Duration wait, Time now);

  /// Resizes the short and long parts when due.
  void Tick(Time now);

  RateModel& rates() { return rates_; }
  std::size_t targets() const { return by_name_.size(); }
  /// Engines kept for short work in the service's part.
  std::size_t short_part(const ServiceName& service) const;

 private:
  struct InFlight {
    Time sent;
    std::uint32_t uncached_tokens = 0;
    std::uint64_t kv_tokens = 0;
    bool first_token = false;
  };
  /// What is known of a target. Invariant: `own` holds this host's attempts
  /// on it; those sent after `as_of` are not in the report.
  struct State {
    TargetInfo info;
    bool open = false;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::uint32_t running = 0;
    std::uint64_t kv_used = 0;
    Time as_of;          ///< When the report was made, by this host's clock.
    Time clear_at;       ///< When the prefills known of are estimated done.
    Time refused_until;  ///< By its steward's word.
    std::map<AttemptId, InFlight> own;
    std::uint32_t unreported_running = 0;
    std::uint64_t unreported_kv = 0;
  };
  /// Where a prefix whose hash is at most `at` has its home.
  struct RingPoint {
    std::uint64_t at = 0;
    TargetSlot slot = 0;
    auto operator<=>(const RingPoint&) const = default;
  };
  /// The targets of one service. Invariant: `members` is sorted by hash of
  /// the name; the first `short_count` of them are the short part; each part
  /// has its ring.
  struct Group {
    std::vector<TargetSlot> members;
    std::vector<RingPoint> short_ring;
    std::vector<RingPoint> long_ring;
    std::size_t short_count = 0;
    double short_tokens = 0;  ///< Demand seen, decayed.
    double long_tokens = 0;
    Time resized;
  };
  /// One request while it is placed.
  struct Search {
    const RequestInfo& info;
    const std::vector<TargetName>& excluded;
    std::vector<PrefixHit> hits;
    std::vector<TargetSlot> homes;  ///< Of its prefix, the first one first.
    PromptClass length = PromptClass::kShort;
    Time now;
  };

  State* Find(const TargetName& target);
  Group* GroupOf(const RequestInfo& info);
  std::uint64_t Capacity(const Group& group) const;
  PromptClass ClassOf(const RequestInfo& info, const Group& group,
                      const std::vector<PrefixHit>& hits) const;
  std::uint32_t Uncached(const Search& search, TargetSlot slot) const;
  Duration HomeCredit(const Search& search, TargetSlot slot) const;
  Candidate Cost(const Search& search, TargetSlot slot, std::uint64_t kv) const;
  bool Usable(const Search& search, TargetSlot slot) const;
  bool InPart(const Group& group, TargetSlot slot, PromptClass length) const;
  void FindHomes(const Group& group, Search& search) const;
  std::vector<TargetSlot> Draw(const Group& group, const Search& search);
  /// Usable targets of `slots`, cheapest first.
  std::vector<Candidate> Rank(const Group& group, const Search& search,
                              const std::vector<TargetSlot>& slots,
                              std::uint64_t kv, bool any_part) const;
  std::vector<Candidate> Best(const Group& group, Search& search,
                              std::uint64_t kv, std::size_t least,
                              std::size_t most);
  Placement PlaceGang(const Group& group, Search& search);
  void Demand(Group& group, const Search& search);
  void Resize(Group& group, Time now);
  void Split(Group& group, std::size_t short_count);
  void AddHomes(const std::vector<RingPoint>& ring, std::uint64_t root,
                std::vector<TargetSlot>& out) const;
  void Recount(State& state);

  RouterSettings settings_;
  std::mt19937_64 random_;
  RateModel rates_;
  PrefixIndex prefixes_;
  std::vector<State> states_;
  std::vector<std::size_t> position_;  ///< Of each slot inside its group.
  std::map<TargetName, TargetSlot> by_name_;
  std::map<ServiceName, Group> groups_;
};

/// Priority on the wire to an engine, 0..2: short work first, and of long work
/// the urgent before the rest.
std::uint8_t EnginePriority(Urgency urgency, PromptClass length);

}  // namespace comfreyflow
