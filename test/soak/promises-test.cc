// The judge of the soak: each promise is found broken, and only that one.
#include "soak/promises.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

using namespace comfreyflow;        // NOLINT(google-build-using-namespace)
using namespace comfreyflow::soak;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Time kStart{std::chrono::hours(1)};

/// One request of each kind, served as it should be.
Records Sound() {
  Records records;
  records.keys = {{"key", "account", kStart - seconds(60), std::nullopt}};
  const auto add = [&records](Kind kind, const std::string& id,
                              const std::string& answer) {
    Sent sent;
    sent.id = id;
    sent.kind = kind;
    sent.key = "key";
    sent.path = "/p/" + id;
    sent.body = "b";
    sent.at = kStart;
    sent.deadline = seconds(3);
    sent.ended = kStart + milliseconds(200);
    sent.status = 200;
    sent.whole = true;
    sent.marked = true;
    sent.answer = answer;
    Run run;
    run.id = id;
    run.at = kStart + milliseconds(5);
    run.path = sent.path;
    run.body = sent.body;
    run.account = "account";
    run.ended = sent.ended;
    records.sent.push_back(sent);
    records.runs.push_back(run);
  };
  add(Kind::kSafe, "safe", AnswerOf("/p/safe", "b"));
  add(Kind::kUnsafe, "unsafe", AnswerOf("/p/unsafe", "b"));
  add(Kind::kStream, "stream", EventsOf("stream"));
  records.quiet_from = kStart - seconds(20);
  records.over = kStart + seconds(20);
  return records;
}

constexpr std::size_t kUnsafeAt = 1;
constexpr std::size_t kStreamAt = 2;

std::set<std::string> Broken(const Records& records, bool timed = true) {
  std::set<std::string> out;
  for (const auto& breach : Check(records, {}, timed)) {
    out.insert(breach.promise);
  }
  return out;
}

using Promises = std::set<std::string>;

}  // namespace

TEST_CASE("what was served as it should be breaks nothing") {
  CHECK(Broken(Sound()).empty());
}

/// The unsafe request was told 503 and sent again under its id.
Records Repeated() {
  Records records = Sound();
  Sent again = records.sent[kUnsafeAt];
  Sent& first = records.sent[kUnsafeAt];
  first.status = 503;
  first.answer.clear();
  again.host = 1;
  again.at = kStart + milliseconds(300);
  again.ended = again.at + milliseconds(200);
  records.runs[kUnsafeAt].at = again.at + milliseconds(5);
  records.runs[kUnsafeAt].ended = again.ended;
  records.sent.push_back(again);
  return records;
}

TEST_CASE("what was refused and is sent again under its id may run once") {
  Records records = Repeated();
  CHECK(Broken(records).empty());
  records.runs.push_back(records.runs[kUnsafeAt]);
  CHECK(Broken(records) == Promises{"TWICE"});
  records.runs.back().ran = false;
  CHECK(Broken(records).empty());
}

TEST_CASE("a run of a refused attempt counts beside that of its repeat") {
  Records records = Repeated();
  records.runs.push_back(records.runs[kUnsafeAt]);
  records.runs.back().at = kStart + milliseconds(5);
  CHECK(Broken(records) == Promises{"REFUSED", "TWICE"});
  records.runs.erase(records.runs.begin() + kUnsafeAt);
  CHECK(Broken(records).contains("REFUSED"));
}

TEST_CASE("an attempt that was not refused may run beside its repeat") {
  Records records = Repeated();
  records.sent[kUnsafeAt].status = 502;
  records.runs.push_back(records.runs[kUnsafeAt]);
  records.runs.back().at = kStart + milliseconds(5);
  CHECK(Broken(records).empty());
  records.runs.push_back(records.runs.back());
  CHECK(Broken(records) == Promises{"TWICE"});
}

TEST_CASE("a second run counts for the host whose attempt is at fault") {
  const auto is_before = [](Records records, std::vector<bool> before) {
    records.before = std::move(before);
    const auto breaches = Check(records, {}, true);
    REQUIRE(!breaches.empty());
    return std::all_of(breaches.begin(), breaches.end(),
                       [](const Breach& breach) { return breach.is_before; });
  };
  Records records = Repeated();
  SUBCASE("it ran and was refused") {
    records.runs.push_back(records.runs[kUnsafeAt]);
    records.runs.back().at = kStart + milliseconds(5);
    CHECK(is_before(records, {true, false}));
    CHECK(!is_before(records, {false, true}));
  }
  SUBCASE("its repeat ran twice") {
    records.runs.push_back(records.runs[kUnsafeAt]);
    CHECK(is_before(records, {false, true}));
    CHECK(!is_before(records, {true, false}));
  }
}

