// `comfreyflowctl explain`: finds the cause of a request's end in log files.
#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>
#include <sstream>

#include "ctl/report.h"

using namespace comfreyflow::ctl;  // NOLINT(google-build-using-namespace)

namespace {

/// A temporary file, removed by the destructor.
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

/// The exit code and the output of one run of the tool.
struct ToolRun {
  int code = 0;
  std::string out;
  std::string err;
};

ToolRun RunTool(const Args& args) {
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

TEST_CASE("a request that was never sent to a target is explained as such") {
  const TempFile log(kRefused);
  const ToolRun run = RunTool({"explain", "r1", log.path()});
  CHECK(run.code == 0);
  CHECK(run.out.find("never sent to a target: deadline_infeasible after "
                     "1158 ms") != std::string::npos);
  CHECK(run.out.find("r10") == std::string::npos);
}

TEST_CASE("log lines of several files are printed in order of time") {
  const TempFile first(kRefused);
  const TempFile second(kBroken);
  const ToolRun run = RunTool({"explain", "r2", first.path(), second.path()});
  CHECK(run.code == 0);
  const auto placed = run.out.find("placed");
  const auto failed = run.out.find("try_failed");
  const auto ended = run.out.find("request_ended");
  CHECK(placed < failed);
  CHECK(failed < ended);
  CHECK(run.out.find("Target i7 ended try 1: broken, it may have run; "
                     "target_failed after 65 ms") != std::string::npos);
}

TEST_CASE("the targets of a request that was sent twice are not named") {
  const TempFile log(
      R"({"time":"2026-01-01T00:00:03Z","event":"request_ended","request":"r3","code":"ok","tries":2,"sent_to":"i1,i2","took":65}
{"time":"2026-01-01T00:00:03Z","event":"request_ended","request":"r4","code":"ok","tries":1,"sent_to":"i1","took":65}
)");
  CHECK(RunTool({"explain", "r3", log.path()})
            .out.find(
                "It was answered completely in 65 ms. It was sent to i1,i2, in "
                "this order.\n") != std::string::npos);
  CHECK(RunTool({"explain", "r4", log.path()}).out.find("sent to") ==
        std::string::npos);
}

TEST_CASE(
    "explain prints JSON and fails for unknown requests, unreadable files and "
    "missing arguments") {
  const TempFile log(kBroken);
  const ToolRun json = RunTool({"explain", "--json", "r2", log.path()});
  CHECK(json.code == 0);
  CHECK(Json::parse(json.out)["lines"].size() == 3);
  CHECK(RunTool({"explain", "r9", log.path()}).code == kExitFailure);
  CHECK(RunTool({"explain", "r2", log.path() + "-none"}).code == kExitFailure);
  CHECK(RunTool({"explain"}).code == kExitUsage);
}

TEST_CASE(
    "a request refused by rate limits is explained with the limits in effect") {
  const TempFile log(
      R"({"time":"2026-01-01T00:00:01Z","event":"target_limited","request":"r5","service":"app","target":"i1","born":1,"rate":1.5}
{"time":"2026-01-01T00:00:01Z","event":"target_limited","request":"r6","service":"app","target":"i2","born":1,"rate":3.0}
{"time":"2026-01-01T00:00:02Z","event":"target_limit_ended","request":"r7","service":"app","target":"i2","born":1,"rate":3.0}
{"time":"2026-01-01T00:00:01Z","event":"target_limited","request":"r6","service":"other","target":"i3","born":1,"rate":4.0}
{"time":"2026-01-01T00:00:02Z","event":"target_limited","service":"app","target":"i4","unreadable":true}
{"time":"2026-01-01T00:00:03Z","event":"request_ended","request":"r8","service":"app","code":"targets_limited","tries":0,"took":1}
{"time":"2026-01-01T00:00:04Z","event":"target_limited","request":"r9","service":"app","target":"i1","born":1,"rate":9.0}
)");
  const ToolRun run = RunTool({"explain", "r8", log.path()});
  CHECK(run.code == 0);
  CHECK(run.out.find("targets_limited after 1 ms. Limits then: i1 1.5 a "
                     "second since 2026-01-01T00:00:01Z.\n") !=
        std::string::npos);
}
