// Counts the occasions on which crashes accuse a subject and keeps verdicts.
#include "comfreyflow/crash-ledger.h"

#include <algorithm>

namespace comfreyflow {
namespace {

constexpr std::size_t kMaxRequestsPerCrash = 32;
constexpr std::size_t kMaxTargetsPerVerdict = 8;
/// Verdicts on the requests of this many accounts apply to all accounts.
constexpr std::size_t kAccountsForGeneralVerdict = 2;
constexpr std::uint32_t kMaxTrialDoublings = 10;

bool Contains(const RequestSubjects& request, SubjectId subject) {
  return request.request == subject ||
         std::find(request.parts.begin(), request.parts.end(), subject) !=
             request.parts.end();
}

bool Accuses(const CrashReport& crash, SubjectId subject) {
  return std::any_of(
      crash.requests.begin(), crash.requests.end(),
      [subject](const auto& request) { return Contains(request, subject); });
}

std::set<SubjectId> SubjectsOf(const RequestSubjects& request) {
  std::set<SubjectId> out(request.parts.begin(), request.parts.end());
  out.insert(request.request);
  return out;
}

}  // namespace

CrashLedger::CrashLedger(CrashLedgerSettings settings) : settings_(settings) {}

LedgerChange CrashLedger::AddCrash(const CrashReport& report, Time now) {
  LedgerChange change;
  if (report.requests.empty()) return change;
  auto crash =
      std::find_if(crashes_.begin(), crashes_.end(), [&](const auto& known) {
        return known.target == report.target && known.born == report.born;
      });
  if (crash == crashes_.end()) {
    const auto after = std::upper_bound(
        crashes_.begin(), crashes_.end(), report.at,
        [](Time at, const auto& known) { return at < known.at; });
    CrashReport added = report;
    added.requests.clear();
    crash = crashes_.insert(after, std::move(added));
  }
  for (const auto& request : report.requests) {
    auto& known = crash->requests;
    if (known.size() >= kMaxRequestsPerCrash) break;
    if (std::find(known.begin(), known.end(), request) != known.end()) continue;
    known.push_back(request);
    change.is_new = true;
  }
  if (!change.is_new) return change;
  for (const auto& request : report.requests) {
    for (const SubjectId subject : SubjectsOf(request)) {
      const Time at = AcquittedAt(subject);
      if (at > crash->at) change.acquittals.push_back({subject, at});
    }
  }
  Judge(*crash, now, change);
  if (crashes_.size() > settings_.max_crashes) crashes_.pop_front();
  return change;
}

LedgerChange CrashLedger::Answered(const RequestSubjects& request, Time now) {
  LedgerChange change;
  breaks_.erase(request.request);
  for (const SubjectId subject : SubjectsOf(request)) {
    const Time before = AcquittedAt(subject);
    RecordAcquittal(subject, now);
    if (IsAccused(subject, before)) change.acquittals.push_back({subject, now});
  }
  if (!verdicts_.empty()) Reconsider(change);
  return change;
}

LedgerChange CrashLedger::AddAcquittal(const Acquittal& acquittal, Time now) {
  LedgerChange change;
  const Time at = std::min(acquittal.at, now);
  if (at <= AcquittedAt(acquittal.subject)) return change;
  change.is_new = true;
  RecordAcquittal(acquittal.subject, at);
  breaks_.erase(acquittal.subject);
  Reconsider(change);
  return change;
}

LedgerChange CrashLedger::AddVerdict(const CrashVerdict& verdict, Time now) {
  LedgerChange change;
  for (const SubjectId subject : verdict.subjects) {
    const Time at = AcquittedAt(subject);
    if (at > verdict.first_crash) change.acquittals.push_back({subject, at});
  }
  if (!change.acquittals.empty() || verdict.subjects.empty()) return change;
  auto known = verdicts_.find(verdict.subjects);
  if (known == verdicts_.end()) {
    if (verdicts_.size() >= settings_.max_verdicts) return change;
    CrashVerdict added = verdict;
    added.last_match = now;
    verdicts_.emplace(verdict.subjects, added);
    change.is_new = true;
    change.condemned.push_back(std::move(added));
    return change;
  }
  CrashVerdict& merged = known->second;
  const std::size_t accounts = merged.accounts.size();
  merged.accounts.insert(verdict.accounts.begin(), verdict.accounts.end());
  merged.first_crash = std::min(merged.first_crash, verdict.first_crash);
  merged.last_crash = std::max(merged.last_crash, verdict.last_crash);
  if (verdict.trials > merged.trials) {
    merged.trials = verdict.trials;
    merged.next_trial = verdict.next_trial;
  }
  change.is_new = merged.accounts.size() > accounts;
  if (change.is_new) change.condemned.push_back(merged);
  return change;
}

const CrashVerdict* CrashLedger::FindVerdict(const RequestSubjects& request,
                                             bool may_try, Time now) {
  for (auto& [subjects, verdict] : verdicts_) {
    if (!Matches(verdict, request)) continue;
    verdict.last_match = now;
    if (may_try && now >= verdict.next_trial) {
      ++verdict.trials;
      verdict.next_trial =
          now + settings_.first_trial *
                    (1 << std::min(verdict.trials, kMaxTrialDoublings));
      continue;
    }
    return &verdict;
  }
  return nullptr;
}

std::size_t CrashLedger::AddBreak(const RequestSubjects& request,
                                  const TargetName& target, Time now) {
  Breaks& breaks = BreaksOf(request.request, now);
  breaks.next_trial = now + settings_.break_trial;
  const bool is_new = breaks.targets.insert(target).second;
  return is_new ? breaks.targets.size() : 0;
}

Hold CrashLedger::HoldOf(const RequestSubjects& request, bool may_try,
                         Time now) {
  // A verdict has trials of its own.
  const bool has_verdict = std::any_of(
      verdicts_.begin(), verdicts_.end(),
      [&](const auto& entry) { return Matches(entry.second, request); });
  if (has_verdict) return Hold::kNone;
  std::set<TargetName> targets = CrashedOn(request.request);
  const bool has_crashed = targets.size() >= settings_.breaks_to_hold;
  const auto known = breaks_.find(request.request);
  if (known != breaks_.end()) {
    if (now - known->second.last <= settings_.break_retention) {
      targets.insert(known->second.targets.begin(),
                     known->second.targets.end());
    } else {
      breaks_.erase(known);
    }
  }
  if (targets.size() < settings_.breaks_to_hold) return Hold::kNone;
  Breaks& breaks = BreaksOf(request.request, now);
  if (now < breaks.next_trial || (has_crashed && !may_try)) return Hold::kHeld;
  breaks.next_trial = now + settings_.break_trial;
  return Hold::kTrial;
}

CrashLedger::Breaks& CrashLedger::BreaksOf(SubjectId request, Time now) {
  if (!breaks_.contains(request) && breaks_.size() >= settings_.max_broken) {
    breaks_.erase(std::min_element(breaks_.begin(), breaks_.end(),
                                   [](const auto& a, const auto& b) {
                                     return a.second.last < b.second.last;
                                   }));
  }
  const auto [at, is_new] = breaks_.try_emplace(request);
  if (is_new) at->second.next_trial = now + settings_.break_trial;
  at->second.last = now;
  return at->second;
}

std::set<TargetName> CrashLedger::CrashedOn(SubjectId request) const {
  std::set<TargetName> targets;
  if (crashes_.empty()) return targets;
  const Time acquitted = AcquittedAt(request);
  for (const auto& crash : crashes_) {
    if (crash.at > acquitted && Accuses(crash, request))
      targets.insert(crash.target);
  }
  return targets;
}

bool CrashLedger::IsSuspect(const RequestSubjects& request) const {
  if (crashes_.empty()) return false;
  const auto subjects = SubjectsOf(request);
  return std::any_of(subjects.begin(), subjects.end(), [this](SubjectId id) {
    return CountOccasions(id).hits >= settings_.occasions_to_suspect;
  });
}

LedgerChange CrashLedger::Lift(SubjectId subject, Time now) {
  return AddAcquittal({subject, now}, now);
}

void CrashLedger::Tick(Time now) {
  while (!crashes_.empty() &&
         now - crashes_.front().at > settings_.crash_retention) {
    crashes_.pop_front();
  }
  std::erase_if(breaks_, [&](const auto& entry) {
    return now - entry.second.last > settings_.break_retention;
  });
  std::erase_if(verdicts_, [&](const auto& entry) {
    return now - entry.second.last_match > settings_.verdict_retention;
  });
}

std::vector<CrashVerdict> CrashLedger::verdicts() const {
  std::vector<CrashVerdict> out;
  for (const auto& [subjects, verdict] : verdicts_) out.push_back(verdict);
  return out;
}

std::vector<CrashReport> CrashLedger::RecentCrashes(std::size_t count) const {
  const std::size_t taken = std::min(count, crashes_.size());
  return {crashes_.end() - static_cast<std::ptrdiff_t>(taken), crashes_.end()};
}

Time CrashLedger::AcquittedAt(SubjectId subject) const {
  for (const auto* generation : {&acquitted_, &acquitted_before_}) {
    const auto at = generation->find(subject);
    if (at != generation->end()) return at->second;
  }
  return Time::min();
}

void CrashLedger::RecordAcquittal(SubjectId subject, Time at) {
  if (acquitted_.size() >= settings_.max_acquittals / 2 &&
      !acquitted_.contains(subject)) {
    acquitted_before_ = std::move(acquitted_);
    acquitted_.clear();
  }
  acquitted_[subject] = at;
}

bool CrashLedger::IsAccused(SubjectId subject, Time since) const {
  for (auto crash = crashes_.rbegin(); crash != crashes_.rend(); ++crash) {
    if (crash->at <= since) return false;
    if (Accuses(*crash, subject)) return true;
  }
  return false;
}

bool CrashLedger::Matches(const CrashVerdict& verdict,
                          const RequestSubjects& request) const {
  if (verdict.accounts.size() < kAccountsForGeneralVerdict &&
      !verdict.accounts.contains(request.account)) {
    return false;
  }
  return std::all_of(
      verdict.subjects.begin(), verdict.subjects.end(),
      [&request](SubjectId subject) { return Contains(request, subject); });
}

bool CrashLedger::IsExplained(const CrashReport& crash,
                              SubjectId subject) const {
  for (const auto& [subjects, verdict] : verdicts_) {
    if (std::binary_search(subjects.begin(), subjects.end(), subject)) continue;
    for (const auto& request : crash.requests) {
      if (Matches(verdict, request)) return true;
    }
  }
  return false;
}

CrashLedger::Occasions CrashLedger::CountOccasions(SubjectId subject) const {
  Occasions out;
  const auto last = std::find_if(
      crashes_.rbegin(), crashes_.rend(),
      [subject](const auto& crash) { return Accuses(crash, subject); });
  if (last == crashes_.rend()) return out;
  const Time acquitted = AcquittedAt(subject);
  std::optional<Time> began;
  std::size_t crashes = 0;
  std::size_t accusing = 0;
  const auto end_occasion = [&] {
    if (accusing > 0 && 2 * accusing >= crashes) ++out.hits;
    crashes = 0;
    accusing = 0;
  };
  for (std::size_t i = 0; i < crashes_.size(); ++i) {
    const CrashReport& crash = crashes_[i];
    if (crash.at <= acquitted || crash.service != last->service) continue;
    if (IsExplained(crash, subject)) continue;
    if (!began || crash.at - *began > settings_.occasion_time) {
      end_occasion();
      began = crash.at;
    }
    ++crashes;
    if (!Accuses(crash, subject)) continue;
    ++accusing;
    ++out.crashes;
    for (const auto& request : crash.requests) {
      if (Contains(request, subject))
        out.evidence.emplace_back(i, request.request);
    }
  }
  end_occasion();
  return out;
}

void CrashLedger::Judge(const CrashReport& crash, Time now,
                        LedgerChange& change) {
  // Subjects with the same evidence can't be told apart yet and are condemned
  // together. Those with less of it than others are explained by the others.
  std::map<Evidence, std::vector<SubjectId>> guilty;
  std::uint32_t most_crashes = 0;
  std::set<SubjectId> subjects;
  for (const auto& request : crash.requests)
    subjects.merge(SubjectsOf(request));
  for (const SubjectId subject : subjects) {
    Occasions found = CountOccasions(subject);
    if (found.hits < settings_.occasions_to_condemn) continue;
    most_crashes = std::max(most_crashes, found.crashes);
    guilty[std::move(found.evidence)].push_back(subject);
  }
  for (const auto& [evidence, suspects] : guilty) {
    std::set<std::size_t> crashes;
    for (const auto& [index, request] : evidence) crashes.insert(index);
    if (crashes.size() < most_crashes) continue;
    Condemn(suspects, evidence, now, change);
  }
}

void CrashLedger::Condemn(const std::vector<SubjectId>& subjects,
                          const Evidence& evidence, Time now,
                          LedgerChange& change) {
  auto known = verdicts_.find(subjects);
  if (known == verdicts_.end()) {
    if (verdicts_.size() >= settings_.max_verdicts) return;
    known = verdicts_.emplace(subjects, CrashVerdict{}).first;
    known->second.subjects = subjects;
    known->second.first_crash = crashes_[evidence.front().first].at;
    known->second.next_trial = now + settings_.first_trial;
  }
  CrashVerdict& verdict = known->second;
  verdict.last_match = now;
  const bool is_new = verdict.targets.empty();
  const std::size_t accounts = verdict.accounts.size();
  for (const auto& [index, request] : evidence) {
    const CrashReport& crash = crashes_[index];
    verdict.last_crash = std::max(verdict.last_crash, crash.at);
    auto& targets = verdict.targets;
    if (targets.size() < kMaxTargetsPerVerdict &&
        std::find(targets.begin(), targets.end(), crash.target) ==
            targets.end()) {
      targets.push_back(crash.target);
    }
    for (const auto& accused : crash.requests) {
      if (accused.request == request) verdict.accounts.insert(accused.account);
    }
  }
  if (is_new || verdict.accounts.size() > accounts)
    change.condemned.push_back(verdict);
}

void CrashLedger::Reconsider(LedgerChange& change) {
  std::vector<CrashVerdict> narrowed;
  for (auto it = verdicts_.begin(); it != verdicts_.end();) {
    CrashVerdict& verdict = it->second;
    CrashVerdict rest = verdict;
    std::erase_if(rest.subjects, [&](SubjectId subject) {
      const Time at = AcquittedAt(subject);
      if (at > verdict.last_crash) return true;
      return at > verdict.first_crash &&
             CountOccasions(subject).hits < settings_.occasions_to_condemn;
    });
    if (rest.subjects.size() == verdict.subjects.size()) {
      ++it;
      continue;
    }
    if (rest.subjects.empty()) {
      change.lifted.push_back(verdict);
    } else {
      narrowed.push_back(std::move(rest));
    }
    it = verdicts_.erase(it);
  }
  for (auto& verdict : narrowed) {
    const auto [it, added] = verdicts_.emplace(verdict.subjects, verdict);
    if (added) change.condemned.push_back(std::move(verdict));
  }
}

}  // namespace comfreyflow