TEST_CASE("a second run of what must not run twice is found") {
  Records records = Sound();
  records.runs.push_back(records.runs[kUnsafeAt]);
  CHECK(Broken(records) == Promises{"TWICE"});
  records.runs.back().ran = false;
  CHECK(Broken(records).empty());
}

TEST_CASE("a refusal of what ran is found") {
  Records records = Sound();
  records.sent[kUnsafeAt].status = 503;
  CHECK(Broken(records) == Promises{"REFUSED"});
  records.runs.erase(records.runs.begin() + kUnsafeAt);
  CHECK(Broken(records).empty());
}

TEST_CASE("events that are missing or twice are found, whole or cut") {
  Records records = Sound();
  Sent& sent = records.sent[kStreamAt];
  const std::string all = sent.answer;
  sent.answer = all.substr(EventOf("stream", 1).size());
  CHECK(Broken(records) == Promises{"ORDER"});
  sent.answer = EventOf("stream", 1) + all;
  CHECK(Broken(records) == Promises{"ORDER"});
  sent.answer = EventOf("stream", 1);
  CHECK(Broken(records) == Promises{"ORDER"});
  sent.whole = false;
  CHECK(Broken(records) == Promises{"LOST"});
  CHECK(Broken(records, false).empty());
}

TEST_CASE("answers without mark, of others, or of nobody are found") {
  Records records = Sound();
  records.sent[0].marked = false;
  CHECK(Broken(records) == Promises{"MIXED"});
  records = Sound();
  records.sent[0].answer = AnswerOf("/p/other", "b");
  CHECK(Broken(records) == Promises{"MIXED"});
  records = Sound();
  records.runs.erase(records.runs.begin());
  CHECK(Broken(records) == Promises{"MIXED"});
}

TEST_CASE(
    "requests that nobody sent, changed, or under another name are found") {
  for (const auto change : std::initializer_list<void (*)(Run&)>{
           [](Run& run) { run.path += "x"; }, [](Run& run) { run.body = ""; },
           [](Run& run) { run.account = "other"; },
           [](Run& run) { run.key_seen = true; }}) {
    Records records = Sound();
    change(records.runs[0]);
    CHECK(Broken(records) == Promises{"UNASKED"});
  }
  Records records = Sound();
  records.runs[0].id = "nobody";
  CHECK(Broken(records).contains("UNASKED"));
}

TEST_CASE("a cut counts unless something was done to the host") {
  Records records = Sound();
  Sent& sent = records.sent[0];
  sent.status = 0;
  sent.whole = false;
  CHECK(Broken(records) == Promises{"LOST"});
  Disturbance kill;
  kill.from = kStart + milliseconds(100);
  records.disturbances = {kill};
  CHECK(Broken(records).empty());
  records.disturbances[0].planned = true;
  CHECK(Broken(records) == Promises{"LOST"});
}

namespace {

/// One request, cut by the end of a planned stop of four seconds that began
/// `before` ahead of it; its target was at work to the end.
Records CutByStop(Duration before, Kind kind = Kind::kUnsafe) {
  Records records = Sound();
  const std::size_t at = kind == Kind::kStream ? kStreamAt : kUnsafeAt;
  records.sent = {records.sent[at]};
  records.runs = {records.runs[at]};
  Sent& sent = records.sent[0];
  sent.whole = false;
  sent.answer = kind == Kind::kStream ? EventOf(sent.id, 1) : "";
  sent.status = kind == Kind::kStream ? 200 : 0;
  Disturbance stop;
  stop.planned = true;
  stop.from = kStart - before;
  sent.ended = stop.from + milliseconds(3555);
  sent.deadline = seconds(9);
  stop.gone = sent.ended;
  stop.until = *sent.ended + seconds(3);
  records.runs[0].ended = sent.ended;
  records.disturbances = {stop};
  records.quiet_from = records.over;
  return records;
}

double JudgedIn(const Records& records, const std::string& unit) {
  for (const auto& judged : CountJudged(records, {}, false)) {
    if (judged.unit == unit) return judged.judged;
  }
  return -1;
}

}  // namespace

