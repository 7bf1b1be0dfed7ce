// Differences between configurations, proven documents, and sessions of callers
// whose host fails.
#include <doctest/doctest.h>

#include "comfreyflow/caller-session.h"
#include "comfreyflow/config-change.h"

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;

namespace {

constexpr Time kStart{std::chrono::hours(1)};
using Kind = CallerStreamEnd::Kind;

Config Document(const std::string& accounts) {
  const std::string text =
      "[environment trial]\n[service assistant]\ntarget_class = c\n"
      "models = m@1\n" +
      accounts;
  const ConfigResult result = ParseConfig(text);
  REQUIRE(result.ok());
  return result.config;
}

std::string AccountText(const std::string& name, int weight) {
  return "[account " + name + "]\nkeys = " + Sha256(name).value +
         "\ntokens_per_second = 10\nconcurrent_tokens = 10\nweight = " +
         std::to_string(weight) + "\nservices = assistant\n";
}

CallerSession Session(bool may_resend = true) {
  CallerSessionSettings settings;
  settings.hosts = {"a", "b"};
  settings.may_resend = may_resend;
  settings.deadline = kStart + seconds(10);
  return CallerSession(settings);
}

}  // namespace

TEST_CASE(
    "differences are reported by section and key, and layout is ignored") {
  const Config before = Document(AccountText("a", 1) + AccountText("b", 1));
  const Config after =
      Document("# moved\n" + AccountText("c", 1) + AccountText("a", 2));
  CHECK(Differences(before,
                    Document(AccountText("b", 1) + "\n" + AccountText("a", 1)))
            .empty());
  std::vector<std::string> actual;
  for (const auto& difference : Differences(before, after)) {
    if (difference.section != "account c" || difference.key.empty()) {
      actual.push_back(ToString(difference));
    }
  }
  const std::vector<std::string> expected = {"~ [account a] weight: 1 -> 2",
                                             "- [account b]", "+ [account c]"};
  CHECK(actual == expected);
}

TEST_CASE(
    "a document is proven only if it was in force on all hosts at both times") {
  const ConfigRolloutStatus complete{3, "h", 6, 6};
  CHECK(CheckProven(complete, complete) == Errc::kOk);
  for (const ConfigRolloutStatus& other :
       {ConfigRolloutStatus{3, "h", 5, 6}, ConfigRolloutStatus{4, "h", 6, 6},
        ConfigRolloutStatus{3, "x", 6, 6}, ConfigRolloutStatus{3, "h", 0, 0}}) {
    CHECK(CheckProven(complete, other) == Errc::kPromoteUnproven);
    CHECK(CheckProven(other, complete) == Errc::kPromoteUnproven);
  }
  CHECK(CheckProven({0, "", 6, 6}, {0, "", 6, 6}) == Errc::kPromoteUnproven);
}

TEST_CASE("a caller resumes at another host after the last byte received") {
  CallerSession session = Session(false);
  CHECK(session.Start()->host == "a");
  session.OnResumeToken("t1");
  session.OnText(40);
  session.OnResumeToken("t2");
  const auto next = session.Ended({Kind::kBroken}, kStart);
  REQUIRE(next.has_value());
  CHECK(next->host == "b");
  CHECK(next->resume_token == "t2");
  CHECK(next->offset == 40);
  session.OnText(2);
  CHECK_FALSE(session.Ended({Kind::kComplete}, kStart).has_value());
  CHECK(session.offset() == 42);
  CHECK(session.resumes() == 1);
}

TEST_CASE("an answer that a stopping host ended is not resumed elsewhere") {
  for (const bool is_draining : {false, true}) {
    CallerSession session = Session();
    session.Start();
    session.OnResumeToken("t1");
    session.OnText(40);
    const auto next = session.Ended(
        {Kind::kError, Outcome::kFailed, true, seconds(1), is_draining},
        kStart);
    REQUIRE(next.has_value() == is_draining);
    if (!next) continue;
    CHECK(next->host == "b");
    CHECK(next->resume_token == "t1");
    CHECK(next->offset == 40);
  }
  CallerSession without_token = Session();
  without_token.Start();
  CHECK_FALSE(
      without_token
          .Ended({Kind::kError, Outcome::kFailed, true, {}, true}, kStart)
          .has_value());
}

TEST_CASE(
    "a request with an unknown outcome is resent only if resending is "
    "allowed") {
  for (const bool may_resend : {false, true}) {
    CallerSession session = Session(may_resend);
    session.Start();
    CHECK(session.Ended({Kind::kBroken}, kStart).has_value() == may_resend);
    CallerSession unreachable = Session(may_resend);
    unreachable.Start();
    CHECK(unreachable.Ended({Kind::kUnreachable}, kStart).has_value());
  }
  CallerSession started = Session(true);
  started.Start();
  started.OnText(1);
  CHECK_FALSE(started.Ended({Kind::kBroken}, kStart).has_value());
}

TEST_CASE("only a retryable error of a request that was not run is retried") {
  for (const Outcome outcome :
       {Outcome::kNotRun, Outcome::kFailed, Outcome::kUnknown}) {
    for (const bool retry : {false, true}) {
      CallerSession session = Session();
      session.Start();
      const auto next =
          session.Ended({Kind::kError, outcome, retry, seconds(2)}, kStart);
      CHECK(next.has_value() == (retry && outcome == Outcome::kNotRun));
      if (next) CHECK(next->wait == seconds(2));
    }
  }
}

TEST_CASE(
    "a caller gives up at its deadline or after the maximum number of "
    "attempts") {
  CallerSession expired = Session();
  expired.Start();
  CHECK_FALSE(
      expired.Ended({Kind::kUnreachable}, kStart + seconds(10)).has_value());
  CallerSession session = Session();
  session.Start();
  int opens = 1;
  while (session.Ended({Kind::kUnreachable}, kStart)) ++opens;
  CHECK(opens == 8);
  CHECK_FALSE(CallerSession({}).Start().has_value());
}
