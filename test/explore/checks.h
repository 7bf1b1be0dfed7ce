/// What callers and targets saw in a run, and whether the promises held.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "comfreyflow/entry.h"

namespace comfreyflow::explore {

enum class Promise : std::uint8_t {
  kAtMostOnce,
  kNotRunIsTrue,
  kOneFinalAnswer,
  kInTime,
  kOwnAnswer,
  kNoLeak,
  kLiveStreamKept,
  kLeavingTarget,
  kPlannedStop,
  kPoison,
};

const char* ToString(Promise promise);

struct Violation {
  Promise promise = Promise::kAtMostOnce;
  std::string detail;
};

/// One request as its caller sent it to one host.
struct Submission {
  RequestId id;
  AccountName account;
  std::string key;           ///< Empty when repeatable.
  std::uint64_t answer = 0;  ///< Names the bytes that belong to the request.
  std::uint64_t total = 0;   ///< Bytes of the whole answer.
  std::uint64_t got = 0;     ///< Bytes the caller has, in order.
  Time sent;
  Time deadline;
  std::optional<Finish> final;
  Time final_at;
  bool caller_gone = false;
};

class Checks {
 public:
  Submission& Add(Submission submission);
  Submission* Find(const RequestId& id);

  /// Bytes `[offset, offset + length)` of `answer` were given to the caller.
  void Forwarded(const RequestId& id, std::uint64_t answer,
                 std::uint64_t offset, std::uint64_t length);
  /// `excused_until` is when the host last came out of a pause.
  void Finished(const Finish& finish, Time now, Time excused_until);
  /// A target ran the request, or began to.
  void Ran(const RequestId& id);
  void Fail(Promise promise, const std::string& detail);

  const std::vector<Violation>& violations() const { return violations_; }
  const std::map<RequestId, Submission>& submissions() const {
    return submissions_;
  }

 private:
  std::map<RequestId, Submission> submissions_;
  std::set<RequestId> ran_;
  std::map<std::pair<AccountName, std::string>, std::uint32_t> runs_;
  std::vector<Violation> violations_;
};

}  // namespace comfreyflow::explore