TEST_CASE("the end of a planned stop may cut what it had all the time for") {
  CHECK(Broken(CutByStop(milliseconds(2900))).empty());
  CHECK(Broken(CutByStop(milliseconds(2900), Kind::kStream)).empty());
}

TEST_CASE("a request that was sent late in a planned stop and cut is found") {
  CHECK(Broken(CutByStop(milliseconds(3100)), false) == Promises{"LOST"});
  CHECK(Broken(CutByStop(milliseconds(3100), Kind::kStream), false) ==
        Promises{"LOST"});
}

TEST_CASE("a second SIGTERM does not pardon cuts of what was sent late") {
  Records records = CutByStop(milliseconds(3100));
  records.disturbances.push_back(records.disturbances[0]);
  records.disturbances[1].from += milliseconds(200);
  CHECK(Broken(records) == Promises{"LOST"});
}

TEST_CASE("a stop right after a restart is not taken for the one before") {
  Records records = CutByStop(milliseconds(2900));
  Disturbance before = records.disturbances[0];
  before.from -= seconds(8);
  *before.gone = before.from + milliseconds(3555);
  before.until = kStart + milliseconds(10);
  records.disturbances.insert(records.disturbances.begin(), before);
  CHECK(Broken(records).empty());
  records.disturbances[1].from = kStart - milliseconds(3100);
  CHECK(Broken(records) == Promises{"LOST"});
}

TEST_CASE("a stop that ends early and cuts what is open is found") {
  Records records = CutByStop(milliseconds(100));
  for (const auto moment : {&records.sent[0].ended, &records.runs[0].ended,
                            &records.disturbances[0].gone}) {
    *moment = kStart + milliseconds(3000);
  }
  CHECK(Broken(records) == Promises{"LOST"});
}

TEST_CASE(
    "an answer that was made before a stop's last sixth and lost counts") {
  Records records = CutByStop(milliseconds(2900));
  records.runs[0].ended = kStart + milliseconds(300);
  CHECK(Broken(records) == Promises{"LOST"});
}

TEST_CASE("a request that waited for a target when a stop ended is found") {
  Records records = CutByStop(milliseconds(3300));
  records.runs.clear();
  CHECK(Broken(records) == Promises{"LOST"});
  SUBCASE("not if it was sent just before the close") {
    records.sent[0].at = *records.sent[0].ended - milliseconds(150);
  }
  SUBCASE("not if the process had ended") {
    records.sent[0].at = *records.sent[0].ended + milliseconds(10);
    records.sent[0].ended = records.sent[0].at + milliseconds(400);
  }
  CHECK(Broken(records).empty());
}

TEST_CASE("a refused connection counts once the next process is there") {
  Records records = CutByStop(milliseconds(3300));
  records.runs.clear();
  records.disturbances[0].until = *records.sent[0].ended + seconds(1);
  records.sent[0].at = *records.sent[0].ended + seconds(2);
  records.sent[0].ended = records.sent[0].at + milliseconds(5);
  CHECK(Broken(records) == Promises{"LOST"});
}

TEST_CASE("a request that is cut early in a planned stop is found") {
  Records records = CutByStop(milliseconds(100));
  records.sent[0].ended = kStart + milliseconds(150);
  records.runs[0].ended = records.sent[0].ended;
  CHECK(Broken(records) == Promises{"LOST"});
  records.runs.clear();
  CHECK(Broken(records) == Promises{"LOST"});
}

TEST_CASE("a stream that is cut while its target is silent is found") {
  Records records = Sound();
  Sent& sent = records.sent[kStreamAt];
  sent.deadline = seconds(9);
  sent.ended = kStart + milliseconds(1400);
  records.runs[kStreamAt].ended = sent.ended;
  sent.whole = false;
  sent.answer = EventOf("stream", 1);
  CHECK(Broken(records) == Promises{"LOST"});
  SUBCASE("in a planned stop") {
    Disturbance stop;
    stop.planned = true;
    stop.from = kStart - seconds(1);
    stop.gone = kStart + seconds(3);
    records.disturbances = {stop};
    CHECK(Broken(records) == Promises{"LOST"});
  }
  SUBCASE("not if its target was disturbed") {
    records.disturbances = {
        {Subject::kTarget, 0, "dark", kStart, kStart + seconds(1)}};
    CHECK(Broken(records).empty());
  }
}

