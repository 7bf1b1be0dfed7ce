// Parsing of configuration documents: every problem is reported with its line.
#include "comfreyflow/config.h"

#include <doctest/doctest.h>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)

namespace {

const std::string kKey = Sha256("secret-of-orders").value;

std::string ValidText() {
  return "[environment trial]\n"
         "# a comment\n"
         "[account orders]\n"
         "keys = " +
         kKey +
         "\n"
         "tokens_per_second = 5000\n"
         "concurrent_tokens = 200000\n"
         "weight = 3\n"
         "services = assistant, rounds\n"
         "[service assistant]\n"
         "urgency = high\n"
         "target_class = bento-llm\n"
         "models = bento-7b@3, bento-70b@1\n"
         "[service rounds]\n"
         "kind = plain\n"
         "target_class = rounds-app\n"
         "[target e1]\n"
         "address = 127.0.0.1:9001\n"
         "class = bento-llm\n"
         "failure_domain = kokura\n"
         "checks_fence = yes\n";
}

std::vector<std::pair<int, ProblemKind>> ProblemsOf(const std::string& text) {
  std::vector<std::pair<int, ProblemKind>> out;
  for (const Problem& problem : ParseConfig(text).problems) {
    out.emplace_back(problem.line, problem.kind);
  }
  return out;
}

}  // namespace

TEST_CASE(
    "a valid document is read completely and its canonical text parses to the "
    "same configuration") {
  const ConfigResult result = ParseConfig(ValidText());
  for (const Problem& problem : result.problems) MESSAGE(ToString(problem));
  REQUIRE(result.ok());
  const Config& config = result.config;
  CHECK(config.environment == "trial");
  CHECK(config.accounts.at({"orders"}).tokens_per_second == 5000);
  CHECK(config.services.at({"assistant"}).urgency == Urgency::kHigh);
  CHECK(config.services.at({"assistant"}).models.size() == 2);
  CHECK(config.services.at({"assistant"}).repeatable);
  CHECK_FALSE(config.services.at({"rounds"}).repeatable);
  const ConfigResult again = ParseConfig(ToText(config));
  REQUIRE(again.ok());
  CHECK(again.config == config);
  CHECK(HashOf(again.config) == HashOf(config));
}

TEST_CASE("the hash depends on the content and not on the layout") {
  const Config config = ParseConfig(ValidText()).config;
  const Config reformatted =
      ParseConfig("\n\n" + ValidText() + "\n; end\n").config;
  CHECK(HashOf(config) == HashOf(reformatted));
  std::string other = ValidText();
  other.replace(other.find("weight = 3"), 10, "weight = 4");
  CHECK(HashOf(config) != HashOf(ParseConfig(other).config));
}

TEST_CASE("all problems of a document are reported, each with its line") {
  const std::string text =
      "stray = 1\n"                 // 1
      "[environment trial]\n"       // 2
      "colour = red\n"              // 3
      "[account a]\n"               // 4
      "keys = abc\n"                // 5
      "tokens_per_second = many\n"  // 6
      "concurrent_tokens = 10\n"    // 7
      "concurrent_tokens = 11\n"    // 8
      "services = nowhere\n"        // 9
      "no equals sign\n"            // 10
      "[service s]\n"               // 11
      "target_class = c\n"          // 12
      "models = m\n"                // 13
      "deadline = 5 parsecs\n"      // 14
      "[service s]\n"               // 15
      "[banana b]\n"                // 16
      "[target t]\n"                // 17
      "address = localhost:80\n"    // 18
      "class = c\n"                 // 19
      "failure_domain = d\n"        // 20
      "[unclosed\n";                // 21
  using K = ProblemKind;
  const std::vector<std::pair<int, K>> expected = {
      {1, K::kSyntax},          {3, K::kUnknownKey},
      {5, K::kBadValue},        {6, K::kBadValue},
      {8, K::kDuplicateKey},    {9, K::kUnknownReference},
      {10, K::kSyntax},         {13, K::kBadValue},
      {14, K::kBadValue},       {15, K::kDuplicateSection},
      {15, K::kMissingKey},     {15, K::kMissingKey},
      {16, K::kUnknownSection}, {18, K::kBadValue},
      {21, K::kSyntax}};
  const auto found = ProblemsOf(text);
  REQUIRE(found.size() == expected.size());
  for (std::size_t i = 0; i < found.size(); ++i) {
    CAPTURE(i);
    CHECK(found[i].first == expected[i].first);
    CHECK(ToString(found[i].second) ==
          std::string(ToString(expected[i].second)));
  }
}

TEST_CASE(
    "an empty document, a key of two accounts and an oversized document are "
    "rejected") {
  using K = ProblemKind;
  CHECK(ProblemsOf("") ==
        std::vector<std::pair<int, K>>{{0, K::kMissingSection}});
  const std::string twice = ValidText() + "[account thief]\nkeys = " + kKey +
                            "\ntokens_per_second = 1\n"
                            "concurrent_tokens = 1\nservices = rounds\n";
  CHECK(ProblemsOf(twice) ==
        std::vector<std::pair<int, K>>{{22, K::kConflictingValue}});
  CHECK(ProblemsOf(std::string(kMaxConfigBytes + 1, '#')) ==
        std::vector<std::pair<int, K>>{{0, K::kTooLarge}});
}

TEST_CASE(
    "a bearer key gives access to its account and to what that account may "
    "use") {
  const Config config = ParseConfig(ValidText()).config;
  const Account* account = FindAccount(config, "secret-of-orders");
  REQUIRE(account != nullptr);
  CHECK(account->name.value == "orders");
  CHECK(FindAccount(config, kKey) == nullptr);
  CHECK(FindAccount(config, "") == nullptr);
  CHECK(MayUse(*account, {"assistant"}, {"bento-7b"}));
  CHECK(MayUse(*account, {"rounds"}, {}));
  CHECK_FALSE(MayUse(*account, {"payroll"}, {}));
  Account restricted = *account;
  restricted.models = {{"bento-7b"}};
  CHECK_FALSE(MayUse(restricted, {"assistant"}, {"bento-70b"}));
}

TEST_CASE("promotion copies accounts and services but not targets") {
  const Config trial = ParseConfig(ValidText()).config;
  Config production;
  production.environment = "production";
  production.targets[{"p1"}] = {{"p1"}, "127.0.0.1:1", {"bento-llm"}, {"d"}};
  const Config next = Promoted(trial, production);
  CHECK(PolicyHashOf(next) == PolicyHashOf(trial));
  CHECK(next.environment == "production");
  CHECK(next.targets.contains({"p1"}));
  CHECK_FALSE(next.targets.contains({"e1"}));
  REQUIRE(TargetsOf(next, {"assistant"}).size() == 1);
  CHECK(TargetsOf(next, {"assistant"})[0].models.size() == 2);
}
