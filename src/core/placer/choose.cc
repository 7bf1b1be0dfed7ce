// Which targets take a request.
#include <algorithm>
#include <cmath>

#include "comfreyflow/placer.h"

namespace comfreyflow {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

/// Prompts that take longer to read alone count as long: other streams on the
/// engine would pause for about this time.
constexpr Duration kLongRead = milliseconds(200);
/// Unread short prompts on one engine at most, in reading time.
constexpr Duration kReadBacklog = milliseconds(110);
/// Streams packed on an engine before another one is opened.
constexpr std::uint32_t kPackedStreams = 13;
/// Share of an engine's memory that is planned for.
constexpr double kMemoryShare = 0.95;
/// Engines that read one prompt at most, the first one included.
constexpr std::size_t kMaxReaders = 17;
/// Shares of the time left to the objective that reading may take: what is
/// aimed at, and what is still accepted.
constexpr double kAimedReadShare = 0.6;
constexpr double kAcceptedReadShare = 0.92;
/// From the end of reading to the caller: the first event's steps and the way.
constexpr Duration kFirstEventMargin = milliseconds(120);
/// Part of a stream's longest pause that is left for what is not counted.
constexpr Duration kPauseMargin = milliseconds(60);
/// A target whose pace is beyond this is used only if no other is free.
constexpr double kSlowPace = 1.9;
/// Demand of short prompts is averaged over this time.
constexpr Duration kShortMemory = milliseconds(800);
/// Share of its time that an engine of short streams spends on reading; beyond
/// it pauses grow out of bounds.
constexpr double kShortReadShare = 0.3;
/// Shares of the engines that are left to short streams at least and at most.
constexpr double kLeastShortShare = 0.09;
constexpr double kMostShortShare = 0.82;
/// Share of the engines that short streams leave to long prompts which have
/// waited for `kLongPatience`.
constexpr double kLeastLongShare = 0.18;
constexpr Duration kLongPatience = milliseconds(250);
/// Unread short prompts on one engine beyond which others wait for a free one.
constexpr Duration kReadLimit = milliseconds(260);
constexpr Duration kPaceMemory = std::chrono::seconds(3);
constexpr double kTolerableErrors = 0.3;
/// Orders that memory set aside at a target takes: to hold it, to renew it once
/// or twice, to give it back.
constexpr double kOrdersOfReservation = 4;

}  // namespace

Duration Placer::ReadTime(std::uint64_t tokens) const {
  const double n = static_cast<double>(tokens);
  const double pairs = n * n / 2 / 1e6;
  const Seconds linear(n / std::max(1.0, engine_->prefill_per_second));
  return duration_cast<Duration>(
      linear + pairs * Seconds(engine_->prefill_per_1m_pairs));
}

/// Long to read, or too large for one engine: both need engines of their own.
bool Placer::IsLong(const Work& work) const {
  return work.read > kLongRead || EnginesToHold(work.job) > 1;
}

/// Engines whose whole memory holds the prompt and its answer.
std::size_t Placer::EnginesToHold(const PlaceJob& job) const {
  if (!engine_ || engine_->memory_tokens == 0) return 1;
  const double wanted = double{0} + job.prompt_tokens + job.output_tokens;
  const double each =
      kMemoryShare * static_cast<double>(engine_->memory_tokens);
  return static_cast<std::size_t>(std::max(1.0, std::ceil(wanted / each)));
}

/// Whether no gang could hold the prompt, however free its engines are.
bool Placer::TooLarge(const PlaceJob& job) const {
  return job.stream && EnginesToHold(job) > kMaxReaders;
}

/// Shortest time to the first event or answer, on targets that are free.
Duration Placer::LeastTime(const Work& work) const {
  if (!engine_ || !work.job.stream) return kLeastService;
  const std::size_t readers =
      IsLong(work) ? std::clamp<std::size_t>(Engines(), 1, kMaxReaders) : 1;
  return kLeastService + work.read / static_cast<int>(readers) +
         engine_->step * engine_->event_tokens;
}

/// Whether the target is there for work, free or not.
bool Placer::TakesWork(const Target& target) {
  return target.listed && !target.info.leaving && !target.replaced;
}

std::size_t Placer::Engines() const {
  return static_cast<std::size_t>(
      std::count_if(targets_.begin(), targets_.end(),
                    [](const auto& entry) { return TakesWork(entry.second); }));
}

/// Averages the demand of short prompts over about `kShortMemory`.
void Placer::NoteShort(Duration read, Time now) {
  const Seconds memory(kShortMemory);
  const Seconds passed = std::min<Seconds>(now - short_noted_, 10 * memory);
  short_reads_ *= std::exp(-passed / memory);
  short_reads_ += Seconds(read) / memory;
  short_noted_ = now;
}