TEST_CASE("a cut beside SIGHUP or a configuration is found and counted") {
  Records records = Sound();
  CHECK(JudgedIn(records, "requests around reloads") == 0);
  records.reloads = {{0, kStart - seconds(1)}, {1, kStart}};
  records.configs = {kStart - milliseconds(2500)};
  CHECK(JudgedIn(records, "requests around reloads") == 3);
  CHECK(JudgedIn(records, "requests around configurations") == 3);
  records.reloads[0].at = kStart - milliseconds(2100);
  CHECK(JudgedIn(records, "requests around reloads") == 0);
  records.sent[0].whole = false;
  records.sent[0].status = 0;
  CHECK(Broken(records, false) == Promises{"LOST"});
}

TEST_CASE("cuts that are allowed do not count as judged stops") {
  const Records pardoned = CutByStop(milliseconds(2900));
  CHECK(JudgedIn(pardoned, "requests open in a stop") == 0);
  const Records late = CutByStop(milliseconds(3100));
  CHECK(JudgedIn(late, "requests open in a stop") == 1);
  CHECK(JudgedIn(late, "requests that no stop may cut") == 1);
  Records killed = CutByStop(milliseconds(3100));
  killed.disturbances.push_back(
      {Subject::kHost, 0, "host_kill", kStart, kStart + seconds(1)});
  CHECK(JudgedIn(killed, "requests open in a stop") == 0);
  CHECK(JudgedIn(Sound(), "requests open in a stop") == 0);
}

TEST_CASE("a run that resumed no stream does not count as one that did") {
  Records records = Sound();
  CHECK(JudgedIn(records, "streams") == 1);
  CHECK(JudgedIn(records, "resumed streams") == 0);
  records.runs[kStreamAt].resumed = true;
  CHECK(JudgedIn(records, "resumed streams") == 1);
}

TEST_CASE("a resumed stream that starts again or repeats an event is found") {
  Records records = Sound();
  Sent& sent = records.sent[kStreamAt];
  const std::string all = sent.answer;
  sent.answer = EventOf("stream", 1) + EventOf("stream", 2) + all;
  CHECK(Broken(records, false) == Promises{"ORDER"});
  sent.answer = EventOf("stream", 1) + all;
  CHECK(Broken(records, false) == Promises{"ORDER"});
}

TEST_CASE("a host process that ends by itself is found") {
  Records records = Sound();
  records.ends = {{3, kStart, 6}};
  CHECK(Broken(records, false) == Promises{"ENDS"});
}

TEST_CASE("a refusal beside a host that is turned away is found") {
  Records records = Sound();
  const TurnAway turned{kStart - seconds(3), kStart - seconds(2),
                        kStart + seconds(2)};
  records.turned_away = {turned};
  Sent refused = records.sent.front();
  refused.id = "refused";
  refused.status = 503;
  refused.answer.clear();
  records.sent.push_back(refused);
  CHECK(Broken(records) == Promises{"RECOVER"});
  CHECK(Broken(records, false).empty());
  // Hosts learn of each other within a second.
  records.turned_away[0].since = kStart - milliseconds(900);
  CHECK(Broken(records).empty());
  records.turned_away = {turned};
  const auto disturb = [&](Subject subject, Time from) {
    records.disturbances = {
        {subject, refused.host, "kill", from, kStart - seconds(1)}};
    return Broken(records).empty();
  };
  // All hosts were killed.
  CHECK_FALSE(disturb(Subject::kHost, turned.from));
  CHECK(disturb(Subject::kHost, turned.from - milliseconds(100)));
  CHECK(disturb(Subject::kStorePath, turned.from));
}

