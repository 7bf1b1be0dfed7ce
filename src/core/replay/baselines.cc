// Ordinary policies to compare with: one first-come queue, least loaded, two
// random choices. None asks stewards or sets priorities.
#include "core/replay/baselines.h"

#include <algorithm>
#include <deque>
#include <random>

#include "core/replay/base-host.h"

namespace comfreyflow::replay {
namespace {

struct Target {
  TargetInfo info;
  std::uint32_t reported = 0;
  Time as_of;
  bool gone = false;
  std::uint64_t kv_out = 0;       ///< Of our own streams.
  std::map<AttemptId, Time> own;  ///< When each was sent.

  std::size_t Unreported() const {
    return static_cast<std::size_t>(
        std::count_if(own.begin(), own.end(),
                      [&](const auto& item) { return item.second > as_of; }));
  }
};

class Baseline : public BaseHost {
 public:
  Baseline(BaselineKind kind, std::uint64_t seed, std::uint64_t kv_capacity)
      : kind_(kind), random_(seed), kv_capacity_(kv_capacity) {}

  void Seen(const TargetInfo& info, Time) override {
    targets_[info.name].info = info;
  }

  void Gone(const TargetName& target, Time) override {
    targets_[target].gone = true;
  }

  void Reported(const TargetReport& report, Time now) override {
    Target& target = targets_[report.target];
    target.reported = report.running + report.waiting;
    target.as_of = now - report.age;
  }

 protected:
  void Dispatch(Open& open, Time now) override {
    if (kind_ == BaselineKind::kFirstCome) {
      queue_.push_back(AttemptOf(open));
      Drain(now);
      return;
    }
    Send(open, Choose(open), now);
  }

  void OnLeft(const Open& open, const AttemptId& attempt, bool, Time) override {
    std::erase(queue_, attempt);
    const std::uint64_t kv = Share(open.info);
    for (auto& [name, target] : targets_) {
      if (target.own.erase(attempt) > 0) target.kv_out -= kv;
    }
  }

  void OnSuspect(const TargetName& target, Time) override {
    targets_[target].gone = true;
  }

  void OnTick(Time now) override { Drain(now); }

 private:
  static std::uint64_t Total(const RequestInfo& info) {
    return std::uint64_t{info.prompt_tokens} + info.max_output_tokens;
  }

  std::size_t Members(const RequestInfo& info) const {
    return (Total(info) + kv_capacity_ - 1) / kv_capacity_;
  }

  std::uint64_t Share(const RequestInfo& info) const {
    const std::size_t members = Members(info);
    return (Total(info) + members - 1) / members;
  }

  std::vector<Target*> Usable(const Open& open) {
    std::vector<Target*> usable;
    for (auto& [name, target] : targets_) {
      const bool excluded =
          std::find(open.excluded.begin(), open.excluded.end(), name) !=
          open.excluded.end();
      if (!target.gone && !excluded &&
          target.info.service == open.info.service) {
        usable.push_back(&target);
      }
    }
    return usable;
  }

  static std::size_t Load(const Target* target) {
    return target->reported + target->Unreported();
  }

  std::vector<Target*> Choose(const Open& open) {
    std::vector<Target*> usable = Usable(open);
    const std::size_t members = Members(open.info);
    std::shuffle(usable.begin(), usable.end(), random_);
    if (kind_ == BaselineKind::kTwoChoices) {
      usable.resize(std::min(usable.size(), 2 * members));
    }
    std::stable_sort(
        usable.begin(), usable.end(),
        [](const Target* a, const Target* b) { return Load(a) < Load(b); });
    usable.resize(std::min(usable.size(), members));
    return usable;
  }

  /// Engines with a free slot and free memory, least used first.
  std::vector<Target*> ChooseFree(const Open& open) {
    std::vector<Target*> usable = Usable(open);
    const std::uint64_t kv = Share(open.info);
    std::erase_if(usable, [&](const Target* target) {
      return target->own.size() >= target->info.max_running ||
             target->kv_out + kv > target->info.kv_capacity;
    });
    std::stable_sort(usable.begin(), usable.end(),
                     [](const Target* a, const Target* b) {
                       return a->own.size() < b->own.size();
                     });
    const std::size_t members = Members(open.info);
    if (usable.size() < members) return {};
    usable.resize(members);
    return usable;
  }

  void Drain(Time now) {
    while (!queue_.empty()) {
      Open* open = Find(queue_.front());
      if (open == nullptr) {
        queue_.pop_front();
        continue;
      }
      const std::vector<Target*> chosen = ChooseFree(*open);
      if (chosen.empty()) return;
      queue_.pop_front();
      Send(*open, chosen, now);
    }
  }

  void Send(Open& open, const std::vector<Target*>& chosen, Time now) {
    if (chosen.empty()) return Settle(open, Errc::kNoTarget, now);
    std::vector<TargetName> names;
    for (Target* target : chosen) {
      target->own[AttemptOf(open)] = now;
      target->kv_out += Share(open.info);
      names.push_back(target->info.name);
    }
    std::sort(names.begin(), names.end());
    Start(open, names, 1);
  }

  BaselineKind kind_;
  std::mt19937_64 random_;
  std::uint64_t kv_capacity_;
  std::map<TargetName, Target> targets_;
  std::deque<AttemptId> queue_;
};

}  // namespace

std::unique_ptr<HostPolicy> MakeBaseline(BaselineKind kind, std::uint64_t seed,
                                         std::uint64_t kv_capacity) {
  return std::make_unique<Baseline>(kind, seed, kv_capacity);
}

}  // namespace comfreyflow::replay
