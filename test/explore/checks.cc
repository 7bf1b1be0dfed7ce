// The promises as invariants.
#include "explore/checks.h"

#include <algorithm>

namespace comfreyflow::explore {
namespace {

/// Allowed between the deadline and the final answer.
constexpr Duration kLateLimit = std::chrono::milliseconds(40);

}  // namespace

const char* ToString(Promise promise) {
  switch (promise) {
    case Promise::kAtMostOnce:
      return "at most once";
    case Promise::kNotRunIsTrue:
      return "not run is true";
    case Promise::kOneFinalAnswer:
      return "one final answer";
    case Promise::kInTime:
      return "in time";
    case Promise::kOwnAnswer:
      return "own answer, whole, once";
    case Promise::kNoLeak:
      return "no leaked memory";
    case Promise::kLiveStreamKept:
      return "live stream kept";
    case Promise::kLeavingTarget:
      return "no new work for a leaving target";
    case Promise::kPlannedStop:
      return "planned stop cuts nothing";
    case Promise::kPoison:
      return "poison costs two engines";
  }
  return "";
}

Submission& Checks::Add(Submission submission) {
  const RequestId id = submission.id;
  return submissions_[id] = std::move(submission);
}

Submission* Checks::Find(const RequestId& id) {
  const auto at = submissions_.find(id);
  return at != submissions_.end() ? &at->second : nullptr;
}

void Checks::Forwarded(const RequestId& id, std::uint64_t answer,
                       std::uint64_t offset, std::uint64_t length) {
  Submission* submission = Find(id);
  if (submission == nullptr) {
    return Fail(Promise::kOwnAnswer, "bytes for no request");
  }
  const std::string name = comfreyflow::ToString(id);
  if (submission->final) Fail(Promise::kOwnAnswer, "bytes after end " + name);
  if (answer != submission->answer) {
    Fail(Promise::kOwnAnswer, "foreign bytes " + name);
  }
  if (offset != submission->got) {
    Fail(Promise::kOwnAnswer, "bytes out of order " + name);
  }
  submission->got = offset + length;
}

void Checks::Finished(const Finish& finish, Time now, Time excused_until) {
  Submission* submission = Find(finish.request);
  if (submission == nullptr) {
    return Fail(Promise::kOneFinalAnswer, "answer to no request");
  }
  const std::string name = comfreyflow::ToString(finish.request);
  if (submission->final) {
    return Fail(Promise::kOneFinalAnswer, "second answer " + name);
  }
  submission->final = finish;
  submission->final_at = now;
  const Time limit = std::max(submission->deadline, excused_until) + kLateLimit;
  if (now > limit) Fail(Promise::kInTime, "late answer " + name);
  if (finish.code == Errc::kDraining) {
    Fail(Promise::kPlannedStop, "refused by a stopping host " + name);
  }
  const bool whole = submission->got == submission->total;
  if (finish.code == Errc::kOk && !whole) {
    Fail(Promise::kOwnAnswer, "answer cut short " + name);
  }
  if (finish.outcome == Outcome::kNotRun && ran_.contains(finish.request)) {
    Fail(Promise::kNotRunIsTrue, "told not run after it ran " + name);
  }
}

void Checks::Ran(const RequestId& id) {
  ran_.insert(id);
  const Submission* submission = Find(id);
  if (submission == nullptr) return;
  const std::string name = comfreyflow::ToString(id);
  if (submission->final && submission->final->outcome == Outcome::kNotRun) {
    Fail(Promise::kNotRunIsTrue, "ran after not run was told " + name);
  }
  if (submission->key.empty()) return;
  if (++runs_[{submission->account, submission->key}] > 1) {
    Fail(Promise::kAtMostOnce, "ran again " + name);
  }
}

void Checks::Fail(Promise promise, const std::string& detail) {
  violations_.push_back({promise, detail});
}

}  // namespace comfreyflow::explore
