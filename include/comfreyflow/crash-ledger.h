/// Infers from the crashes of targets which requests, or which shared parts of
/// prompts, cause them, and decides which requests are no longer sent.
///
/// A crash accuses each subject of the requests that the target was about to
/// answer. An answer acquits its subjects of all crashes before it. A subject
/// that crashes kept accusing, with no answer in between, is condemned.
///
/// A connection that breaks under a request is weaker evidence: the target may
/// live on. A request under which connections to several targets broke, with no
/// answer to it in between, is held back without a verdict, and one is let
/// through after a short time to see whether it is served. Other hosts hear
/// only of those targets that crashed.
///
/// Crashes that follow each other at once are one occasion, because the loss of
/// a failure domain or of a link ends many sound targets at one moment. Crash
/// reports form a set, so that hosts that saw different crashes, in any order,
/// arrive at the same verdict.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "comfreyflow/types.h"

namespace comfreyflow {

/// Hash of something that a request contains: the whole request, or a part of
/// its prompt together with the service.
using SubjectId = std::uint64_t;

/// What can be known of a request from its contents.
struct RequestSubjects {
  std::uint64_t request = 0;  ///< Hash of account, path and body.
  std::uint64_t account = 0;  ///< Hash of the client account.
  std::vector<SubjectId> parts;
  bool operator==(const RequestSubjects&) const = default;
};

/// One crash of one start of a target, as seen by one host or several.
struct CrashReport {
  ServiceName service;
  TargetName target;
  std::uint64_t born = 0;
  Time at;
  /// Requests that the target was about to answer.
  std::vector<RequestSubjects> requests;
};

struct Acquittal {
  SubjectId subject = 0;
  Time at;  ///< When the answer was seen.
};

/// Requests that contain all subjects are not sent.
struct CrashVerdict {
  std::vector<SubjectId> subjects;  ///< Sorted.
  /// Accounts whose requests crashed targets. Requests of other accounts are
  /// sent until there are two of them.
  std::set<std::uint64_t> accounts;
  Time first_crash;
  Time last_crash;
  std::vector<TargetName> targets;  ///< Crashed ones, the first few.
  std::uint32_t trials = 0;
  Time last_match;  ///< When a request last matched.
  Time next_trial;
};

struct CrashLedgerSettings {
  /// Crashes within this time of the first one are one occasion.
  Duration occasion_time = std::chrono::milliseconds(250);
  std::uint32_t occasions_to_condemn = 3;
  /// A request is not repeated once a subject of it has as many.
  std::uint32_t occasions_to_suspect = 2;
  Duration crash_retention = std::chrono::minutes(10);
  std::size_t max_crashes = 512;
  std::size_t max_acquittals = 8192;
  std::size_t max_verdicts = 256;
  /// Time until one request is sent in spite of a verdict; doubles with each
  /// such trial.
  Duration first_trial = std::chrono::minutes(5);
  /// A verdict that no request matched for this long is dropped.
  Duration verdict_retention = std::chrono::minutes(30);
  /// Targets whose connections break under a request until it is held back.
  std::size_t breaks_to_hold = 3;
  /// Time without a broken connection after which these are forgotten.
  Duration break_retention = std::chrono::seconds(60);
  /// Time between two requests that are let through while it is held back.
  Duration break_trial = std::chrono::seconds(1);
  std::size_t max_broken = 10'000;  ///< Requests under which any broke.
};

/// What a report or an answer has changed.
struct LedgerChange {
  bool is_new = false;                  ///< The input was not known before.
  std::vector<CrashVerdict> condemned;  ///< New verdicts, or wider ones.
  std::vector<CrashVerdict> lifted;
  /// Acquittals that other hosts may lack.
  std::vector<Acquittal> acquittals;
};

/// What broken connections mean for a request.
enum class Hold : std::uint8_t {
  kNone,
  kTrial,  ///< This one request is let through.
  kHeld,
};

class CrashLedger {
 public:
  explicit CrashLedger(CrashLedgerSettings settings = {});