/// Engines that long prompts leave to short ones.
std::size_t Placer::ShortReserve(Time now) const {
  const Seconds memory(kShortMemory);
  const Seconds passed = std::min<Seconds>(now - short_noted_, 10 * memory);
  const double reads = short_reads_ * std::exp(-passed / memory);
  std::uint32_t streams = 0;
  std::size_t engines = 0;
  for (const auto& [name, target] : targets_) {
    if (!TakesWork(target)) continue;
    ++engines;
    streams += target.shorts;
  }
  const double wanted = std::max(reads / kShortReadShare,
                                 static_cast<double>(streams) / kPackedStreams);
  const double least = kLeastShortShare * static_cast<double>(engines);
  const double most = kMostShortShare * static_cast<double>(engines);
  return static_cast<std::size_t>(
      std::ceil(std::clamp(wanted, std::min(least, most), most)));
}

Duration Placer::EventTime(const Target& target, std::uint64_t context) const {
  const double held = static_cast<double>(target.memory + context) / 1000;
  const Duration step =
      engine_->step + engine_->step_per_sequence * (target.running + 1) +
      duration_cast<Duration>(engine_->step_per_1k_context * held);
  return step * engine_->event_tokens;
}

bool Placer::Excluded(const Work& work, const TargetName& name) const {
  const auto& excluded = work.job.excluded;
  return std::find(excluded.begin(), excluded.end(), name) != excluded.end();
}

bool Placer::Usable(const Target& target, const Work& work, Time now) const {
  if (!TakesWork(target)) return false;
  if (now < target.closed_until) return false;
  if (target.failures > 0 && target.on_trial) return false;
  if (IsBackedOff(target, work.job.id.host, now)) return false;
  if (!HasTurn(target, now)) return false;
  return !Excluded(work, target.info.name);
}

/// Lately slow, failing or full: used only while no other target is free.
bool Placer::IsPoor(const Target& target, Time now) {
  const bool slow = target.pace > kSlowPace && now - target.paced < kPaceMemory;
  return slow || target.error_share > kTolerableErrors ||
         BackedOffHosts(target, now) > 0;
}

bool Placer::HasRoom(const Target& target, const Work& work) const {
  if (target.running >= target.info.slots) return false;
  if (!engine_ || engine_->memory_tokens == 0) return true;
  const double wanted =
      double{0} + work.job.prompt_tokens + work.job.output_tokens;
  return wanted <= FreeMemory(target);
}

double Placer::FreeMemory(const Target& target) const {
  return kMemoryShare * static_cast<double>(engine_->memory_tokens) -
         static_cast<double>(target.memory);
}

/// Whether the first `readers` of `free`, or more of them, hold the prompt and
/// its answer; sets how many are needed.
bool Placer::FillMemory(const Work& work, const std::vector<Target*>& free,
                        std::size_t& readers) const {
  if (engine_->memory_tokens == 0) return true;
  double wanted = double{0} + work.job.prompt_tokens + work.job.output_tokens;
  for (std::size_t i = 0; i < free.size() && i < kMaxReaders; ++i) {
    wanted -= std::max(0.0, FreeMemory(*free[i]));
    if (wanted > 0) continue;
    readers = std::max(readers, i + 1);
    return true;
  }
  return false;
}

/// What the first target has no memory for is set aside at the others in turn.
void Placer::PlanMemory(Work& work, const std::vector<Target*>& targets) const {
  if (engine_->memory_tokens == 0) return;
  double over = double{0} + work.job.prompt_tokens + work.job.output_tokens -
                FreeMemory(*targets.front());
  for (std::size_t i = 1; i < targets.size() && over > 0; ++i) {
    const double part = std::clamp(FreeMemory(*targets[i]), 0.0, over);
    work.grant.targets[i].reserve_tokens =
        static_cast<std::uint32_t>(std::ceil(part));
    over -= part;
  }
}

std::vector<Placer::Target*> Placer::Candidates(const Work& work, bool poor_too,
                                                Time now) {
  std::vector<Target*> out;
  for (auto& [name, target] : targets_) {
    if (!Usable(target, work, now)) continue;
    if (poor_too || !IsPoor(target, now)) out.push_back(&target);
  }
  return out;
}

bool Placer::TryPlace(Work& work, Time now) {
  work.is_long = engine_ && work.job.stream && IsLong(work);
  if (now < held_until_ || TooLate(work, now)) return false;
  for (const bool poor_too : {false, true}) {
    const auto targets = Choose(work, Candidates(work, poor_too, now), now);
    if (targets.empty()) continue;
    Grant(work, targets, now);
    return true;
  }
  return false;
}

