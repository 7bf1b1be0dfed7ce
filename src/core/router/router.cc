// Tracks the state of targets and selects candidates for requests.
#include "comfreyflow/router.h"

#include <xxhash.h>

#include <algorithm>

namespace comfreyflow {
namespace {

/// Number of home engines of a prefix that are considered.
constexpr std::size_t kMaxHomes = 2;
/// Divisors of a prompt's prefill time that give the cost credit of its first
/// and its other homes.
constexpr int kFirstHomeCreditDivisor = 4;
constexpr int kOtherHomeCreditDivisor = 8;
/// Number of engines holding the prefix that are considered.
constexpr std::size_t kMaxPrefixHits = 3;
/// Number of engines of the long part that are considered for short work.
constexpr std::size_t kLongPartSamples = 3;
/// Wait assumed at a target whose slots or memory appear to be full.
constexpr Duration kFullTargetWait = std::chrono::seconds(1);

std::uint64_t KvTokens(const RequestInfo& info) {
  return std::uint64_t{info.prompt_tokens} + info.max_output_tokens;
}

std::uint64_t HashOf(const TargetName& name) {
  return XXH3_64bits(name.value.data(), name.value.size());
}

bool Contains(const std::vector<TargetName>& names, const TargetName& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

bool HasModel(const TargetInfo& target, const ModelName& model) {
  if (target.kind == TargetKind::kPlain) return true;
  const auto& models = target.models;
  return std::find(models.begin(), models.end(), model) != models.end();
}

void AddUnique(std::vector<TargetSlot>& slots, TargetSlot slot) {
  if (std::find(slots.begin(), slots.end(), slot) == slots.end()) {
    slots.push_back(slot);
  }
}

}  // namespace

std::uint8_t EnginePriority(Urgency urgency, PromptClass length) {
  if (length == PromptClass::kShort) return 2;
  return urgency == Urgency::kLow ? 0 : 1;
}

Router::Router(RouterSettings settings)
    : settings_(std::move(settings)), random_(settings_.seed) {}

void Router::UpsertTarget(const TargetInfo& info) {
  const auto [found, added] =
      by_name_.try_emplace(info.name, static_cast<TargetSlot>(states_.size()));
  const TargetSlot slot = found->second;
  if (added) {
    states_.emplace_back();
    position_.push_back(0);
  }
  State& state = states_[slot];
  if (state.is_open && state.info.service == info.service) {
    state.info = info;
    return;
  }
  state.info = info;
  state.is_open = true;
  Group& group = groups_[info.service];
  const std::uint64_t hash = HashOf(info.name);
  const auto at = std::find_if(group.members.begin(), group.members.end(),
                               [&](TargetSlot other) {
                                 return HashOf(states_[other].info.name) > hash;
                               });
  group.members.insert(at, slot);
  SetShortCount(group, group.short_count);
}

void Router::RemoveTarget(const TargetName& target) {
  State* state = Find(target);
  if (state == nullptr) return;
  CloseTarget(target);
  prefixes_.Forget(by_name_.at(target));
}

void Router::CloseTarget(const TargetName& target) {
  State* state = Find(target);
  if (state == nullptr || !state->is_open) return;
  state->is_open = false;
  Group& group = groups_[state->info.service];
  std::erase(group.members, by_name_.at(target));
  SetShortCount(group, group.short_count);
}

Router::State* Router::Find(const TargetName& target) {
  const auto found = by_name_.find(target);
  return found == by_name_.end() ? nullptr : &states_[found->second];
}

Router::Group* Router::GroupOf(const RequestInfo& info) {
  const auto found = groups_.find(info.service);
  if (found == groups_.end() || found->second.members.empty()) return nullptr;
  return &found->second;
}

void Router::ApplyReport(const TargetReport& report, Time now) {
  State* state = Find(report.target);
  if (state == nullptr) return;
  if (report.epoch < state->epoch) return;
  if (report.epoch == state->epoch && report.sequence <= state->sequence &&
      state->sequence != 0) {
    return;
  }
  if (report.epoch > state->epoch && state->epoch != 0) {
    prefixes_.Forget(by_name_.at(report.target));
  }
  state->epoch = report.epoch;
  state->sequence = report.sequence;
  if (report.kv_capacity != 0) state->info.kv_capacity = report.kv_capacity;
  if (report.max_running != 0) state->info.max_running = report.max_running;
  if (!report.models.empty()) state->info.models = report.models;
  state->running = report.running + report.waiting;
  state->kv_used = report.kv_used;
  state->reported_at = now - report.age;
  state->prefill_done_at =
      state->reported_at + rates_.Prefill(report.prefill_backlog_tokens);
  RecountUnreported(*state);
  if (report.closing) CloseTarget(report.target);
}

void Router::RecountUnreported(State& state) {
  state.unreported_running = 0;
  state.unreported_kv = 0;
  for (const auto& [attempt, local] : state.local_attempts) {
    if (local.sent_at < state.reported_at) continue;
    ++state.unreported_running;
    state.unreported_kv += local.kv_tokens;
    if (local.has_first_token) continue;
    state.prefill_done_at = std::max(state.prefill_done_at, local.sent_at) +
                            rates_.Prefill(local.uncached_tokens);
  }
}

bool Router::ApplyPrefixEvents(const TargetName& target, bool is_complete_list,
                               const std::vector<PrefixEvent>& events,
                               std::uint64_t next) {
  const auto found = by_name_.find(target);
  if (found == by_name_.end()) return false;
  if (!is_complete_list) return prefixes_.Apply(found->second, events, next);
  prefixes_.Resync(found->second, events, next);
  return false;
}

void Router::Sent(const AttemptId& attempt, const RequestInfo& info,
                  const Candidate& candidate, Time now) {
  State* state = Find(candidate.target);
  if (state == nullptr) return;
  state->local_attempts[attempt] = {now, candidate.uncached_tokens,
                                    candidate.kv_tokens, false};
  ++state->unreported_running;
  state->unreported_kv += candidate.kv_tokens;
  state->prefill_done_at = std::max(state->prefill_done_at, now) +
                           rates_.Prefill(candidate.uncached_tokens);
  prefixes_.RecordSent(by_name_.at(candidate.target), info.prefix);
}

void Router::FirstToken(const AttemptId& attempt, const TargetName& target) {
  State* state = Find(target);
  if (state == nullptr) return;
  const auto it = state->local_attempts.find(attempt);
  if (it != state->local_attempts.end()) it->second.has_first_token = true;
}

void Router::Ended(const AttemptId& attempt, const TargetName& target,
                   const RequestInfo& info, bool complete) {
  State* state = Find(target);
  if (state == nullptr) return;
  const auto it = state->local_attempts.find(attempt);
  if (it == state->local_attempts.end()) return;
  if (it->second.sent_at >= state->reported_at) {
    --state->unreported_running;
    state->unreported_kv -= it->second.kv_tokens;
  }
  const bool prefilled = it->second.has_first_token || complete;
  state->local_attempts.erase(it);
  if (!prefilled) prefixes_.RemoveAfter(by_name_.at(target), info.prefix, 0);
}

void Router::Refused(const TargetName& target, Duration wait, Time now) {
  State* state = Find(target);
  if (state == nullptr) return;
  state->refused_until = now + wait;
}

std::uint64_t Router::Capacity(const Group& group) const {
  std::uint64_t capacity = 0;
  for (std::size_t i = 0; i < std::min<std::size_t>(4, group.members.size());
       ++i) {
    const TargetSlot slot = group.members[group.members.size() - 1 - i];
    capacity = std::max(capacity, states_[slot].info.kv_capacity);
  }
  return capacity;
}

PromptClass Router::ClassOf(const RequestInfo& info, const Group& group,
                            const std::vector<PrefixHit>& hits) const {
  const std::uint64_t capacity = Capacity(group);
  if (capacity != 0 &&
      KvTokens(info) * 100 > capacity * settings_.huge_kv_percent) {
    return PromptClass::kHuge;
  }
  const std::uint32_t cached = hits.empty() ? 0 : hits.front().tokens;
  const std::uint32_t uncached =
      info.prompt_tokens - std::min(cached, info.prompt_tokens);
  return uncached < settings_.long_tokens ? PromptClass::kShort
                                          : PromptClass::kLong;
}

PromptClass Router::Classify(const RequestInfo& info) {
  const Group* group = GroupOf(info);
  if (group == nullptr) return PromptClass::kShort;
  return ClassOf(info, *group, prefixes_.Longest(info.prefix));
}

std::uint32_t Router::UncachedAtBest(const RequestInfo& info) {
  const auto hits = prefixes_.Longest(info.prefix);
  const std::uint32_t cached = hits.empty() ? 0 : hits.front().tokens;
  return info.prompt_tokens - std::min(cached, info.prompt_tokens);
}

std::uint32_t Router::UncachedTokens(const Search& search,
                                     TargetSlot slot) const {
  for (const PrefixHit& hit : search.hits) {
    if (hit.slot != slot) continue;
    return search.info.prompt_tokens -
           std::min(hit.tokens, search.info.prompt_tokens);
  }
  return search.info.prompt_tokens;
}

/// Cost reduction of the homes of a prefix. It brings requests with the same
/// prefix together on the engines that then have it cached.
Duration Router::HomeCredit(const Search& search, TargetSlot slot) const {
  const auto at = std::find(search.homes.begin(), search.homes.end(), slot);
  if (at == search.homes.end()) return Duration::zero();
  const Duration prefill = rates_.Prefill(search.info.prompt_tokens);
  return at == search.homes.begin() ? prefill / kFirstHomeCreditDivisor
                                    : prefill / kOtherHomeCreditDivisor;
}

Candidate Router::Estimate(const Search& search, TargetSlot slot,
                           std::uint64_t kv) const {
  const State& state = states_[slot];
  Candidate out;
  out.target = state.info.name;
  out.uncached_tokens = UncachedTokens(search, slot);
  out.kv_tokens = kv;
  const Time free_at = std::max(state.prefill_done_at, state.refused_until);
  out.wait = std::max(Duration::zero(), free_at - search.now);
  const auto& info = state.info;
  const bool slots_full =
      info.max_running != 0 &&
      state.running + state.unreported_running >= info.max_running;
  const bool memory_full =
      info.kv_capacity != 0 &&
      state.kv_used + state.unreported_kv + kv > info.kv_capacity;
  if (slots_full || memory_full) out.wait += kFullTargetWait;
  const Duration hop = info.failure_domain == settings_.failure_domain
                           ? settings_.hop_same
                           : settings_.hop_other;
  out.cost = out.wait + rates_.Prefill(out.uncached_tokens) + hop -
             HomeCredit(search, slot);
  return out;
}

bool Router::IsUsable(const Search& search, TargetSlot slot) const {
  const State& state = states_[slot];
  return state.is_open && HasModel(state.info, search.info.model) &&
         !Contains(search.excluded, state.info.name);
}

bool Router::IsInPart(const Group& group, TargetSlot slot,
                      PromptClass length) const {
  if (length == PromptClass::kShort) return true;
  return group.members.size() < 2 || position_[slot] >= group.short_count;
}

void Router::AddRingTargets(const std::vector<RingPoint>& ring,
                            std::uint64_t root,
                            std::vector<TargetSlot>& out) const {
  if (ring.empty()) return;
  auto at = std::lower_bound(ring.begin(), ring.end(), RingPoint{root, 0});
  for (std::size_t i = 0; i < kMaxHomes; ++i, ++at) {
    if (at == ring.end()) at = ring.begin();
    AddUnique(out, at->slot);
  }
}

void Router::FindHomes(const Group& group, Search& search) const {
  search.homes.clear();
  if (search.info.prefix.empty()) return;
  const bool is_short = search.length == PromptClass::kShort;
  AddRingTargets(is_short ? group.short_ring : group.long_ring,
                 search.info.prefix.front(), search.homes);
}

std::vector<TargetSlot> Router::SampleTargets(const Group& group,
                                              const Search& search) {
  std::vector<TargetSlot> out;
  const bool is_short = search.length == PromptClass::kShort;
  const std::size_t size = group.members.size();
  const std::size_t split = group.short_count;
  const auto add_sample = [&](std::size_t from, std::size_t to,
                              std::size_t count) {
    if (to - from <= count) {
      for (std::size_t i = from; i < to; ++i) AddUnique(out, group.members[i]);
      return;
    }
    std::uniform_int_distribution<std::size_t> pick(from, to - 1);
    for (std::size_t i = 0; i < count; ++i) {
      AddUnique(out, group.members[pick(random_)]);
    }
  };
  for (std::size_t i = 0; i < std::min(kMaxPrefixHits, search.hits.size());
       ++i) {
    if (states_[search.hits[i].slot].info.service == search.info.service) {
      AddUnique(out, search.hits[i].slot);
    }
  }
  for (const TargetSlot slot : search.homes) AddUnique(out, slot);
  if (is_short) {
    add_sample(0, split, settings_.samples);
    add_sample(split, size, kLongPartSamples);
  } else {
    add_sample(split, size, settings_.samples);
  }
  return out;
}

std::vector<Candidate> Router::Rank(const Group& group, const Search& search,
                                    const std::vector<TargetSlot>& slots,
                                    std::uint64_t kv, bool any_part) const {
  std::vector<Candidate> found;
  for (const TargetSlot slot : slots) {
    if (!IsUsable(search, slot)) continue;
    if (!any_part && !IsInPart(group, slot, search.length)) continue;
    const Candidate candidate = Estimate(search, slot, kv);
    const bool spills = candidate.uncached_tokens >= settings_.long_tokens &&
                        !IsInPart(group, slot, PromptClass::kLong);
    if (any_part || !spills) found.push_back(candidate);
  }
  std::stable_sort(
      found.begin(), found.end(),
      [](const Candidate& a, const Candidate& b) { return a.cost < b.cost; });
  return found;
}

/// If the sample holds fewer than `min_count` usable targets, all targets of
/// the part are considered, and then those of both parts: the targets of one
/// part may be too few, closed, excluded or without the model.
std::vector<Candidate> Router::SelectCandidates(const Group& group,
                                                Search& search,
                                                std::uint64_t kv,
                                                std::size_t min_count,
                                                std::size_t max_count) {
  FindHomes(group, search);
  auto found = Rank(group, search, SampleTargets(group, search), kv, false);
  if (found.size() < min_count) {
    found = Rank(group, search, group.members, kv, false);
  }
  if (found.size() < min_count) {
    found = Rank(group, search, group.members, kv, true);
  }
  if (found.size() > max_count) found.resize(max_count);
  return found;
}

Placement Router::PlaceGang(const Group& group, Search& search) {
  const std::uint64_t capacity =
      Capacity(group) * settings_.gang_kv_percent / 100;
  const std::uint64_t total = KvTokens(search.info);
  const std::uint64_t members = (total + capacity - 1) / capacity;
  Placement out;
  out.length = PromptClass::kHuge;
  out.kind = Placement::Kind::kTooLong;
  if (members > settings_.max_gang || members > group.members.size()) {
    return out;
  }
  const std::uint64_t share = (total + members - 1) / members;
  out.candidates = SelectCandidates(group, search, share, members, members);
  if (out.candidates.size() < members) {
    out.candidates.clear();
    out.kind = Placement::Kind::kWait;
    return out;
  }
  // The cheapest member leads. All hosts request the grants of a gang in the
  // same order, by target name.
  for (std::size_t i = 1; i < out.candidates.size(); ++i) {
    out.candidates[i].prefills = false;
  }
  std::sort(out.candidates.begin(), out.candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.target < b.target;
            });
  out.kind = Placement::Kind::kGang;
  return out;
}

Placement Router::Place(const RequestInfo& info,
                        const std::vector<TargetName>& excluded,
                        bool is_first_placement, Time now) {
  Group* group = GroupOf(info);
  if (group == nullptr) return {};
  Search search{info, excluded, prefixes_.Longest(info.prefix)};
  search.length = ClassOf(info, *group, search.hits);
  search.now = now;
  if (is_first_placement) RecordDemand(*group, search);
  const std::uint64_t max_kv_tokens =
      Capacity(*group) * settings_.max_kv_percent / 100;
  if (max_kv_tokens != 0 && KvTokens(info) > max_kv_tokens) {
    return PlaceGang(*group, search);
  }
  Placement out;
  out.length = search.length;
  out.candidates = SelectCandidates(*group, search, KvTokens(info), 1,
                                    settings_.max_candidates);
  out.kind = out.candidates.empty() ? Placement::Kind::kNoTarget
                                    : Placement::Kind::kCandidates;
  return out;
}

}  // namespace comfreyflow
