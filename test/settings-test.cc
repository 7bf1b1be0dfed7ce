// Parsing of host settings: every problem is reported with its line, section
// and key.
#include "comfreyflow/settings.h"

#include <doctest/doctest.h>

#include <string>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)

namespace {

const std::string kDigest(64, 'a');

std::string ValidText() {
  return "[host]\nname = h1\nfailure_domain = kokura\nenvironment = trial\n"
         "fleet_key_file = fleet.key\n"
         "[listen]\ncallers = 127.0.0.1:8001\npeers = 127.0.0.1:8101\n"
         "gossip = 127.0.0.1:8201\nadmin = 127.0.0.1:8301\n"
         "[platform]\naddress = 127.0.0.1:9000\n"
         "seeds = 127.0.0.1:8201, 127.0.0.1:8202\n"
         "[admin]\nkey_sha256 = " +
         kDigest + "\n[limits]\nreceive_timeout = 250ms\n";
}

/// The valid text with `line` replaced by `other`.
std::string WithReplaced(const std::string& line, const std::string& other) {
  std::string text = ValidText();
  const auto at = text.find(line);
  REQUIRE(at != std::string::npos);
  return text.replace(at, line.size(), other);
}

}  // namespace

TEST_CASE("valid settings are read completely") {
  const auto result = ParseHostSettings(ValidText());
  for (const auto& problem : result.problems) MESSAGE(ToString(problem));
  REQUIRE(result.ok());
  CHECK(result.settings.name.value == "h1");
  CHECK(result.settings.platform == "127.0.0.1:9000");
  CHECK(result.settings.seeds.size() == 2);
  CHECK(result.settings.receive_timeout == std::chrono::milliseconds(250));
}

TEST_CASE("each problem names its section and key") {
  struct Row {
    const char* line;
    const char* other;
    const char* section;
    const char* key;
  };
  const Row rows[] = {
      {"name = h1", "name = h~1", "host", "name"},
      {"name = h1", "nome = h1", "host", "nome"},
      {"callers = 127.0.0.1:8001", "callers = host:8001", "listen", "callers"},
      {"admin = 127.0.0.1:8301", "admin = 127.0.0.1", "listen", "admin"},
      {"receive_timeout = 250ms", "receive_timeout = 250", "limits",
       "receive_timeout"},
      {"receive_timeout = 250ms", "receive_timeout = 1ms", "limits",
       "receive_timeout"},
      {"receive_timeout = 250ms", "stop_time = 10ms", "limits", "stop_time"},
      {"receive_timeout = 250ms", "body_bytes = many", "limits", "body_bytes"},
      {"receive_timeout = 250ms", "body_memory_bytes = 2048", "limits",
       "body_memory_bytes"},
      {"seeds = 127.0.0.1:8201,", "seeds = nowhere,", "platform", "seeds"},
      {"address = 127.0.0.1:9000", "", "platform", "address"},
      {"key_sha256 = a", "key_sha256 = z", "admin", "key_sha256"},
      {"[limits]", "[limit]", "limit", ""},
  };
  for (const Row& row : rows) {
    CAPTURE(row.other);
    const auto result = ParseHostSettings(WithReplaced(row.line, row.other));
    REQUIRE_FALSE(result.ok());
    bool found = false;
    for (const auto& problem : result.problems) {
      found = found || (problem.section == row.section &&
                        problem.key == row.key && !problem.detail.empty());
    }
    CHECK(found);
  }
}

TEST_CASE("all problems are reported at once, in the order of their lines") {
  const auto result =
      ParseHostSettings("[host]\nname = \n[listen]\ncallers = x\n[what]\n");
  CHECK(result.problems.size() >= 8);
  for (std::size_t i = 1; i < result.problems.size(); ++i) {
    CHECK(result.problems[i - 1].line <= result.problems[i].line);
  }
}