/// The targets that take the work, out of `targets`; none if it has to wait.
std::vector<Placer::Target*> Placer::Choose(const Work& work,
                                            const std::vector<Target*>& targets,
                                            Time now) {
  if (work.is_long) return ChooseLong(work, targets, now);
  Target* target = engine_ && work.job.stream ? ChooseShort(work, targets)
                                              : ChoosePlain(work, targets);
  return target == nullptr ? std::vector<Target*>{}
                           : std::vector<Target*>{target};
}

void Placer::ChooseClosing(Time now) {
  const bool aged = std::any_of(
      waiting_.begin(), waiting_.end(), [this, now](const RequestId& id) {
        const Work& work = works_.at(id);
        return work.is_long && now - work.job.arrival > kLongPatience;
      });
  if (!aged) return closing_.clear();
  std::vector<const Target*> open;
  std::size_t engines = 0;
  std::size_t prefill_backlog = 0;
  for (const auto& [name, target] : targets_) {
    if (!TakesWork(target)) continue;
    ++engines;
    if (target.long_prefills > 0) {
      ++prefill_backlog;
    } else {
      open.push_back(&target);
    }
  }
  const auto wanted = static_cast<std::size_t>(
      std::ceil(kLeastLongShare * static_cast<double>(engines)));
  std::set<TargetName> next;
  if (wanted > prefill_backlog) {
    // Those chosen before stay chosen; then those that are free soonest.
    std::sort(open.begin(), open.end(), [this](const auto* a, const auto* b) {
      const auto rank = [this](const Target* t) {
        return std::tuple(!closing_.contains(t->info.name), t->shorts,
                          t->order);
      };
      return rank(a) < rank(b);
    });
    open.resize(std::min(open.size(), wanted - prefill_backlog));
    for (const Target* target : open) next.insert(target->info.name);
  }
  closing_ = std::move(next);
}

Placer::Target* Placer::ChoosePlain(const Work& work,
                                    const std::vector<Target*>& targets) {
  Target* best = nullptr;
  const auto cost = [&work](const Target& target) {
    const double busy =
        static_cast<double>(target.running) / std::max(1U, target.info.slots);
    const bool near = target.info.domain == work.job.domain;
    return busy + target.error_share + (near ? 0 : 0.3);
  };
  for (Target* target : targets) {
    if (!HasRoom(*target, work)) continue;
    if (best == nullptr || cost(*target) < cost(*best)) best = target;
  }
  return best;
}

Placer::Target* Placer::ChooseShort(const Work& work,
                                    const std::vector<Target*>& targets) {
  Target* packed = nullptr;   // Nothing unread, the most streams.
  Target* empty = nullptr;    // Neither streams nor reads.
  Target* backlog = nullptr;  // The least to read before.
  const auto near = [&work](const Target& target) {
    return target.info.domain == work.job.domain;
  };
  for (Target* target : targets) {
    if (target->long_prefills > 0 || !HasRoom(*target, work)) continue;
    if (closing_.contains(target->info.name)) continue;
    const bool quiet = target->prefill_backlog == Duration::zero();
    if (quiet && target->shorts > 0 && target->shorts < kPackedStreams) {
      const auto rank = [&near](const Target& t) {
        return std::tuple(t.shorts, near(t), t.order);
      };
      if (packed == nullptr || rank(*target) > rank(*packed)) packed = target;
    }
    if (quiet && target->shorts == 0) {
      const auto rank = [&near](const Target& t) {
        return std::tuple(t.memory, !near(t), t.order);
      };
      if (empty == nullptr || rank(*target) < rank(*empty)) empty = target;
    }
    const auto rank = [](const Target& t) {
      return std::tuple(t.prefill_backlog, t.shorts, t.order);
    };
    if (backlog == nullptr || rank(*target) < rank(*backlog)) backlog = target;
  }
  if (packed != nullptr) return packed;
  const bool fits = backlog != nullptr &&
                    backlog->prefill_backlog + work.read <= kReadBacklog;
  if (long_waits_ && fits) return backlog;
  if (empty != nullptr) return empty;
  const bool over =
      backlog != nullptr && backlog->prefill_backlog + work.read > kReadLimit;
  return over ? nullptr : backlog;
}

/// Reading time that may be added to the target's passes without a pause of its
/// streams that is too long.
Duration Placer::Slack(const Target& target) const {
  if (target.gaps.empty()) return Duration::max();
  return *target.gaps.begin() - kPauseMargin - EventTime(target, 0) -
         target.prefill_backlog;
}