  /// Adds a crash, or requests to a known one.
  LedgerChange AddCrash(const CrashReport& report, Time now);
  /// Records that a target answered a request, or wrote its answer for a while,
  /// without crashing.
  LedgerChange Answered(const RequestSubjects& request, Time now);
  LedgerChange AddAcquittal(const Acquittal& acquittal, Time now);
  /// Adopts the verdict of another host unless an answer contradicts it.
  LedgerChange AddVerdict(const CrashVerdict& verdict, Time now);

  /// Returns the verdict that forbids sending the request. `may_try` permits
  /// trials; at most one host may have it at a time.
  const CrashVerdict* FindVerdict(const RequestSubjects& request, bool may_try,
                                  Time now);
  /// Records that the connection to a target broke under the request, whether
  /// or not the target crashed. Returns the number of such targets; 0 if it was
  /// known of this one.
  std::size_t AddBreak(const RequestSubjects& request, const TargetName& target,
                       Time now);
  /// Whether the request is held back because connections broke under it, here
  /// or with a crash anywhere. `kTrial` comes once each `break_trial`; if as
  /// many targets crashed as hold a request back, only with `may_try`, which
  /// one host at a time may have. `kNone` if there is a verdict on the request:
  /// `FindVerdict` decides then.
  Hold HoldOf(const RequestSubjects& request, bool may_try, Time now);

  /// Whether the request might be a cause of earlier crashes and should not be
  /// sent again after one more.
  bool IsSuspect(const RequestSubjects& request) const;
  /// Lifts all verdicts on the subject on the operator's request.
  LedgerChange Lift(SubjectId subject, Time now);
  void Tick(Time now);

  std::vector<CrashVerdict> verdicts() const;
  /// The most recent reports, at most `count`.
  std::vector<CrashReport> RecentCrashes(std::size_t count) const;
  std::size_t crashes() const { return crashes_.size(); }

 private:
  /// A request in a crash, for comparing the crashes of two subjects.
  using Evidence = std::vector<std::pair<std::size_t, std::uint64_t>>;
  struct Occasions {
    std::uint32_t hits = 0;     ///< Occasions that accuse the subject.
    std::uint32_t crashes = 0;  ///< Crashes that accuse it.
    Evidence evidence;
  };

  /// Targets whose connections broke under one request.
  struct Breaks {
    std::set<TargetName> targets;
    Time last;
    Time next_trial;
  };

  Breaks& BreaksOf(SubjectId request, Time now);
  /// Targets that crashed on the request since it was last answered.
  std::set<TargetName> CrashedOn(SubjectId request) const;
  Time AcquittedAt(SubjectId subject) const;
  void RecordAcquittal(SubjectId subject, Time at);
  /// Whether a crash after `since` accuses the subject.
  bool IsAccused(SubjectId subject, Time since) const;
  bool Matches(const CrashVerdict& verdict,
               const RequestSubjects& request) const;
  /// Whether a verdict that does not concern `subject` explains the crash.
  bool IsExplained(const CrashReport& crash, SubjectId subject) const;
  Occasions CountOccasions(SubjectId subject) const;
  /// Condemns what the crash's subjects have accumulated.
  void Judge(const CrashReport& crash, Time now, LedgerChange& change);
  void Condemn(const std::vector<SubjectId>& subjects, const Evidence& evidence,
               Time now, LedgerChange& change);
  /// Removes subjects that answers have acquitted from the verdicts.
  void Reconsider(LedgerChange& change);

  CrashLedgerSettings settings_;
  std::deque<CrashReport> crashes_;  ///< Ordered by time.
  std::map<std::vector<SubjectId>, CrashVerdict> verdicts_;
  std::unordered_map<SubjectId, Breaks> breaks_;  ///< By whole request.
  /// Latest answers by subject, in two generations of bounded size.
  std::unordered_map<SubjectId, Time> acquitted_;
  std::unordered_map<SubjectId, Time> acquitted_before_;
};

}  // namespace comfreyflow
