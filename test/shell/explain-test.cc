// `comfreyflowctl explain`: from a request's id to the cause of its end.
#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>
#include <sstream>

#include "ctl/report.h"

using namespace comfreyflow::ctl;  // NOLINT(google-build-using-namespace)

namespace {

/// A file that is gone with the object.
class TempFile {
 public:
  explicit TempFile(const std::string& text) {
    char name[] = "/tmp/explain-XXXXXX";
    const int fd = mkstemp(name);
    REQUIRE(fd >= 0);
    close(fd);
    path_ = name;
    std::ofstream(path_) << text;
  }
  ~TempFile() { std::remove(path_.c_str()); }
  TempFile(const TempFile&) = delete;
  TempFile& operator=(const TempFile&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

struct Outcome {
  int code = 0;
  std::string out;
  std::string err;
};

Outcome RunWith(const Args& args) {
  std::ostringstream out;
  std::ostringstream err;
  const int code = Run(args, out, err);
  return {code, out.str(), err.str()};
}

constexpr const char* kRefused =
    R"({"time":"2026-01-01T00:00:03Z","event":"request_ended","request":"r1","code":"deadline_infeasible","tries":0,"took":1158}
{"time":"2026-01-01T00:00:03Z","event":"request_ended","request":"r10","code":"ok","tries":1,"took":5}
)";
constexpr const char* kBroken =
    R"(  1.05 host-2 {"time":"2026-01-01T00:00:05Z","event":"request_ended","request":"r2","code":"target_failed","tries":1,"took":65}
  1.01 host-2 {"time":"2026-01-01T00:00:01Z","event":"placed","request":"r2","target":"i7","waited":2}
not a line of the log
  1.04 host-2 {"time":"2026-01-01T00:00:04Z","event":"try_failed","request":"r2","target":"i7","end":"broken","try":1,"not_run":false}
)";

}  // namespace

TEST_CASE("a request that was never sent") {
  const TempFile log(kRefused);
  const Outcome outcome = RunWith({"explain", "r1", log.path()});
  CHECK(outcome.code == 0);
  CHECK(outcome.out.find("never sent to a target: deadline_infeasible after "
                         "1158 ms") != std::string::npos);
  CHECK(outcome.out.find("r10") == std::string::npos);
}

TEST_CASE("lines of several files come in order of time") {
  const TempFile first(kRefused);
  const TempFile second(kBroken);
  const Outcome outcome =
      RunWith({"explain", "r2", first.path(), second.path()});
  CHECK(outcome.code == 0);
  const auto placed = outcome.out.find("placed");
  const auto failed = outcome.out.find("try_failed");
  const auto ended = outcome.out.find("request_ended");
  CHECK(placed < failed);
  CHECK(failed < ended);
  CHECK(outcome.out.find("Target i7 ended try 1: broken, it may have run; "
                         "target_failed after 65 ms") != std::string::npos);
}

TEST_CASE("as JSON, and what can't be explained fails") {
  const TempFile log(kBroken);
  const Outcome json = RunWith({"explain", "--json", "r2", log.path()});
  CHECK(json.code == 0);
  CHECK(Json::parse(json.out)["lines"].size() == 3);
  CHECK(RunWith({"explain", "r9", log.path()}).code == kExitFailed);
  CHECK(RunWith({"explain", "r2", log.path() + "-none"}).code == kExitFailed);
  CHECK(RunWith({"explain"}).code == kExitUsage);
}

TEST_CASE("a request that limits refused leads to the limits that did") {
  const TempFile log(
      R"({"time":"2026-01-01T00:00:01Z","event":"target_limited","request":"r5","service":"app","target":"i1","born":1,"rate":1.5}
{"time":"2026-01-01T00:00:01Z","event":"target_limited","request":"r6","service":"app","target":"i2","born":1,"rate":3.0}
{"time":"2026-01-01T00:00:02Z","event":"target_limit_ended","request":"r7","service":"app","target":"i2","born":1,"rate":3.0}
{"time":"2026-01-01T00:00:01Z","event":"target_limited","request":"r6","service":"other","target":"i3","born":1,"rate":4.0}
{"time":"2026-01-01T00:00:02Z","event":"target_limited","service":"app","target":"i4","unreadable":true}
{"time":"2026-01-01T00:00:03Z","event":"request_ended","request":"r8","service":"app","code":"targets_limited","tries":0,"took":1}
{"time":"2026-01-01T00:00:04Z","event":"target_limited","request":"r9","service":"app","target":"i1","born":1,"rate":9.0}
)");
  const Outcome outcome = RunWith({"explain", "r8", log.path()});
  CHECK(outcome.code == 0);
  CHECK(outcome.out.find("targets_limited after 1 ms. Limits then: i1 1.5 a "
                         "second since 2026-01-01T00:00:01Z.\n") !=
        std::string::npos);
}