/// Engines that long prompts may take now, so that short ones keep their part.
std::size_t Placer::OpenToLong(Time now) const {
  std::size_t open = 0;
  for (const auto& [name, target] : targets_) {
    const bool usable = TakesWork(target) && now >= target.closed_until;
    if (usable && target.long_prefills == 0) ++open;
  }
  const std::size_t reserve = ShortReserve(now);
  return open > reserve ? open - reserve : 0;
}

/// `count` targets that can read equal parts of the prompt and hold it, or more
/// if its memory needs more; none if there are not enough.
std::vector<Placer::Target*> Placer::Readers(
    const Work& work, const std::vector<Target*>& targets, std::size_t count,
    std::size_t most) const {
  std::vector<Target*> readers;
  const Duration part = work.read / static_cast<int>(count);
  for (Target* target : targets) {
    if (target->long_prefills > 0 || Slack(*target) < part) continue;
    if (target->running < target->info.slots) readers.push_back(target);
  }
  if (readers.size() < count) return {};
  std::sort(readers.begin(), readers.end(),
            [this](const Target* a, const Target* b) {
              const auto rank = [this](const Target& t) {
                return std::tuple(IsLimited(t), t.shorts, t.gaps.size(),
                                  t.memory, t.order);
              };
              return rank(*a) < rank(*b);
            });
  if (!FillMemory(work, readers, count) || count > most) return {};
  readers.resize(count);
  return readers;
}

std::vector<Placer::Target*> Placer::ChooseLong(
    const Work& work, const std::vector<Target*>& targets, Time now) {
  const Duration left =
      work.job.arrival + work.job.objective - now - kFirstEventMargin;
  const std::size_t most =
      std::min({OpenToLong(now), kMaxReaders, targets.size()});
  if (most == 0) return {};
  const auto readers_for = [&work, most](Duration time) -> std::size_t {
    if (time <= Duration::zero()) return most;
    const double wanted = std::ceil(Seconds(work.read) / Seconds(time));
    return std::clamp<std::size_t>(static_cast<std::size_t>(wanted), 1, most);
  };
  const std::size_t aimed =
      readers_for(duration_cast<Duration>(left * kAimedReadShare));
  const auto begins = [&work, now](std::size_t count) {
    return now + work.read / static_cast<int>(count) + kFirstEventMargin;
  };
  for (std::size_t count = aimed; count <= most; ++count) {
    if (begins(count) > FirstEventDeadline(work.job)) continue;
    auto readers = Readers(work, targets, count, most);
    if (!readers.empty()) return readers;
  }
  const bool late = work.read / static_cast<int>(kMaxReaders) > left;
  const std::size_t least =
      late ? 1
           : readers_for(duration_cast<Duration>(left * kAcceptedReadShare));
  for (std::size_t count = aimed; count-- > least;) {
    if (count == 0) break;
    if (begins(count) > FirstEventDeadline(work.job)) break;
    auto readers = Readers(work, targets, count, most);
    if (!readers.empty()) return readers;
  }
  return {};
}

void Placer::Grant(Work& work, const std::vector<Target*>& targets, Time now) {
  work.grant = {};
  work.grant.id = work.job.id;
  work.grant.number = work.job.number;
  for (const Target* target : targets) {
    const PoolTarget& info = target->info;
    work.grant.targets.push_back(
        {info.name, info.address, 0, info.version, info.born});
  }
  if (work.is_long && engine_ && work.job.stream) PlanMemory(work, targets);
  if (engine_ && work.job.stream) {
    const auto readers = static_cast<int>(targets.size());
    work.estimate = work.read / readers + targets.front()->prefill_backlog +
                    EventTime(*targets.front(), work.job.prompt_tokens);
  }
  work.grant.estimate = work.estimate;
  if (!limits_.empty()) {
    work.grant.out_of_permits = static_cast<std::uint32_t>(
        std::count_if(targets_.begin(), targets_.end(), [&](const auto& entry) {
          return InPool(entry.second, work) && !HasTurn(entry.second, now);
        }));
    for (const auto& target : work.grant.targets) {
      const double orders =
          target.reserve_tokens > 0 ? kOrdersOfReservation : 0;
      limits_.Consume(target.name, target.born, 1 + orders, now);
    }
  }
  work.placed = true;
  work.placed_at = now;
  work.is_trial = targets.front()->failures > 0;
  targets.front()->on_trial = work.is_trial;
  Count(work, 1);
  decisions_.push_back(work.grant);
}

}  // namespace comfreyflow
