// Judges records.
#include "soak/promises.h"

#include <algorithm>
#include <functional>
#include <map>

namespace comfreyflow::soak {
namespace {

using std::chrono::milliseconds;

constexpr int kLeastEvents = 6;
constexpr int kMoreEvents = 24;
constexpr int kUnauthorized = 401;
constexpr int kUnavailable = 503;

bool Success(const Sent& sent) {
  return sent.status >= 200 && sent.status < 300;
}

bool IsStream(const Sent& sent) {
  return sent.kind == Kind::kStream && Success(sent);
}

/// Statuses that say that the request has not run and never will.
bool Promises(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

class Judge {
 public:
  Judge(const Records& records, const Bounds& bounds)
      : records_(records), bounds_(bounds) {
    for (const auto& sent : records.sent) {
      sent_[sent.id] = &sent;
      repeats_[sent.id].push_back(&sent);
    }
    for (const auto& run : records.runs) {
      runs_[run.id].push_back(&run);
      if (sent_.contains(run.id)) own_runs_[&AttemptOf(run)].push_back(&run);
    }
  }

  void Untimed() {
    CheckEnds();
    for (const auto& sent : records_.sent) {
      CheckAnswer(sent);
      CheckRuns(sent);
      CheckCut(sent);
      CountAround(sent);
    }
    for (const auto& run : records_.runs) CheckAsked(run);
    CheckRepeats();
  }

  void Timed() {
    for (const auto& sent : records_.sent) {
      CheckStreamCut(sent);
      CheckInTime(sent);
      CheckGone(sent);
      CheckKey(sent);
    }
    for (const auto& run : records_.runs) {
      CheckLeaving(run);
      CheckEvacuated(run);
    }
    CountRewinds();
    for (const auto& word : records_.words) CheckWord(word);
    for (std::size_t i = 0; i < records_.limits.size(); ++i) CheckLimit(i);
    for (const auto& odd : records_.odd_entries) CheckBeside(odd);
    for (const auto& turned : records_.turned_away)
      CheckBesideTurnedAway(turned);
    CheckMemory();
    CheckRecovered();
    CheckPeers();
  }

  std::vector<Breach> TakeBreaches() { return std::move(breaches_); }

  /// Requires `Untimed`.
  std::vector<Judged> UntimedCounts() const {
    std::vector<Judged> out = {
        {"LOST", Count("LOST stop"), Count("stop"), "requests open in a stop"},
        {"LOST", Count("LOST late"), Count("late"),
         "requests that no stop may cut"},
        {"LOST", Count("LOST reload"), Count("reload"),
         "requests around reloads"},
        {"LOST", Count("LOST config"), Count("config"),
         "requests around configurations"},
        {"ORDER", Count("ORDER"), Count("streams"), "streams"},
        {"ORDER", Count("ORDER resumed"), Count("resumed"), "resumed streams"}};
    const auto copies = CopiesJudged();
    out.insert(out.end(), copies.begin(), copies.end());
    return out;
  }

  /// Requires `Timed`.
  std::vector<Judged> TimedCounts() const {
    const auto count = [this](const char* name) { return Count(name); };
    const auto all = static_cast<double>(records_.sent.size());
    return {{"LOST", count("LOST"), all, "streams"},
            {"CONFIG", count("CONFIG time"), all, "answers in time"},
            {"CONFIG", count("CONFIG key"), all, "keys taken away"},
            {"DENIED", count("DENIED"), all, "keys in force"},
            {"GONE", count("GONE"), all, "callers that left"},
            OutJudged("DRAIN", records_.leaving, bounds_.drain,
                      "host-seconds of leaving"),
            OutJudged("EVAC", records_.evacuated, bounds_.evacuation,
                      "host-seconds of evacuations"),
            {"DRAIN", count("DRAIN rewound"), count("DRAIN rewinds"),
             "targets known to leave before the store was rewound"},
            {"CONFIG", count("CONFIG rewound"), all,
             "keys known to be taken away before it was"},
            {"DRAIN", count("DRAIN told"), count("DRAIN words"), "own words"},
            {"BUDGET", count("BUDGET rest"), count("BUDGET words"), "rests"},
            {"LIMIT", count("LIMIT"), count("LIMIT named"), "named limits"},
            {"LIMIT", count("LIMIT requests"), count("LIMIT all"),
             "requests under limits"},
            {"USED", count("USED"),
             static_cast<double>(records_.odd_entries.size()), "odd entries"},
            {"LEAK", count("LEAK"), static_cast<double>(records_.held.size()),
             "reservations"},
            {"RECOVER", count("RECOVER"), all, "requests"},
            {"RECOVER", count("RECOVER beside"), all,
             "requests beside hosts that were turned away"},
            {"PEERS", count("PEERS"),
             static_cast<double>(records_.hosts_known.size()), "hosts"}};
  }

 private:
  void Note(const char* promise, const std::string& request,
            std::string detail) {
    breaches_.push_back({promise, request, std::move(detail)});
  }

  double Count(const std::string& name) const {
    const auto at = judged_.find(name);
    return at == judged_.end() ? 0.0 : static_cast<double>(at->second);
  }

  /// Number of hosts, as far as requests were sent to them.
  std::size_t HostCount() const {
    std::size_t hosts = 0;
    for (const auto& sent : records_.sent) {
      hosts = std::max(hosts, sent.host + 1);
    }
    return hosts;
  }

  /// Host-seconds in which a target had been out for longer than the bound, and
  /// those of them at which the host was in touch.
  Judged OutJudged(const char* promise, const std::vector<Leaving>& all,
                   Duration bound, const char* unit) const {
    constexpr Duration kSample = milliseconds(50);
    const std::size_t hosts = HostCount();
    Judged out{promise, 0, 0, unit};
    const double step = std::chrono::duration<double>(kSample).count();
    for (const auto& leaving : all) {
      const Time end = leaving.until.value_or(records_.over);
      for (Time at = leaving.from + bound; at < end; at += kSample) {
        for (std::size_t host = 0; host < hosts; ++host) {
          out.of += step;
          if (InTouch(host, at)) out.judged += step;
        }
      }
    }
    return out;
  }

  /// How often copies of refusals may have been met.
  std::vector<Judged> CopiesJudged() const {
    if (!records_.copies) return {};
    const CopyCounts& copies = *records_.copies;
    const auto number = [](std::size_t count) {
      return static_cast<double>(count);
    };
    const double requests = number(copies.requests);
    return {{"TWICE", Count("unsafe"), number(records_.sent.size()),
             "unsafe requests"},
            {"TWICE", Count("unsafe repeated"), Count("unsafe"),
             "repeats by their callers"},
            {"TWICE", number(copies.written), number(copies.refusals),
             "copies of refusals"},
            {"TWICE", number(copies.written_to_same), number(copies.written),
             "copies to a later arrival of their request"},
            {"TWICE", number(copies.again_at_target), requests,
             "second arrivals at a target"},
            {"TWICE", number(copies.again_on_connection), requests,
             "second arrivals on a connection"},
            {"TWICE", number(copies.carried), requests, "requests over hosts"}};
  }

  /// All runs of the request, whichever attempt of its caller led to them.
  const std::vector<const Run*>& RunsOf(const Sent& sent) const {
    static const std::vector<const Run*> no_runs;
    const auto at = runs_.find(sent.id);
    return at == runs_.end() ? no_runs : at->second;
  }

  /// The last attempt of the caller that was under way.
  const Sent& AttemptOf(const Run& run) const {
    const auto& attempts = repeats_.at(run.id);
    const auto later =
        std::find_if(attempts.begin() + 1, attempts.end(),
                     [&run](const Sent* sent) { return sent->at > run.at; });
    return **(later - 1);
  }

  std::vector<const Run*> OwnRunsOf(const Sent& sent) const {
    const auto at = own_runs_.find(&sent);
    return at == own_runs_.end() ? std::vector<const Run*>() : at->second;
  }

  std::size_t RanCount(const Sent& sent) const { return Ran(RunsOf(sent)); }

  static std::size_t Ran(const std::vector<const Run*>& runs) {
    return static_cast<std::size_t>(std::count_if(
        runs.begin(), runs.end(), [](const Run* run) { return run->ran; }));
  }

  /// Whether something was done to the subject between the two moments.
  bool Disturbed(Subject subject, std::size_t number, Time from, Time to,
                 bool planned_too = true) const {
    return std::any_of(records_.disturbances.begin(),
                       records_.disturbances.end(), [&](const Disturbance& d) {
                         if (d.subject != subject || d.number != number)
                           return false;
                         if (d.planned && !planned_too) return false;
                         return d.from <= to &&
                                d.until.value_or(records_.over) >= from;
                       });
  }

  /// Whether nothing was done to the host for a while before the moment.
  bool InTouch(std::size_t host, Time at) const {
    return !Disturbed(Subject::kHost, host, at - bounds_.touch, at) &&
           !Disturbed(Subject::kStorePath, host, at - bounds_.touch, at);
  }

  /// Whether the host knew, when the store went away to come back from an older
  /// copy, what was acknowledged `bound` before. It still knows it at `at`, out
  /// of touch or not.
  bool KnewBeforeRewind(std::size_t host, Time acknowledged, Duration bound,
                        Time at) const {
    return std::any_of(
        records_.rewinds.begin(), records_.rewinds.end(),
        [&](const Rewind& rewind) {
          return rewind.from <= at && at <= rewind.until + bounds_.touch &&
                 acknowledged + bound <= rewind.from &&
                 InTouch(host, rewind.from - Duration(1)) &&
                 !Disturbed(Subject::kHost, host, rewind.from, at);
        });
  }

  /// Counts what hosts knew of leaving targets when the store went away.
  void CountRewinds() {
    const std::size_t hosts = HostCount();
    for (const auto& rewind : records_.rewinds) {
      for (const auto& leaving : records_.leaving) {
        if (leaving.from + bounds_.drain > rewind.from) continue;
        if (leaving.until && *leaving.until <= rewind.until) continue;
        for (std::size_t host = 0; host < hosts; ++host) {
          ++judged_["DRAIN rewinds"];
          if (KnewBeforeRewind(host, leaving.from, bounds_.drain,
                               rewind.until)) {
            ++judged_["DRAIN rewound"];
          }
        }
      }
    }
  }

  bool TargetsDisturbed(const Sent& sent, Time to) const {
    return std::any_of(RunsOf(sent).begin(), RunsOf(sent).end(),
                       [&](const Run* run) {
                         return Disturbed(Subject::kTarget, run->target,
                                          run->at - bounds_.touch, to);
                       });
  }

  /// MIXED, ORDER: what the caller got is its target's whole answer, or does
  /// not look whole.
  void CheckAnswer(const Sent& sent) {
    if (sent.status == 0) return;
    if (IsStream(sent)) {
      CountStream(sent);
      const std::string all = EventsOf(sent.id);
      const bool right =
          sent.whole ? sent.answer == all : all.starts_with(sent.answer);
      if (!right) Note("ORDER", sent.id, "events are missing, twice or mixed");
    }
    if (!Success(sent) || !sent.whole) return;
    if (!sent.marked) Note("MIXED", sent.id, "a success without its mark");
    if (sent.kind != Kind::kStream &&
        sent.answer != AnswerOf(sent.path, sent.body)) {
      Note("MIXED", sent.id, "another answer: " + sent.answer);
    }
    if (RanCount(sent) == 0) Note("MIXED", sent.id, "no target ran it");
  }

  /// TWICE, REFUSED, BUDGET for one request.
  void CheckRuns(const Sent& sent) {
    const std::size_t ran = Ran(OwnRunsOf(sent));
    if (sent.kind == Kind::kUnsafe) CheckOnce(sent);
    if (sent.kind == Kind::kUnsafe && Promises(sent.status) && ran > 0) {
      Note("REFUSED", sent.id,
           "status " + std::to_string(sent.status) + TakenBy(sent));
      breaches_.back().is_before = IsBefore(sent);
    }
    if (ran > bounds_.attempts) {
      Note("BUDGET", sent.id, std::to_string(ran) + " targets ran it");
    }
  }

  /// TWICE: attempts of a caller with one id run once, but for those that
  /// began before an earlier one was known not to run.
  void CheckOnce(const Sent& last) {
    ++judged_["unsafe"];
    const auto& attempts = repeats_.at(last.id);
    if (attempts.front() != &last) ++judged_["unsafe repeated"];
    if (attempts.back() != &last) return;
    const auto open =
        std::count_if(attempts.begin(), attempts.end() - 1,
                      [](const Sent* sent) { return !Promises(sent->status); });
    const std::size_t ran = RanCount(last);
    if (ran <= 1 + static_cast<std::size_t>(open)) return;
    std::string detail = std::to_string(ran) + " runs";
    for (const Sent* sent : attempts) {
      if (Ran(OwnRunsOf(*sent)) > 0) detail += TakenBy(*sent);
    }
    Note("TWICE", last.id, detail);
    breaches_.back().is_before = OnlyBeforeAtFault(attempts);
  }

  /// Whether each attempt that ran twice, or ran and was denied, was taken by a
  /// host of the build before, and there is one.
  bool OnlyBeforeAtFault(const std::vector<const Sent*>& attempts) const {
    bool found = false;
    for (const Sent* sent : attempts) {
      const std::size_t own = Ran(OwnRunsOf(*sent));
      if (own == 0 || (own == 1 && !Promises(sent->status))) continue;
      if (!IsBefore(*sent)) return false;
      found = true;
    }
    return found;
  }

  bool IsBefore(const Sent& sent) const {
    return sent.host < records_.before.size() && records_.before[sent.host];
  }

  std::string TakenBy(const Sent& sent) const {
    return ", taken by host " + std::to_string(sent.host) +
           (IsBefore(sent) ? " of the build before" : "");
  }

  void CountStream(const Sent& sent) {
    ++judged_["ORDER"];
    if (WasResumed(sent)) ++judged_["ORDER resumed"];
  }

  bool WasResumed(const Sent& sent) const {
    const auto& runs = RunsOf(sent);
    return std::any_of(runs.begin(), runs.end(),
                       [](const Run* run) { return run->resumed; });
  }

  /// LOST: no answer is cut but by a disturbance or the caller.
  void CheckCut(const Sent& sent) {
    if (!WasCut(sent)) return;
    if (!IsStream(sent)) return NoteCut(sent);
    if (StopThatCut(sent) && !StreamEnded(sent)) NoteCut(sent);
  }

  /// LOST for streams away from the end of a stop: on a busy machine the host
  /// may take its own slowness for that of a target that is gone.
  void CheckStreamCut(const Sent& sent) {
    if (!IsStream(sent)) return;
    if (sent.ended && sent.whole) ++judged_["LOST"];
    if (!WasCut(sent) || TargetsDisturbed(sent, *sent.ended)) return;
    ++judged_["LOST"];
    if (!StopThatCut(sent) && !StreamEnded(sent)) NoteCut(sent);
  }

  /// Whether something else than the host ended the stream.
  bool StreamEnded(const Sent& sent) const {
    const Time end = *sent.ended;
    return TargetsDisturbed(sent, end) ||
           end - sent.at + milliseconds(100) >= sent.deadline;
  }

  /// Whether the way of the answer was disturbed, stops apart.
  bool AnswerDisturbed(const Sent& sent) const {
    return Disturbed(Subject::kHost, sent.host, sent.at - milliseconds(200),
                     *sent.ended, false) ||
           Disturbed(Subject::kCallerPath, sent.host, sent.at - bounds_.touch,
                     *sent.ended);
  }

  bool WasCut(const Sent& sent) const {
    if (sent.left || !sent.ended || sent.whole) return false;
    return !AnswerDisturbed(sent) && !MayBeCut(sent);
  }

  void NoteCut(const Sent& sent) {
    Note("LOST", sent.id,
         "cut at host " + std::to_string(sent.host) + ", status " +
             std::to_string(sent.status) + ", " + Around(sent));
  }

  /// The planned stop at whose end the request was cut: of the process that
  /// was gone last, the first order.
  const Disturbance* StopThatCut(const Sent& sent) const {
    constexpr Duration kClose = milliseconds(100);
    const Disturbance* last = nullptr;
    for (const auto& d : records_.disturbances) {
      if (!IsStopOf(d, sent.host)) continue;
      if (sent.at > d.until.value_or(records_.over)) continue;
      if (*sent.ended + kClose < *d.gone) continue;
      if (last == nullptr || *d.gone > *last->gone) last = &d;
    }
    return last;
  }

  static bool IsStopOf(const Disturbance& d, std::size_t host) {
    return d.subject == Subject::kHost && d.planned && d.number == host &&
           d.gone.has_value();
  }

  /// Whether the end of a planned stop cut the request, and was free to.
  bool MayBeCut(const Sent& sent) const {
    const Disturbance* stop = StopThatCut(sent);
    if (stop == nullptr) return false;
    const auto& runs = RunsOf(sent);
    if (runs.empty()) {
      return sent.at >= *stop->gone ||
             *sent.ended - sent.at <= bounds_.loss_slack;
    }
    if (sent.at > stop->from + bounds_.stop_sent) return false;
    return std::any_of(runs.begin(), runs.end(), [&](const Run* run) {
      const Time worked = run->ended.value_or(*sent.ended);
      return 6 * (worked - stop->from) >= 5 * bounds_.stop;
    });
  }

  /// The moment of the cut, beside what is planned.
  std::string Around(const Sent& sent) const {
    const auto ms = [](Duration time) {
      return std::to_string(
                 std::chrono::duration_cast<milliseconds>(time).count()) +
             " ms";
    };
    std::string out = ms(*sent.ended - sent.at) + " after it was sent";
    if (RunsOf(sent).empty()) out += ", reached no target";
    for (const auto& d : records_.disturbances) {
      if (!OpenIn(sent, d)) continue;
      out += ", sent " + ms(sent.at - d.from) +
             " after SIGTERM, process gone " + ms(*d.gone - d.from) +
             " after it";
    }
    return out;
  }

  static bool OpenIn(const Sent& sent, const Disturbance& d) {
    return IsStopOf(d, sent.host) && sent.at<*d.gone&& * sent.ended> d.from;
  }

  /// Counts the requests that were open while something planned was done.
  void CountAround(const Sent& sent) {
    if (sent.kind == Kind::kStream) {
      ++judged_["streams"];
      if (WasResumed(sent)) ++judged_["resumed"];
    }
    if (sent.left || !sent.ended) return;
    const bool is_judged =
        !AnswerDisturbed(sent) && (sent.whole || !MayBeCut(sent));
    const auto count = [&](bool is_around, const std::string& what) {
      if (!is_around) return;
      ++judged_[what];
      if (is_judged) ++judged_["LOST " + what];
    };
    count(OpenInStop(sent, Duration::min()), "stop");
    count(OpenInStop(sent, bounds_.stop_sent), "late");
    count(OpenInReload(sent), "reload");
    count(OpenBesideConfig(sent), "config");
  }

  /// `after`: only what was sent later than this after the order to stop.
  bool OpenInStop(const Sent& sent, Duration after) const {
    return std::any_of(records_.disturbances.begin(),
                       records_.disturbances.end(), [&](const Disturbance& d) {
                         return OpenIn(sent, d) && sent.at - d.from > after;
                       });
  }

  bool OpenInReload(const Sent& sent) const {
    return std::any_of(records_.reloads.begin(), records_.reloads.end(),
                       [&](const Reload& reload) {
                         return reload.host == sent.host &&
                                OpenBeside(sent, reload.at, bounds_.config);
                       });
  }

  bool OpenBesideConfig(const Sent& sent) const {
    return std::any_of(
        records_.configs.begin(), records_.configs.end(),
        [&](Time at) { return OpenBeside(sent, at, bounds_.config_change); });
  }

  /// Whether the request was sent until `slack` after the moment and ended
  /// behind it.
  static bool OpenBeside(const Sent& sent, Time at, Duration slack) {
    return sent.at <= at + slack && *sent.ended >= at;
  }

  /// ENDS: no process ends by itself.
  void CheckEnds() {
    for (const auto& end : records_.ends) {
      Note("ENDS", "",
           "the process of host " + std::to_string(end.host) +
               " ended by itself, status " + std::to_string(end.status));
    }
  }

  /// USED: an odd entry costs none of the targets beside it.
  void CheckBeside(const OddEntry& odd) {
    constexpr std::size_t kLeastRequests = 20;
    std::size_t all = 0;
    std::size_t served = 0;
    for (const auto& sent : records_.sent) {
      const KeyLife* life = LifeOf(sent.key);
      if (sent.at < odd.from + bounds_.config || sent.at > odd.until ||
          sent.left || !sent.ended || life == nullptr || life->removed ||
          !InTouch(sent.host, sent.at)) {
        continue;
      }
      ++all;
      if (Success(sent) && sent.whole) ++served;
    }
    if (all < kLeastRequests) return;
    ++judged_["USED"];
    if (static_cast<double>(served) >=
        bounds_.recovered_share * static_cast<double>(all)) {
      return;
    }
    Note("USED", "",
         std::to_string(served) + " of " + std::to_string(all) +
             " served beside an entry with " + odd.what);
  }

  /// Whether nothing else was done to the host of a request, and the store
  /// served it.
  bool IsBeside(const TurnAway& turned, const Sent& sent) const {
    return std::none_of(
        records_.disturbances.begin(), records_.disturbances.end(),
        [&](const Disturbance& d) {
          if (d.number != sent.host || d.from > sent.at) return false;
          if (d.until.value_or(records_.over) < turned.from - bounds_.touch)
            return false;
          return d.subject == Subject::kStorePath ||
                 (d.subject == Subject::kHost && d.from != turned.from);
        });
  }

  /// RECOVER: hosts that come back and are turned away by the store cost the
  /// callers of others nothing.
  void CheckBesideTurnedAway(const TurnAway& turned) {
    std::size_t refused = 0;
    for (const auto& sent : records_.sent) {
      if (sent.at < turned.since + bounds_.turned_away ||
          sent.at > turned.until || !IsBeside(turned, sent)) {
        continue;
      }
      ++judged_["RECOVER beside"];
      refused += sent.status == kUnavailable;
    }
    if (refused == 0) return;
    Note("RECOVER", "",
         std::to_string(refused) +
             " refused at hosts that the store served, beside hosts that it "
             "turned away");
  }

  /// UNASKED, ROUTE: targets get what a caller sent, under its account.
  void CheckAsked(const Run& run) {
    const auto at = sent_.find(run.id);
    if (at == sent_.end()) {
      return Note("UNASKED", run.id, "no caller sent it");
    }
    const Sent& sent = *at->second;
    if (run.path != sent.path || run.body != sent.body) {
      Note("UNASKED", run.id, "changed: " + run.path);
    }
    if (run.key_seen) Note("UNASKED", run.id, "the key reached a target");
    const KeyLife* life = LifeOf(sent.key);
    if (life == nullptr) {
      Note("ROUTE", run.id, "ran with a key that never was");
    } else if (life->account != run.account) {
      Note("UNASKED", run.id, "under the account " + run.account);
    }
  }

  const KeyLife* LifeOf(const std::string& key) const {
    for (const auto& life : records_.keys) {
      if (life.key == key) return &life;
    }
    return nullptr;
  }

  /// BUDGET: repeats of all hosts together, in any window.
  void CheckRepeats() {
    std::vector<Time> repeats;
    for (const auto& [attempt, runs] : own_runs_) {
      for (std::size_t i = 1; i < runs.size(); ++i) {
        repeats.push_back(runs[i]->at);
      }
    }
    std::vector<Time> requests;
    for (const auto& sent : records_.sent) requests.push_back(sent.at);
    std::sort(repeats.begin(), repeats.end());
    std::sort(requests.begin(), requests.end());
    const auto within = [this](const std::vector<Time>& all, Time begin) {
      const auto first = std::lower_bound(all.begin(), all.end(), begin);
      const auto last =
          std::upper_bound(first, all.end(), begin + bounds_.repeat_window);
      return static_cast<double>(last - first);
    };
    for (const Time begin : repeats) {
      const double most =
          bounds_.repeat_ratio * within(requests, begin) + bounds_.repeat_slack;
      if (within(repeats, begin) <= most) continue;
      return Note("BUDGET", "", "too many repeats in a window");
    }
  }

  /// Every request has its final answer soon after its deadline.
  void CheckInTime(const Sent& sent) {
    const Time due = sent.at + sent.deadline + bounds_.late_answer;
    if (sent.left || due > records_.over) return;
    if (sent.ended && *sent.ended <= due) {
      ++judged_["CONFIG time"];
      return;
    }
    if (Disturbed(Subject::kHost, sent.host, sent.at - bounds_.touch, due) ||
        Disturbed(Subject::kCallerPath, sent.host, sent.at - bounds_.touch,
                  due)) {
      return;
    }
    ++judged_["CONFIG time"];
    Note("CONFIG", sent.id, "no answer at its deadline");
  }

  /// GONE: work ends soon after its caller has left.
  void CheckGone(const Sent& sent) {
    if (!sent.left) return;
    const Time due = *sent.left + bounds_.left;
    for (const Run* run : RunsOf(sent)) {
      if (run->ended && *run->ended <= due) {
        ++judged_["GONE"];
        continue;
      }
      const Time end = run->ended.value_or(records_.over);
      if (end <= due) continue;
      if (Disturbed(Subject::kHost, sent.host, sent.at - bounds_.touch, due) ||
          Disturbed(Subject::kCallerPath, sent.host, sent.at - bounds_.touch,
                    due) ||
          Disturbed(Subject::kTarget, run->target, run->at - bounds_.touch,
                    due)) {
        continue;
      }
      ++judged_["GONE"];
      Note("GONE", sent.id, "work goes on after its caller left");
    }
  }

  /// CONFIG, DENIED: keys are in force and out of it in time.
  void CheckKey(const Sent& sent) {
    const KeyLife* life = LifeOf(sent.key);
    if (life == nullptr || sent.status == 0) return;
    const bool added = sent.at > life->added + bounds_.config;
    const bool removed =
        life->removed && sent.at > *life->removed + bounds_.config;
    const bool in_touch = InTouch(sent.host, sent.at);
    const bool knew_removal =
        removed && !in_touch &&
        KnewBeforeRewind(sent.host, *life->removed, bounds_.config, sent.at);
    if (knew_removal) ++judged_["CONFIG rewound"];
    if (!in_touch && !knew_removal) return;
    if (!removed && added && !life->removed) {
      ++judged_["DENIED"];
      if (sent.status == kUnauthorized) {
        Note("DENIED", sent.id, "a key in force is refused");
      }
    }
    if (removed) {
      ++judged_["CONFIG key"];
      if (sent.status != kUnauthorized) {
        Note("CONFIG", sent.id, "a key that was taken away is taken");
      }
    }
  }

  /// DRAIN: nothing reaches a target that has been leaving for long.
  void CheckLeaving(const Run& run) {
    if (!sent_.contains(run.id)) return;
    const std::size_t host = AttemptOf(run).host;
    for (const auto& leaving : records_.leaving) {
      if (leaving.target != run.target) continue;
      if (run.at <= leaving.from + bounds_.drain) continue;
      if (leaving.until && run.at >= *leaving.until) continue;
      if (!InTouch(host, run.at) &&
          !KnewBeforeRewind(host, leaving.from, bounds_.drain, run.at)) {
        continue;
      }
      const auto late =
          std::chrono::duration_cast<milliseconds>(run.at - leaving.from);
      Note("DRAIN", run.id,
           "sent by host " + std::to_string(host) + " to target " +
               std::to_string(run.target) + ", " +
               std::to_string(late.count()) + " ms after it began to leave");
    }
  }

  /// EVAC: nothing reaches a target whose failure domain has been out of
  /// service for long.
  void CheckEvacuated(const Run& run) {
    if (!sent_.contains(run.id)) return;
    const std::size_t host = AttemptOf(run).host;
    for (const auto& out : records_.evacuated) {
      if (out.target != run.target) continue;
      if (run.at <= out.from + bounds_.evacuation) continue;
      if (out.until && run.at >= *out.until) continue;
      if (!InTouch(host, run.at)) continue;
      const auto late =
          std::chrono::duration_cast<milliseconds>(run.at - out.from);
      Note("EVAC", run.id,
           "sent by host " + std::to_string(host) + " to target " +
               std::to_string(run.target) + ", " +
               std::to_string(late.count()) + " ms after its evacuation");
    }
  }

  /// DRAIN, BUDGET: what a target says of itself to a host binds that host, in
  /// touch or not, unless it was stopped, started or paused since.
  void CheckWord(const Word& word) {
    ++judged_[word.rest ? "BUDGET words" : "DRAIN words"];
    const auto at = sent_.find(word.id);
    if (at == sent_.end() || at->second->left) return;
    const std::size_t host = at->second->host;
    const Time from =
        word.at + (word.rest ? bounds_.rest_slack : bounds_.drain);
    const Time end = word.rest ? word.at + *word.rest : records_.over;
    std::vector<std::string> late;
    for (const Run* run : RunsAt(word.target)) {
      if (sent_.at(run->id)->host != host) continue;
      if (run->born != word.born || run->at <= from || run->at >= end) continue;
      // What its caller sent in time may be late.
      if (!word.rest && sent_.at(run->id)->at <= from) continue;
      if (!Disturbed(Subject::kHost, host, word.at, run->at)) {
        late.push_back(run->id);
      }
    }
    const bool whole = from < std::min(end, records_.over) &&
                       !Disturbed(Subject::kHost, host, word.at, from);
    if (whole) ++judged_[word.rest ? "BUDGET rest" : "DRAIN told"];
    if (late.size() <= (word.rest ? bounds_.rest_requests : 0)) return;
    Note(word.rest ? "BUDGET" : "DRAIN", late.front(),
         "and " + std::to_string(late.size() - 1) + " more by host " +
             std::to_string(host) + " reached target " +
             std::to_string(word.target) +
             (word.rest ? ", which wanted nothing" : ", which said it leaves"));
  }

  /// LIMIT: what a target takes from all hosts together binds those that passed
  /// its word on, unless they were stopped, started or paused since; and, as
  /// hosts tell each other, all that were not disturbed.
  void CheckLimit(std::size_t number) {
    const NamedLimit& limit = records_.limits[number];
    if (!limit.first) return;
    ++judged_["LIMIT named"];
    const Time from = *limit.first + bounds_.limit_grace;
    const Time end =
        std::min(limit.until.value_or(records_.over), records_.over);
    if (from + bounds_.limit_window > end) return;
    ++judged_["LIMIT"];
    const auto told = ToldLimit(number);
    std::vector<const Run*> of_told;
    std::vector<const Run*> of_all;
    for (const Run* run : RunsAt(limit.target)) {
      if (run->born != limit.born || run->at < from || run->at >= end) continue;
      const std::size_t host = sent_.at(run->id)->host;
      if (!Disturbed(Subject::kHost, host, run->at - bounds_.touch, run->at)) {
        of_all.push_back(run);
      }
      const auto word = told.find(host);
      if (word == told.end() || run->at < word->second + bounds_.limit_told ||
          Disturbed(Subject::kHost, host, word->second, run->at)) {
        continue;
      }
      of_told.push_back(run);
    }
    judged_["LIMIT requests"] += of_told.size();
    judged_["LIMIT all"] += of_all.size();
    CheckWindows(limit, of_told, "hosts that were told");
    CheckWindows(limit, of_all, "all hosts");
  }

  void CheckWindows(const NamedLimit& limit, std::vector<const Run*> runs,
                    const std::string& whose) {
    std::sort(runs.begin(), runs.end(),
              [](const Run* a, const Run* b) { return a->at < b->at; });
    const double seconds =
        std::chrono::duration<double>(bounds_.limit_window).count();
    const auto most = static_cast<std::size_t>(
        bounds_.limit_factor * limit.rate * seconds + bounds_.limit_slack);
    for (std::size_t first = 0, last = 0; last < runs.size(); ++last) {
      while (runs[last]->at - runs[first]->at > bounds_.limit_window) ++first;
      const std::size_t got = last - first + 1;
      if (got <= most) continue;
      return Note("LIMIT", runs[last]->id,
                  "target " + std::to_string(limit.target) +
                      " with a limit of " + std::to_string(limit.rate) +
                      " got " + std::to_string(got) + " in a window from " +
                      whose + ", " + std::to_string(most) + " allowed");
    }
  }

  /// When each host passed an answer on that named the limit.
  std::map<std::size_t, Time> ToldLimit(std::size_t number) const {
    std::map<std::size_t, Time> out;
    for (const auto& word : records_.limit_words) {
      if (word.limit != number) continue;
      const auto at = sent_.find(word.id);
      if (at != sent_.end()) out.try_emplace(at->second->host, word.at);
    }
    return out;
  }

  /// What reached the target from callers.
  const std::vector<const Run*>& RunsAt(std::size_t target) {
    if (runs_at_.empty()) {
      for (const auto& run : records_.runs) {
        if (sent_.contains(run.id)) runs_at_[run.target].push_back(&run);
      }
    }
    return runs_at_[target];
  }

  /// LEAK: memory is free soon after its last use.
  void CheckMemory() {
    for (const auto& held : records_.held) {
      const Time free = held.renewed + held.life;
      if (held.released || free <= records_.over) {
        ++judged_["LEAK"];
        continue;
      }
      if (Disturbed(Subject::kTarget, held.target, held.renewed - bounds_.touch,
                    records_.over)) {
        continue;
      }
      const auto used = std::any_of(
          records_.sent.begin(), records_.sent.end(), [&](const Sent& sent) {
            const std::string holder = "host" + std::to_string(sent.host) + "~";
            return sent.large && held.id.starts_with(holder) &&
                   sent.ended.value_or(records_.over) + bounds_.free_memory >
                       records_.over;
          });
      ++judged_["LEAK"];
      if (!used) Note("LEAK", "", held.id + " is still held");
    }
  }

  /// RECOVER: once all is quiet, requests are served again.
  void CheckRecovered() {
    std::size_t all = 0;
    std::size_t served = 0;
    for (const auto& sent : records_.sent) {
      const KeyLife* life = LifeOf(sent.key);
      if (sent.at < records_.quiet_from + bounds_.recover || sent.left ||
          life == nullptr || life->removed || !sent.ended) {
        continue;
      }
      ++all;
      if (Success(sent) && sent.whole) ++served;
    }
    judged_["RECOVER"] = all;
    if (all == 0) return;
    const double share = static_cast<double>(served) / static_cast<double>(all);
    if (share < bounds_.recovered_share) {
      Note("RECOVER", "",
           std::to_string(served) + " of " + std::to_string(all) + " served");
    }
  }

  /// PEERS: hosts that have been quiet know each other.
  void CheckPeers() {
    const std::size_t all = records_.hosts_known.size();
    for (std::size_t host = 0; host < all; ++host) {
      const std::size_t known = records_.hosts_known[host];
      ++judged_["PEERS"];
      if (known == all) continue;
      Note("PEERS", "",
           "host " + std::to_string(host) + " knows " + std::to_string(known) +
               " of " + std::to_string(all) + " hosts");
    }
  }

  const Records& records_;
  const Bounds& bounds_;
  std::map<std::string, const Sent*> sent_;
  /// Attempts by id, as they were sent.
  std::map<std::string, std::vector<const Sent*>> repeats_;
  std::map<std::string, std::vector<const Run*>> runs_;
  /// By attempt of the caller.
  std::map<const Sent*, std::vector<const Run*>> own_runs_;
  std::map<std::size_t, std::vector<const Run*>> runs_at_;  ///< By target.
  std::vector<Breach> breaches_;
  std::map<std::string, std::size_t> judged_;
};

}  // namespace

int EventCountOf(const std::string& id) {
  return kLeastEvents +
         static_cast<int>(std::hash<std::string>()(id) % kMoreEvents);
}

std::string EventOf(const std::string& id, int number) {
  const std::string text = std::to_string(number);
  return "id: " + text + "\ndata: " + id + '-' + text + "\n\n";
}

std::string EventsOf(const std::string& id) {
  std::string out;
  for (int i = 1; i <= EventCountOf(id); ++i) out += EventOf(id, i);
  return out;
}

std::string AnswerOf(const std::string& path, const std::string& body) {
  return "answer to " + path + " with " + body;
}

std::vector<Judged> CountJudged(const Records& records, const Bounds& bounds,
                                bool timed) {
  Judge judge(records, bounds);
  judge.Untimed();
  std::vector<Judged> out = judge.UntimedCounts();
  if (!timed) return out;
  judge.Timed();
  const std::vector<Judged> more = judge.TimedCounts();
  out.insert(out.end(), more.begin(), more.end());
  return out;
}

std::vector<Breach> Check(const Records& records, const Bounds& bounds,
                          bool timed) {
  Judge judge(records, bounds);
  judge.Untimed();
  if (timed) judge.Timed();
  return judge.TakeBreaches();
}

}  // namespace comfreyflow::soak