TEST_CASE("an odd entry that costs the targets beside it is found") {
  Records records = Sound();
  records.odd_entries = {
      {"a port out of range", kStart - seconds(3), kStart + seconds(1)}};
  const Sent sent = records.sent[kUnsafeAt];
  for (int i = 0; i < 100; ++i) {
    records.sent.push_back(sent);
    records.sent.back().id = "refused" + std::to_string(i);
    records.sent.back().status = 503;
  }
  records.quiet_from = records.over;
  CHECK(Broken(records) == Promises{"USED"});
  records.sent.resize(records.sent.size() - 95);
  CHECK(Broken(records).empty());
}

TEST_CASE("keys are judged by hosts in touch") {
  Records records = Sound();
  records.keys[0].removed = kStart - seconds(3);
  CHECK(Broken(records) == Promises{"CONFIG"});
  Disturbance cut;
  cut.subject = Subject::kStorePath;
  cut.from = kStart - seconds(1);
  records.disturbances = {cut};
  CHECK(Broken(records).empty());
  records = Sound();
  records.sent[0].status = 401;
  CHECK(Broken(records) == Promises{"DENIED"});
}

TEST_CASE(
    "late work for callers that left, and for leaving targets, is found") {
  Records records = Sound();
  Sent& sent = records.sent[kStreamAt];
  sent.left = kStart + milliseconds(50);
  sent.whole = false;
  sent.answer = EventOf("stream", 1);
  records.runs[kStreamAt].ended = kStart + milliseconds(900);
  CHECK(Broken(records) == Promises{"GONE"});
  records = Sound();
  records.leaving = {{0, kStart - seconds(5), std::nullopt}};
  CHECK(Broken(records) == Promises{"DRAIN"});
  records.leaving[0].until = kStart;
  CHECK(Broken(records).empty());
}

TEST_CASE("a request to an evacuated domain is found") {
  Records records = Sound();
  records.evacuated = {{0, kStart - seconds(7), std::nullopt}};
  CHECK(Broken(records) == Promises{"EVAC"});
  SUBCASE("not after the domain was put back") {
    records.evacuated[0].until = kStart;
  }
  SUBCASE("not within the bound") {
    records.evacuated[0].from = kStart - seconds(4);
  }
  SUBCASE("not of a host that was out of touch") {
    records.disturbances.push_back(
        {Subject::kStorePath, 0, "cut", kStart - seconds(1), std::nullopt});
  }
  CHECK(Broken(records).empty());
}

TEST_CASE("too many repeats, runs and held memory are found") {
  Records records = Sound();
  for (int i = 0; i < 2; ++i) records.runs.push_back(records.runs[0]);
  CHECK(Broken(records) == Promises{"BUDGET"});
  records = Sound();
  records.held = {{"id", 0, records.over - seconds(1), seconds(9), false}};
  CHECK(Broken(records) == Promises{"LEAK"});
  // Only a large prompt that its host still serves may hold it.
  records.held[0].id = "host1~id";
  Sent& large = records.sent[kStreamAt];
  large.large = true;
  records.over = *large.ended + seconds(1);
  CHECK(Broken(records) == Promises{"LEAK"});
  records.held[0].id = "host" + std::to_string(large.host) + "~id";
  CHECK(Broken(records).empty());
  records.held[0].released = true;
  CHECK(Broken(records).empty());
}

TEST_CASE("hosts that do not know each other are found") {
  Records records = Sound();
  records.hosts_known = {2, 2};
  CHECK(Broken(records).empty());
  records.hosts_known = {2, 1};
  CHECK(Broken(records) == Promises{"PEERS"});
}

TEST_CASE("counts tell how often a promise was judged, and of what") {
  Records records = Sound();
  records.leaving = {{0, kStart - seconds(6), kStart - seconds(2)}};
  const auto count = [&records](const std::string& promise) {
    for (const auto& judged : CountJudged(records, {}, true)) {
      if (judged.promise == promise) return judged;
    }
    return Judged{};
  };
  CHECK(count("DRAIN").of == doctest::Approx(2));
  CHECK(count("DRAIN").judged == doctest::Approx(2));
  CHECK(count("GONE").judged == 0);
  CHECK(count("RECOVER").judged == 3);
  // The last three seconds before each moment count too.
  records.disturbances.push_back({Subject::kStorePath, 0, "cut",
                                  kStart - seconds(7), kStart - seconds(6)});
  CHECK(count("DRAIN").judged == doctest::Approx(1).epsilon(0.1));
  CHECK(count("DRAIN").of == doctest::Approx(2));
}

TEST_CASE("a site that serves nobody after the last disturbance is found") {
  Records records = Sound();
  for (auto& sent : records.sent) sent.status = 503;
  records.runs.clear();
  CHECK(Broken(records) == Promises{"RECOVER"});
}

TEST_CASE(
    "a request for a target that told this host that it leaves is found") {
  Records records = Sound();
  records.words.push_back({"safe", 0, 1, kStart, std::nullopt});
  CHECK(Broken(records).empty());
  Sent later = records.sent[0];
  later.id = "later";
  later.at = kStart + milliseconds(2100);
  later.ended = later.at + milliseconds(100);
  Run run = records.runs[0];
  run.id = "later";
  run.at = later.at + milliseconds(5);
  run.ended = later.ended;
  records.sent.push_back(later);
  records.runs.push_back(run);
  CHECK(Broken(records) == Promises{"DRAIN"});
  SUBCASE("not of a later start") { records.runs.back().born = 2; }
  SUBCASE("not by another host") { records.sent.back().host = 1; }
  SUBCASE("not sent in time") {
    records.sent.back().at = kStart + milliseconds(1900);
  }
  SUBCASE("not by a host that was paused since") {
    records.disturbances.push_back(
        {Subject::kHost, 0, "pause", kStart + seconds(1), kStart + seconds(2)});
  }
  CHECK(Broken(records).empty());
}

TEST_CASE("a third request for a target that wants nothing is found") {
  Records records = Sound();
  records.words.push_back({"safe", 0, 1, kStart, seconds(2)});
  const auto add = [&records](milliseconds after) {
    Sent sent = records.sent[0];
    sent.id = "r" + std::to_string(records.sent.size());
    sent.at = kStart + after;
    sent.ended = sent.at + milliseconds(50);
    Run run = records.runs[0];
    run.id = sent.id;
    run.at = sent.at;
    run.ended = sent.ended;
    records.sent.push_back(sent);
    records.runs.push_back(run);
  };
  add(milliseconds(100));  // On its way when the target said so.
  add(milliseconds(400));
  add(milliseconds(600));
  add(milliseconds(700));
  add(milliseconds(2100));
  CHECK(Broken(records).empty());
  add(milliseconds(1900));
  CHECK(Broken(records) == Promises{"BUDGET"});
}

namespace {

/// A target that names a limit of one a second and gets a request each `gap`
/// from two hosts in turn, for ten seconds.
Records Limited(Duration gap) {
  Records records = Sound();
  records.limits.push_back({7, 1, 1, kStart, std::nullopt});
  int number = 0;
  for (Time at = kStart; at < kStart + seconds(10); at += gap, ++number) {
    Sent sent = records.sent[0];
    sent.id = "limited" + std::to_string(number);
    sent.host = static_cast<std::size_t>(number % 2);
    sent.at = at;
    sent.ended = at + milliseconds(20);
    sent.path = "/p/" + sent.id;
    sent.answer = AnswerOf(sent.path, "b");
    Run run = records.runs[0];
    run.id = sent.id;
    run.target = 7;
    run.at = at;
    run.path = sent.path;
    run.ended = sent.ended;
    records.sent.push_back(sent);
    records.runs.push_back(run);
    records.limit_words.push_back({sent.id, 0, at});
  }
  return records;
}

}  // namespace

TEST_CASE("a limit on the requests of all hosts is judged over their sum") {
  // Eleven in four seconds are allowed.
  CHECK(Broken(Limited(milliseconds(400))).empty());
  CHECK(Broken(Limited(milliseconds(330))) == Promises{"LIMIT"});
  SUBCASE("for hosts that others told of it as well") {
    Records records = Limited(milliseconds(330));
    records.limit_words.clear();
    CHECK(Broken(records) == Promises{"LIMIT"});
  }
  SUBCASE("not for a host that was paused since") {
    Records records = Limited(milliseconds(330));
    records.disturbances.push_back({Subject::kHost, 1, "host_pause",
                                    kStart + seconds(2), kStart + seconds(8)});
    CHECK(Broken(records).empty());
  }
  SUBCASE("not in its first seconds, nor once it is over") {
    Records records = Limited(milliseconds(100));
    records.limits[0].until = kStart + seconds(6);
    CHECK(Broken(records).empty());
  }
}
